//! Pool of connections to the local upstream.
//!
//! A connection carries one request at a time and returns to the pool only after a complete
//! response to that request. Any other end closes it, so that stray bytes can't be taken for the
//! response to a later request.

use {
    crate::node::{body::Body, socket_options::configure},
    arc_swap::ArcSwapOption,
    http_body_util::{BodyExt, Limited},
    hyper::{
        HeaderMap, Request, Response, Version, body::Incoming, client::conn::http1,
        client::conn::http1::SendRequest, header,
    },
    hyper_util::rt::TokioIo,
    std::{
        fmt, io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{Instant, sleep, timeout},
    },
};

/// Time limit for connecting to the upstream, which is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum idle time of a connection that is reused for a repeatable request; the limit is lower if
/// the upstream announces a short idle timeout.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Maximum idle time of a connection that is reused for a request that must not be repeated. If the
/// upstream has closed the connection in the meantime, the outcome is unknown; a new connection
/// only costs a millisecond.
const MAX_IDLE_TIME_UNREPEATABLE: Duration = Duration::from_millis(700);

/// Time for which a new connection must stay open to show that the upstream has not ended.
const END_CONFIRMATION: Duration = Duration::from_millis(30);

/// Number by which the idle timeout that the upstream announces is divided to get the maximum idle
/// time.
const IDLE_TIMEOUT_DIVISOR: u32 = 2;

/// Largest response head in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Largest response body that is read to keep its connection.
const MAX_RECYCLED_BYTES: usize = 64 << 10;

/// Header with the idle timeout of the upstream.
const KEEP_ALIVE: &str = "keep-alive";

/// Failure of a request to the upstream.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// No byte of the request was sent.
    #[error("cannot connect to the upstream: {0}")]
    Unsent(String),
    /// No connection was open in time, and no byte of the request was sent.
    #[error("no connection to the upstream in time")]
    Expired,
    /// At least part of the request may have been sent, and no response was received.
    #[error("the connection to the upstream was lost: {0}")]
    Lost(hyper::Error),
}

/// Called with the cause when a connection is lost in a way that a restart of the upstream explains.
pub type OnLost = Arc<dyn Fn(&str) + Send + Sync>;

/// Use of a connection, by which its end is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionUse {
    /// It carries a request; the request shows the end.
    Busy,
    /// It is idle. The upstream may close it from this time on, if there is one.
    Idle(Option<Instant>),
    /// It has ended.
    Ended,
}

/// Connection to the upstream, with the idle time for which it can be reused.
pub struct UpstreamConnection {
    sender: SendRequest<Body>,
    task: AbortHandle,
    idle_since: Instant,
    max_idle: Duration,
    /// Idle time after which the upstream closes the connection, if it announces one.
    idle_timeout: Option<Duration>,
    /// Whether the upstream announced that it closes the connection after the response.
    closes: bool,
    /// Locked only by the owner of the connection and when the connection ends.
    connection_use: Arc<Mutex<ConnectionUse>>,
}

/// Element of the linked list of idle connections.
struct IdleConnection {
    /// Locked only by the task that owns the element, because it removed it from the list or has
    /// not added it; the lock is never contended.
    connection: Mutex<Option<UpstreamConnection>>,
    next: Option<Arc<IdleConnection>>,
}

/// Pool of connections to one incarnation of an upstream; the most recently used one is reused
/// first.
pub struct UpstreamPool {
    address: SocketAddr,
    idle: ArcSwapOption<IdleConnection>,
    on_lost: OnLost,
}

