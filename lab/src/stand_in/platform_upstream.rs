//! Stand-in for an upstream of the users' platform, over raw sockets so that it can send malformed responses.

use {
    super::capacity::{Capacity, WhenFull},
    std::{
        collections::HashMap,
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        time::{Instant, sleep},
    },
    tokio_util::sync::CancellationToken,
};

/// Name of the header with the platform's request id.
pub const PLATFORM_REQUEST_ID: &str = "x-pistachiolane-request-id";

/// Service time of a slow request, far longer than a test waits for a cancellation.
const SLOW_SERVICE_TIME: Duration = Duration::from_secs(8);

/// Size of a large response body in bytes, more than socket buffers hold.
const LARGE_BYTES: usize = 24 << 20;

/// Size of one write of bytes without end.
const ENDLESS_WRITE_BYTES: usize = 4 << 10;

/// Path of the health check, which is answered at once and doesn't count as executed.
pub const HEALTH_PATH: &str = "/health";

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 32;

/// A request as the upstream received it.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Method and path.
    pub line: String,
    /// Headers by name in lower case.
    pub headers: HashMap<String, String>,
    /// Request body.
    pub body: Vec<u8>,
    /// Time of receipt since the start of the upstream.
    pub at: Duration,
}

/// Upstream that speaks the platform's protocol.
///
/// The last segment of the request path selects its behaviour: `foreign` (mismatched response), `unsigned`, `cut`,
/// `extra`, `reset`, `unframed`, `shed`, `shed-again` and `shed-again-named` (a refusal, without and with the request's id, that is
/// written once more when the next request arrives), `cut-head-N` (only N bytes of the response's head), `slow`, `work-N` (a service time of N ms), `large`, `bytes-N` (a body of N bytes), `status-S` (a response with the text S as its status)
/// or `crash` (the upstream ends), or, for bytes until the node closes the connection,
/// `endless-head`, `endless-noise`, `endless-unsigned`, `endless-body` or `endless-extra`; any other segment gets a
/// valid response.
#[derive(Debug)]
pub struct PlatformUpstream {
    /// Instance id.
    pub instance: String,
    /// Requests that were executed, in order of their start.
    pub executed: Mutex<Vec<ReceivedRequest>>,
    /// Number of requests whose connection closed before the response was sent.
    pub cancelled: AtomicU64,
    /// Number of health checks.
    pub health_checks: AtomicU64,
    /// Times of receipt of all requests, health checks included, since the start of the upstream.
    pub arrivals: Mutex<Vec<Duration>>,
    /// End of the cold phase.
    cold_until: Mutex<Option<Instant>>,
    /// Closes the connections that are open at a restart.
    restarted: Mutex<CancellationToken>,
    /// Header lines that are added to each response, without the final line break; empty if there are none.
    pub stated: Mutex<String>,
    /// Number of accepted connections.
    pub connections: AtomicU64,
    /// Number of requests that were rejected because slots and queue were full.
    pub rejected_when_full: AtomicU64,
    /// Largest number of requests that ran or waited at the same time.
    pub peak_concurrency: AtomicUsize,
    /// Slots, limits and service times.
    pub capacity: Capacity,
    slots: Semaphore,
    admitted: AtomicUsize,
    open_connections: AtomicUsize,
    started: Instant,
    stop: CancellationToken,
}

/// Guard that decrements a counter when it is dropped.
struct DecrementOnDrop<'a>(&'a AtomicUsize);

impl Drop for DecrementOnDrop<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Result of a request that needed a slot.
enum WorkResult {
    Done,
    Disconnected,
    Full,
}

