//! An upstream of the users' platform over raw sockets, with the ways in which its answers go wrong.

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

/// Header of a request's identity.
pub const PLATFORM_REQUEST_ID: &str = "x-pistachiolane-request-id";

/// Time that a slow request takes, far beyond what a test waits for a cancellation.
const SLOW: Duration = Duration::from_secs(8);

/// Bytes of a large answer, more than sockets hold.
const LARGE_BYTES: usize = 24 << 20;

/// Headers looked at.
const MAX_HEADERS: usize = 32;

/// A request as it reached the upstream.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Method and path.
    pub line: String,
    /// Headers, names in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// When it was read, in time since the upstream's start.
    pub at: Duration,
}

/// The stand-in. What it does with a request follows from the last segment of the path:
/// `foreign`, `unsigned`, `cut`, `extra`, `reset`, `unframed`, `shed`, `slow`, `large`, or an answer.
#[derive(Debug)]
pub struct PlatformUpstream {
    /// The instance that it is.
    pub instance: String,
    /// Requests that ran.
    pub executed: Mutex<Vec<ReceivedRequest>>,
    /// Requests whose connection closed while they ran.
    pub cancelled: AtomicU64,
    /// Connections taken.
    pub connections: AtomicU64,
    /// Requests that found it full.
    pub rejected_when_full: AtomicU64,
    /// Most requests that ran and waited at once.
    pub peak_concurrency: AtomicUsize,
    /// What it can take.
    pub capacity: Capacity,
    slots: Semaphore,
    inside: AtomicUsize,
    open: AtomicUsize,
    started: Instant,
    stop: CancellationToken,
}

/// Counts one less of something when it is dropped.
struct Counted<'a>(&'a AtomicUsize);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// How a request ended that needed a slot.
enum Work {
    Done,
    CallerLeft,
    Full,
}

