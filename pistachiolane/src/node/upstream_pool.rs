//! Connections to the upstream beside the node.
//!
//! A connection carries one request at a time and goes back to the pool only after a whole answer to the
//! request that it carried. Anything else closes it, so that bytes that belong to no request meet none.

use {
    super::body::Body,
    arc_swap::ArcSwapOption,
    hyper::{
        HeaderMap, Request, Response, body::Incoming, client::conn::http1,
        client::conn::http1::SendRequest,
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        fmt,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{Instant, timeout},
    },
};

/// Time for a connection to the upstream, which is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which unacknowledged bytes or keep-alive probes break a connection to the upstream.
const SILENCE: Duration = Duration::from_secs(2);

/// Longest idle time after which a connection carries work that may repeat, if the upstream names none.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Longest idle time after which a connection carries work that must not repeat: a connection that the
/// upstream has given up meanwhile makes its outcome unknown, and a new one costs a millisecond.
const MAX_IDLE_UNREPEATABLE: Duration = Duration::from_millis(700);

/// Share of the upstream's own idle timeout that is used, as a divisor.
const IDLE_SHARE: u32 = 2;

/// Header in which an upstream names its idle timeout.
const KEEP_ALIVE: &str = "keep-alive";

/// Why a request to the upstream has no answer.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// No byte of the request was sent.
    #[error("the upstream cannot be connected to: {0}")]
    Unsent(String),
    /// Something was sent, and no answer came.
    #[error("the connection to the upstream was lost: {0}")]
    Lost(hyper::Error),
}

/// A connection, and what the upstream said about keeping it.
pub struct UpstreamConnection {
    sender: SendRequest<Body>,
    task: AbortHandle,
    idle_since: Instant,
    max_idle: Duration,
}

struct Idle {
    /// Taken by the one who removes the node from the list; never contended.
    connection: Mutex<Option<UpstreamConnection>>,
    next: Option<Arc<Idle>>,
}

/// Connections to one incarnation of an upstream, the last used first.
pub struct UpstreamPool {
    address: SocketAddr,
    idle: ArcSwapOption<Idle>,
}

impl UpstreamPool {
    /// A pool without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: ArcSwapOption::empty() }
    }

    /// Sends a request over an idle or a new connection, and gives the answer with the connection that
    /// carried it.
    ///
    /// # Errors
    /// [`UpstreamError::Unsent`] only if no byte of the request was sent.
    pub async fn send(
        &self,
        mut req: Request<Body>,
        repeatable: bool,
    ) -> Result<(Response<Incoming>, UpstreamConnection), UpstreamError> {
        while let Some(mut open) = self.take_idle(repeatable) {
            match open.sender.try_send_request(req).await {
                Ok(res) => return Ok((res, open)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(UpstreamError::Lost(e.into_error())),
                },
            }
        }
        let mut open = self.connect().await?;
        match open.sender.try_send_request(req).await {
            Ok(res) => Ok((res, open)),
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

    /// Gives back a connection whose answer was read to its end.
    pub fn return_connection(&self, mut connection: UpstreamConnection) {
        connection.idle_since = Instant::now();
        let connection = Mutex::new(Some(connection));
        let mut idle = Idle { connection, next: None };
        loop {
            let first = self.idle.load_full();
            idle.next.clone_from(&first);
            let node = Arc::new(idle);
            let previous = self.idle.compare_and_swap(&first, Some(Arc::clone(&node)));
            let same = match (&*previous, &first) {
                (Some(a), Some(b)) => Arc::ptr_eq(a, b),
                (None, None) => true,
                _ => false,
            };
            if same {
                return;
            }
            let taken = take(&node);
            idle = Idle { connection: Mutex::new(taken), next: None };
        }
    }

    fn take_idle(&self, repeatable: bool) -> Option<UpstreamConnection> {
        loop {
            let first = self.idle.load_full()?;
            let previous = self.idle.compare_and_swap(&first, first.next.clone());
            let won = previous.as_ref().is_some_and(|p| Arc::ptr_eq(p, &first));
            let Some(connection) = won.then(|| take(&first)).flatten() else {
                continue;
            };
            if connection.is_usable(repeatable) {
                return Some(connection);
            }
        }
    }

    async fn connect(&self) -> Result<UpstreamConnection, UpstreamError> {
        let unsent = |e: &dyn fmt::Display| UpstreamError::Unsent(e.to_string());
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let socket = connecting.map_err(|e| unsent(&e))?.map_err(|e| unsent(&e))?;
        configure(&socket).map_err(|e| unsent(&e))?;
        let made = http1::handshake(TokioIo::new(socket)).await;
        let (sender, connection) = made.map_err(|e| unsent(&e))?;
        let task = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(target: "upstream", "connection ended: {e}");
            }
        });
        let task = task.abort_handle();
        Ok(UpstreamConnection { sender, task, idle_since: Instant::now(), max_idle: MAX_IDLE })
    }
}

impl UpstreamConnection {
    /// Takes what an answer says about how long the connection may be idle.
    pub fn observe(&mut self, headers: &HeaderMap) {
        let value = headers.get(KEEP_ALIVE).and_then(|v| v.to_str().ok());
        let seconds = value.and_then(|v| {
            v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
        });
        if let Some(seconds) = seconds {
            self.max_idle = (Duration::from_secs(seconds) / IDLE_SHARE).min(MAX_IDLE);
        }
    }

    fn is_usable(&self, repeatable: bool) -> bool {
        let most =
            if repeatable { self.max_idle } else { MAX_IDLE_UNREPEATABLE.min(self.max_idle) };
        self.sender.is_ready() && self.idle_since.elapsed() < most
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        // Closes the socket at once: the upstream learns that nobody waits any more.
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

fn take(idle: &Idle) -> Option<UpstreamConnection> {
    idle.connection.lock().unwrap_or_else(PoisonError::into_inner).take()
}

fn configure(socket: &TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    socket.set_tcp_user_timeout(Some(SILENCE))?;
    let probes = TcpKeepalive::new().with_time(SILENCE).with_interval(SILENCE / 2).with_retries(2);
    socket.set_tcp_keepalive(&probes)
}