impl PlatformUpstream {
    /// Starts an upstream with the default capacity on a free port.
    ///
    /// # Errors
    /// Fails when no port is free.
    pub async fn start(instance: &str) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        Self::start_with_capacity(instance, Capacity::default()).await
    }

    /// Starts an upstream with the given capacity on a free port.
    ///
    /// # Errors
    /// Fails when no port is free.
    pub async fn start_with_capacity(
        instance: &str,
        capacity: Capacity,
    ) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let upstream = Arc::new(Self {
            instance: instance.to_owned(),
            executed: Mutex::default(),
            cancelled: AtomicU64::new(0),
            health_checks: AtomicU64::new(0),
            arrivals: Mutex::default(),
            cold_until: Mutex::default(),
            restarted: Mutex::default(),
            stated: Mutex::default(),
            connections: AtomicU64::new(0),
            rejected_when_full: AtomicU64::new(0),
            peak_concurrency: AtomicUsize::new(0),
            capacity,
            slots: Semaphore::new(capacity.slots),
            admitted: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            started: Instant::now(),
            stop: CancellationToken::new(),
        });
        let serving = Arc::clone(&upstream);
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = serving.stop.cancelled() => return,
                };
                let Ok((socket, _)) = accepted else { return };
                serving.connections.fetch_add(1, Ordering::SeqCst);
                let upstream = Arc::clone(&serving);
                let restarted =
                    serving.restarted.lock().unwrap_or_else(PoisonError::into_inner).clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = restarted.cancelled() => {}
                        // An error is ignored: some tests break connections on purpose.
                        _ended = upstream.serve_connection(socket) => {}
                        () = upstream.stop.cancelled() => {}
                    }
                });
            }
        });
        Ok((upstream, address))
    }

    /// Whether the upstream was stopped or has crashed.
    pub fn is_stopped(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// Stops the upstream and closes all its connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Restarts the upstream at the same address under the same instance id: all its connections close, and it is cold
    /// for `cold`.
    pub fn restart(&self, cold: Duration) {
        let end = Instant::now() + cold;
        *self.cold_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(end);
        let mut restarted = self.restarted.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *restarted).cancel();
    }

    /// Returns the times of receipt of all requests, health checks included, that arrived from `from` on.
    pub fn arrivals_from(&self, from: Duration) -> Vec<Duration> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.iter().copied().filter(|at| *at >= from).collect()
    }

    /// Returns the time left in the cold phase, zero if the upstream isn't cold.
    fn cold_left(&self) -> Duration {
        let cold_until = *self.cold_until.lock().unwrap_or_else(PoisonError::into_inner);
        cold_until.map_or(Duration::ZERO, |end| end.saturating_duration_since(Instant::now()))
    }

    /// Returns the time since its start.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the requests that were executed so far.
    pub fn executed(&self) -> Vec<ReceivedRequest> {
        self.executed.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the header lines that are added to each response from now on, such as `server-limit: 5`.
    pub fn state(&self, header_lines: &str) {
        header_lines.clone_into(&mut self.stated.lock().unwrap_or_else(PoisonError::into_inner));
    }

    async fn serve_connection(&self, mut socket: TcpStream) -> std::io::Result<()> {
        let open_before = self.open_connections.fetch_add(1, Ordering::SeqCst);
        let _open = DecrementOnDrop(&self.open_connections);
        if open_before >= self.capacity.max_connections {
            return socket.set_zero_linger();
        }
        let mut written_again = None;
        while let Some(mut req) = read_request(&mut socket).await? {
            req.at = self.started.elapsed();
            let expected = req.headers.get("x-pistachiolane-expect-instance");
            if expected.is_some_and(|e| *e != self.instance) {
                let head = format!("x-pistachiolane-instance-id: {}", self.instance);
                socket.write_all(&response("421 Misdirected Request", &head, "")).await?;
                continue;
            }
            self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(req.at);
            if req.line == format!("GET {HEALTH_PATH}") {
                self.answer_health_check(&mut socket).await?;
                continue;
            }
            let action = req.line.rsplit('/').next().unwrap_or("").to_owned();
            let id = req.headers.get(PLATFORM_REQUEST_ID).cloned().unwrap_or_default();
            if action.starts_with("shed") {
                let refusal = not_executed(action.ends_with("named").then_some(&*id));
                socket.write_all(&refusal).await?;
                written_again = (action != "shed").then_some(refusal);
                continue;
            }
            if let Some(refusal) = written_again.take() {
                socket.write_all(&refusal).await?;
            }
            let fixed_time = fixed_service_time(&action);
            match self.run_request(&mut socket, req, fixed_time).await {
                WorkResult::Done => {}
                WorkResult::Disconnected => {
                    self.cancelled.fetch_add(1, Ordering::SeqCst);
                    return Ok(());
                }
                WorkResult::Full => {
                    self.rejected_when_full.fetch_add(1, Ordering::SeqCst);
                    if self.apply_when_full(&mut socket).await? {
                        continue;
                    }
                    return Ok(());
                }
            }
            if !self.write_response(&mut socket, &action, &id).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Writes the response that the path segment `action` selects; returns whether the connection stays usable.
    async fn write_response(
        &self,
        socket: &mut TcpStream,
        action: &str,
        id: &str,
    ) -> std::io::Result<bool> {
        let signed = self.with_statements(format!(
            "{PLATFORM_REQUEST_ID}: {id}\r\nx-pistachiolane-response-signature: {id}.s\r\n\
             x-pistachiolane-server-load: {}",
            self.load_header()
        ));
        let valid = response("200 OK", &signed, &format!("answer to {id}"));
        match action {
            "foreign" => {
                let other = signed.replace(id, "0000");
                socket.write_all(&response("200 OK", &other, "another's")).await?;
            }
            "unsigned" => {
                socket
                    .write_all(&response("200 OK", &format!("{PLATFORM_REQUEST_ID}: {id}"), "bare"))
                    .await?;
            }
            "cut" => {
                socket.write_all(&valid[..valid.len() - 3]).await?;
                return Ok(false);
            }
            "extra" => {
                socket.write_all(&valid).await?;
                socket.write_all(&valid).await?;
            }
            "reset" => return Ok(false),
            cut if cut.starts_with("cut-head-") => {
                let length = cut.trim_start_matches("cut-head-").parse().unwrap_or(0);
                socket.write_all(&valid[..length]).await?;
                return Ok(false);
            }
            sized if sized.starts_with("bytes-") => {
                let bytes = sized.trim_start_matches("bytes-").parse().unwrap_or(0);
                let valid = response("200 OK", &signed, &".".repeat(bytes));
                socket.write_all(&valid).await.inspect_err(|_e| {
                    self.cancelled.fetch_add(1, Ordering::SeqCst);
                })?;
            }
            odd if odd.starts_with("status-") => {
                let status = odd.trim_start_matches("status-");
                socket.write_all(&response(&format!("{status} Odd"), &signed, "odd")).await?;
            }
            "crash" => {
                self.stop();
                return Ok(false);
            }
            "unframed" => {
                let head = format!("HTTP/1.1 200 OK\r\n{signed}\r\nconnection: close\r\n\r\nbody");
                socket.write_all(head.as_bytes()).await?;
                return Ok(false);
            }
            "large" => {
                let large = response("200 OK", &signed, &".".repeat(LARGE_BYTES));
                socket.write_all(&large).await.inspect_err(|_e| {
                    self.cancelled.fetch_add(1, Ordering::SeqCst);
                })?;
            }
            endless if endless.starts_with("endless-") => {
                let start = start_without_end(endless, id, &signed, &valid);
                self.write_without_end(socket, &start).await?;
            }
            _ => socket.write_all(&valid).await?,
        }
        Ok(true)
    }

    async fn answer_health_check(&self, socket: &mut TcpStream) -> std::io::Result<()> {
        self.health_checks.fetch_add(1, Ordering::SeqCst);
        let head = self.with_statements(format!(
            "x-pistachiolane-instance-id: {}\r\nx-pistachiolane-server-load: {}",
            self.instance,
            self.load_header()
        ));
        let cold_left = self.cold_left();
        let head = match cold_left.as_millis() {
            0 => head,
            ms => format!("{head}\r\nx-pistachiolane-warmup-ms: {ms}"),
        };
        socket.write_all(&response("200 OK", &head, "")).await
    }

    /// Writes a start and then bytes until the peer closes the connection, which counts as cancelled.
    async fn write_without_end(&self, socket: &mut TcpStream, start: &str) -> std::io::Result<()> {
        let mut written = socket.write_all(start.as_bytes()).await;
        while written.is_ok() {
            written = socket.write_all(&[b'.'; ENDLESS_WRITE_BYTES]).await;
        }
        self.cancelled.fetch_add(1, Ordering::SeqCst);
        written
    }

    /// Runs a request in a slot until it is done or its connection closes.
    ///
    /// It takes `fixed_time`, or else the service time under the current load.
    async fn run_request(
        &self,
        socket: &mut TcpStream,
        req: ReceivedRequest,
        fixed_time: Option<Duration>,
    ) -> WorkResult {
        let admitted = self.admitted.fetch_add(1, Ordering::SeqCst) + 1;
        let _admitted = DecrementOnDrop(&self.admitted);
        if admitted > self.capacity.slots + self.capacity.queue_capacity {
            return WorkResult::Full;
        }
        self.peak_concurrency.fetch_max(admitted, Ordering::SeqCst);
        let run = async {
            let _slot = self.slots.acquire().await;
            self.executed.lock().unwrap_or_else(PoisonError::into_inner).push(req);
            let service_time = self.capacity.service_time(self.running(), self.started.elapsed());
            sleep(fixed_time.unwrap_or(service_time)).await;
        };
        if !self.capacity.notices_disconnects {
            run.await;
            return WorkResult::Done;
        }
        tokio::select! {
            () = run => WorkResult::Done,
            () = wait_closed(socket) => WorkResult::Disconnected,
        }
    }

    /// Applies `Capacity::when_full`; returns whether the connection stays usable.
    async fn apply_when_full(&self, socket: &mut TcpStream) -> std::io::Result<bool> {
        match self.capacity.when_full {
            WhenFull::Refuse => socket.write_all(&not_executed(None)).await?,
            WhenFull::Reset => socket.set_zero_linger()?,
            WhenFull::Hang => wait_closed(socket).await,
        }
        Ok(self.capacity.when_full == WhenFull::Refuse)
    }

    fn running(&self) -> usize {
        self.capacity.slots - self.slots.available_permits()
    }

    fn with_statements(&self, head: String) -> String {
        let stated = self.stated.lock().unwrap_or_else(PoisonError::into_inner);
        if stated.is_empty() { head } else { format!("{head}\r\n{stated}") }
    }

    /// Returns the value of the load header: running, waiting, slots, and the host's slowness in percent.
    fn load_header(&self) -> String {
        let running = self.running();
        let waiting = self.admitted.load(Ordering::SeqCst).saturating_sub(running);
        let slowness = self.capacity.host_slowness_percent(self.started.elapsed());
        format!("{running},{waiting},{},{slowness}", self.capacity.slots)
    }
}

/// Returns the service time that the path segment `action` asks for, if it does.
fn fixed_service_time(action: &str) -> Option<Duration> {
    match action.strip_prefix("work-") {
        Some(ms) => ms.parse().ok().map(Duration::from_millis),
        None => (action == "slow").then_some(SLOW_SERVICE_TIME),
    }
}

/// Returns what precedes the bytes without end that the path segment `action` asks for.
fn start_without_end(action: &str, id: &str, signed: &str, valid: &[u8]) -> String {
    match action {
        "endless-head" => "HTTP/1.1 200 OK\r\nx-filler: ".to_owned(),
        "endless-unsigned" => format!("HTTP/1.1 200 OK\r\n{PLATFORM_REQUEST_ID}: {id}\r\n\r\n"),
        "endless-body" => format!("HTTP/1.1 200 OK\r\n{signed}\r\n\r\n"),
        "endless-extra" => String::from_utf8_lossy(valid).into_owned(),
        _ => String::new(),
    }
}

/// Returns a response with the header that marks the request as not executed, and with the request's id if there is one.
fn not_executed(id: Option<&str>) -> Vec<u8> {
    let id = id.map_or_else(String::new, |id| format!("\r\n{PLATFORM_REQUEST_ID}: {id}"));
    let head = format!("x-pistachiolane-not-executed: 1{id}");
    response("503 Service Unavailable", &head, "")
}

/// Waits until the peer closes the connection or sends an unexpected byte.
async fn wait_closed(socket: &mut TcpStream) {
    let mut byte = [0; 1];
    let _closed = socket.read(&mut byte).await;
}

fn response(status: &str, head: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// Reads one request; returns `None` when the connection closes before it is complete.
async fn read_request(socket: &mut TcpStream) -> std::io::Result<Option<ReceivedRequest>> {
    let mut buf = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        if let Ok(httparse::Status::Complete(length)) = head.parse(&buf) {
            let mut req = ReceivedRequest {
                line: format!("{} {}", head.method.unwrap_or(""), head.path.unwrap_or("")),
                ..ReceivedRequest::default()
            };
            for header in head.headers.iter() {
                let value = String::from_utf8_lossy(header.value).into_owned();
                req.headers.insert(header.name.to_ascii_lowercase(), value);
            }
            let size = req.headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            req.body = buf.split_off(length);
            if req.headers.contains_key("transfer-encoding") {
                let encoded = std::mem::take(&mut req.body);
                return Ok(read_chunks(socket, encoded)
                    .await?
                    .map(|body| ReceivedRequest { body, ..req }));
            }
            while req.body.len() < size {
                if socket.read_buf(&mut req.body).await? == 0 {
                    return Ok(None);
                }
            }
            return Ok(Some(req));
        }
        if socket.read_buf(&mut buf).await? == 0 {
            return Ok(None);
        }
    }
}

/// Reads a chunked body of which `buf` has arrived; returns `None` when the connection closes before it is complete.
async fn read_chunks(socket: &mut TcpStream, mut buf: Vec<u8>) -> std::io::Result<Option<Vec<u8>>> {
    let mut body = Vec::new();
    loop {
        let mut start = 0;
        while let Ok(httparse::Status::Complete((head, size))) =
            httparse::parse_chunk_size(&buf[start..])
        {
            let (from, size) = (start + head, usize::try_from(size).unwrap_or(usize::MAX));
            let end = from.saturating_add(size).saturating_add(2);
            if end > buf.len() {
                break;
            }
            body.extend_from_slice(&buf[from..from + size]);
            start = end;
            if size == 0 {
                return Ok(Some(body));
            }
        }
        buf.drain(..start);
        if socket.read_buf(&mut buf).await? == 0 {
            return Ok(None);
        }
    }
}