impl UpstreamPool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr, on_lost: OnLost) -> Self {
        Self { address, idle: ArcSwapOption::empty(), on_lost }
    }

    /// Sends a request over an idle or a new connection, and returns the response with that
    /// connection.
    ///
    /// # Errors
    /// Returns [`UpstreamError::Unsent`] only if no byte of the request was sent.
    pub async fn send(
        &self,
        req: Request<Body>,
        repeatable: bool,
    ) -> Result<(Response<Incoming>, UpstreamConnection), UpstreamError> {
        self.send_within(CONNECT_TIMEOUT * 2, req, repeatable).await
    }

    /// Sends a request as [`Self::send`] does, if a connection is open within `connect_limit`.
    ///
    /// # Errors
    /// Returns [`UpstreamError::Unsent`] and [`UpstreamError::Expired`] only if no byte of the request was sent.
    pub async fn send_within(
        &self,
        connect_limit: Duration,
        req: Request<Body>,
        repeatable: bool,
    ) -> Result<(Response<Incoming>, UpstreamConnection), UpstreamError> {
        match self.send_over_connection(connect_limit, req, repeatable).await {
            Ok((res, mut connection)) => {
                connection.record_response(&res);
                Ok((res, connection))
            }
            // A connection that was not open in time says nothing about the upstream.
            Err(UpstreamError::Expired) => Err(UpstreamError::Expired),
            // Nor does the end of the request's body.
            Err(UpstreamError::Lost(e)) if e.is_user() => Err(UpstreamError::Lost(e)),
            Err(e) => {
                (self.on_lost)(&e.to_string());
                Err(e)
            }
        }
    }

    async fn send_over_connection(
        &self,
        connect_limit: Duration,
        mut req: Request<Body>,
        repeatable: bool,
    ) -> Result<(Response<Incoming>, UpstreamConnection), UpstreamError> {
        while let Some(mut connection) = self.take_idle(repeatable) {
            match connection.sender.try_send_request(req).await {
                Ok(res) => return Ok((res, connection)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(UpstreamError::Lost(e.into_error())),
                },
            }
        }
        let connecting = timeout(connect_limit, self.connect()).await;
        let mut connection = connecting.map_err(|_e| UpstreamError::Expired)??;
        match connection.sender.try_send_request(req).await {
            Ok(res) => Ok((res, connection)),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let e = e.into_error();
                Err(if unsent {
                    UpstreamError::Unsent(e.to_string())
                } else {
                    UpstreamError::Lost(e)
                })
            }
        }
    }

    /// Reads a small response body to its end and returns the connection to the pool; returns whether
    /// that succeeded. Otherwise the connection is closed.
    pub async fn recycle(&self, connection: UpstreamConnection, body: Incoming) -> bool {
        let is_complete = Limited::new(body, MAX_RECYCLED_BYTES).collect().await.is_ok();
        if is_complete {
            self.return_connection(connection);
        }
        is_complete
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub fn return_connection(&self, mut connection: UpstreamConnection) {
        if connection.closes {
            return;
        }
        connection.idle_since = Instant::now();
        if !connection.start_idle() {
            (self.on_lost)("connection closed after a response");
            return;
        }
        let connection = Mutex::new(Some(connection));
        let mut idle = IdleConnection { connection, next: None };
        loop {
            let first = self.idle.load_full();
            idle.next.clone_from(&first);
            let new_first = Arc::new(idle);
            let previous = self.idle.compare_and_swap(&first, Some(Arc::clone(&new_first)));
            let is_swapped = match (&*previous, &first) {
                (Some(a), Some(b)) => Arc::ptr_eq(a, b),
                (None, None) => true,
                _ => false,
            };
            if is_swapped {
                return;
            }
            let taken = take_connection(&new_first);
            idle = IdleConnection { connection: Mutex::new(taken), next: None };
        }
    }

    fn take_idle(&self, repeatable: bool) -> Option<UpstreamConnection> {
        loop {
            let first = self.idle.load_full()?;
            let previous = self.idle.compare_and_swap(&first, first.next.clone());
            let is_removed = previous.as_ref().is_some_and(|p| Arc::ptr_eq(p, &first));
            let Some(connection) = is_removed.then(|| take_connection(&first)).flatten() else {
                continue;
            };
            if connection.is_usable(repeatable) && connection.end_idle() {
                return Some(connection);
            }
        }
    }

    /// Whether the upstream has ended: nothing listens on its address any more. Otherwise, the connection that showed
    /// this is kept for the next request.
    ///
    /// A process that ends closes its connections and its listener one after the other, so a connection counts only if it
    /// stays open for a moment.
    pub async fn has_ended(&self) -> bool {
        loop {
            let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
            let socket = match connecting {
                Ok(Ok(socket)) => socket,
                Ok(Err(e)) => return e.kind() == io::ErrorKind::ConnectionRefused,
                Err(_) => return false,
            };
            let Ok(connection) = self.open(socket).await else {
                return false;
            };
            sleep(END_CONFIRMATION).await;
            if !connection.sender.is_closed() {
                self.return_connection(connection);
                return false;
            }
        }
    }

    async fn connect(&self) -> Result<UpstreamConnection, UpstreamError> {
        let unsent = |e: &dyn fmt::Display| UpstreamError::Unsent(e.to_string());
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let socket = connecting.map_err(|e| unsent(&e))?.map_err(|e| unsent(&e))?;
        self.open(socket).await
    }

    async fn open(&self, socket: TcpStream) -> Result<UpstreamConnection, UpstreamError> {
        let unsent = |e: &dyn fmt::Display| UpstreamError::Unsent(e.to_string());
        configure(&socket).map_err(|e| unsent(&e))?;
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_HEAD_BYTES);
        let handshake = http.handshake(TokioIo::new(socket)).await;
        let (sender, connection) = handshake.map_err(|e| unsent(&e))?;
        let connection_use = Arc::new(Mutex::new(ConnectionUse::Busy));
        let (on_lost, used) = (Arc::clone(&self.on_lost), Arc::clone(&connection_use));
        let task = tokio::spawn(async move {
            let result = connection.await;
            let last_use = set_use(&used, ConnectionUse::Ended);
            match (result, last_use) {
                (Err(e), _) if e.is_user() => {
                    log::debug!(target: "upstream", "request to the upstream cut off: {e}");
                }
                (Err(e), _) => {
                    log::debug!(target: "upstream", "connection to the upstream failed: {e}");
                    on_lost(&e.to_string());
                }
                (Ok(()), ConnectionUse::Idle(may_close_from))
                    if may_close_from.is_none_or(|from| Instant::now() < from) =>
                {
                    on_lost("idle connection closed");
                }
                _ => {}
            }
        });
        Ok(UpstreamConnection {
            sender,
            task: task.abort_handle(),
            idle_since: Instant::now(),
            max_idle: MAX_IDLE_TIME,
            idle_timeout: None,
            closes: false,
            connection_use,
        })
    }
}