impl PlatformUpstream {
    /// Starts an upstream on a free port.
    ///
    /// # Errors
    /// Fails when no port is free.
    pub async fn start(instance: &str) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        Self::start_with_capacity(instance, Capacity::default()).await
    }

    /// Starts an upstream with a capacity on a free port.
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
            connections: AtomicU64::new(0),
            rejected_when_full: AtomicU64::new(0),
            peak_concurrency: AtomicUsize::new(0),
            capacity,
            slots: Semaphore::new(capacity.slots),
            inside: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
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
                tokio::spawn(async move {
                    tokio::select! {
                        // A broken connection is what some tests are about.
                        _ended = upstream.connection(socket) => {}
                        () = upstream.stop.cancelled() => {}
                    }
                });
            }
        });
        Ok((upstream, address))
    }

    /// Ends it with all its connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Time since its start.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Requests that ran so far.
    pub fn executed(&self) -> Vec<ReceivedRequest> {
        self.executed.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn connection(&self, mut socket: TcpStream) -> std::io::Result<()> {
        let others = self.open.fetch_add(1, Ordering::SeqCst);
        let _open = Counted(&self.open);
        if others >= self.capacity.max_connections {
            return socket.set_zero_linger();
        }
        while let Some(mut req) = read(&mut socket).await? {
            req.at = self.started.elapsed();
            let expected = req.headers.get("x-pistachiolane-expect-instance");
            if expected.is_some_and(|e| *e != self.instance) {
                let head = format!("x-pistachiolane-instance-id: {}", self.instance);
                socket.write_all(&answer("421 Misdirected Request", &head, "")).await?;
                continue;
            }
            let action = req.line.rsplit('/').next().unwrap_or("").to_owned();
            if action == "shed" {
                refuse(&mut socket).await?;
                continue;
            }
            let id = req.headers.get(PLATFORM_REQUEST_ID).cloned().unwrap_or_default();
            let time = (action == "slow").then_some(SLOW);
            match self.work(&mut socket, req, time).await {
                Work::Done => {}
                Work::CallerLeft => {
                    self.cancelled.fetch_add(1, Ordering::SeqCst);
                    return Ok(());
                }
                Work::Full => {
                    self.rejected_when_full.fetch_add(1, Ordering::SeqCst);
                    if self.turn_away(&mut socket).await? {
                        continue;
                    }
                    return Ok(());
                }
            }
            let signed = format!(
                "{PLATFORM_REQUEST_ID}: {id}\r\nx-pistachiolane-response-signature: {id}.s\r\n\
                 x-pistachiolane-server-load: {}",
                self.load()
            );
            let good = answer("200 OK", &signed, &format!("answer to {id}"));
            match action.as_str() {
                "foreign" => {
                    let other = signed.replace(&id, "0000");
                    socket.write_all(&answer("200 OK", &other, "another's")).await?;
                }
                "unsigned" => {
                    socket
                        .write_all(&answer(
                            "200 OK",
                            &format!("{PLATFORM_REQUEST_ID}: {id}"),
                            "bare",
                        ))
                        .await?;
                }
                "cut" => {
                    socket.write_all(&good[..good.len() - 3]).await?;
                    return Ok(());
                }
                "extra" => {
                    socket.write_all(&good).await?;
                    socket.write_all(&good).await?;
                }
                "reset" => return Ok(()),
                "unframed" => {
                    let head =
                        format!("HTTP/1.1 200 OK\r\n{signed}\r\nconnection: close\r\n\r\nbody");
                    socket.write_all(head.as_bytes()).await?;
                    return Ok(());
                }
                "large" => {
                    let large = answer("200 OK", &signed, &".".repeat(LARGE_BYTES));
                    socket.write_all(&large).await.inspect_err(|_e| {
                        self.cancelled.fetch_add(1, Ordering::SeqCst);
                    })?;
                }
                _ => socket.write_all(&good).await?,
            }
        }
        Ok(())
    }

    /// Runs a request in a slot, for `time` or as long as its load makes it, unless the connection closes.
    async fn work(
        &self,
        socket: &mut TcpStream,
        req: ReceivedRequest,
        time: Option<Duration>,
    ) -> Work {
        let inside = self.inside.fetch_add(1, Ordering::SeqCst) + 1;
        let _inside = Counted(&self.inside);
        if inside > self.capacity.slots + self.capacity.queue_capacity {
            return Work::Full;
        }
        self.peak_concurrency.fetch_max(inside, Ordering::SeqCst);
        let run = async {
            let _slot = self.slots.acquire().await;
            self.executed.lock().unwrap_or_else(PoisonError::into_inner).push(req);
            let own = self.capacity.service_time(self.running(), self.started.elapsed());
            sleep(time.unwrap_or(own)).await;
        };
        tokio::select! {
            () = run => Work::Done,
            () = closed(socket) => Work::CallerLeft,
        }
    }

    /// Does what a full upstream does; `false` if that ends the connection.
    async fn turn_away(&self, socket: &mut TcpStream) -> std::io::Result<bool> {
        match self.capacity.when_full {
            WhenFull::Refuse => refuse(socket).await?,
            WhenFull::Reset => socket.set_zero_linger()?,
            WhenFull::Hang => closed(socket).await,
        }
        Ok(self.capacity.when_full == WhenFull::Refuse)
    }

    fn running(&self) -> usize {
        self.capacity.slots - self.slots.available_permits()
    }

    /// Its load as it tells it: running, waiting, slots, and what its neighbours cost it.
    fn load(&self) -> String {
        let running = self.running();
        let waiting = self.inside.load(Ordering::SeqCst).saturating_sub(running);
        let neighbours = self.capacity.host_slowness_percent(self.started.elapsed());
        format!("{running},{waiting},{},{neighbours}", self.capacity.slots)
    }
}

/// Says that a request did not run.
async fn refuse(socket: &mut TcpStream) -> std::io::Result<()> {
    let head = "x-pistachiolane-not-executed: 1";
    socket.write_all(&answer("503 Service Unavailable", head, "")).await
}

/// Waits until the other side closes the connection, or sends what it must not.
async fn closed(socket: &mut TcpStream) {
    let mut byte = [0; 1];
    let _closed = socket.read(&mut byte).await;
}

fn answer(status: &str, head: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// Reads one request; `None` at the end of the connection.
async fn read(socket: &mut TcpStream) -> std::io::Result<Option<ReceivedRequest>> {
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