impl UpstreamConnection {
    /// Records what a response announces for the connection: its idle timeout, and whether it closes.
    fn record_response(&mut self, res: &Response<Incoming>) {
        let headers = res.headers();
        self.closes = closes_connection(headers) || res.version() < Version::HTTP_11;
        let value = headers.get(KEEP_ALIVE).and_then(|v| v.to_str().ok());
        let seconds = value.and_then(|v| {
            v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
        });
        if let Some(seconds) = seconds {
            let timeout = Duration::from_secs(seconds);
            self.idle_timeout = Some(timeout);
            self.max_idle = (timeout / IDLE_TIMEOUT_DIVISOR).min(MAX_IDLE_TIME);
        }
    }

    /// Marks the connection as idle; `false` if it has ended.
    fn start_idle(&self) -> bool {
        let may_close_from = self.idle_timeout.map(|t| self.idle_since + t / IDLE_TIMEOUT_DIVISOR);
        let mut current = self.connection_use.lock().unwrap_or_else(PoisonError::into_inner);
        if *current == ConnectionUse::Ended {
            return false;
        }
        *current = ConnectionUse::Idle(may_close_from);
        true
    }

    /// Marks the connection as busy; `false` if it has ended.
    fn end_idle(&self) -> bool {
        let mut current = self.connection_use.lock().unwrap_or_else(PoisonError::into_inner);
        if *current == ConnectionUse::Ended {
            return false;
        }
        *current = ConnectionUse::Busy;
        true
    }

    fn is_usable(&self, repeatable: bool) -> bool {
        let max_idle =
            if repeatable { self.max_idle } else { MAX_IDLE_TIME_UNREPEATABLE.min(self.max_idle) };
        self.sender.is_ready() && self.idle_since.elapsed() < max_idle
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        // Closes the socket at once, so that the upstream detects that the request was cancelled.
        self.task.abort();
    }
}

impl fmt::Debug for UpstreamConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamConnection").finish_non_exhaustive()
    }
}

impl fmt::Debug for UpstreamPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamPool").field("address", &self.address).finish_non_exhaustive()
    }
}

fn set_use(connection_use: &Mutex<ConnectionUse>, next: ConnectionUse) -> ConnectionUse {
    let mut current = connection_use.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::replace(&mut *current, next)
}

/// Whether a response states that its connection closes after it.
fn closes_connection(headers: &HeaderMap) -> bool {
    headers.get_all(header::CONNECTION).iter().any(|value| {
        let options = value.to_str().unwrap_or("").split(',');
        options.map(str::trim).any(|option| option.eq_ignore_ascii_case("close"))
    })
}

fn take_connection(idle: &IdleConnection) -> Option<UpstreamConnection> {
    idle.connection.lock().unwrap_or_else(PoisonError::into_inner).take()
}
