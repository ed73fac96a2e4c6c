//! HTTP/2 connections from an entry to other nodes' gates.

use {
    crate::node::{
        body::{Body, full},
        socket_options::configure,
    },
    crate::schema::MemberRecord,
    arc_swap::ArcSwapOption,
    hyper::{
        Request, Response, Uri,
        body::Incoming,
        client::conn::http2::{Builder, SendRequest},
    },
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    papaya::HashMap,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        net::TcpStream,
        sync::Mutex,
        time::{Duration, timeout},
    },
};

/// Time limit for a new connection, including its HTTP/2 handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two pings on a connection with requests in flight.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for the acknowledgement of a ping, after which the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Most tries to send a request; the second uses a new connection if the first one has just closed.
const MAX_SEND_TRIES: usize = 2;

/// Receive window of a stream in bytes. Each response takes it from the budget of the process.
pub const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Receive window of a connection in bytes. The budget bounds the sum of its streams, so that a response that nobody
/// takes does not hold up those of other callers.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 30;

/// Reason why a request to a gate has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HopError {
    /// No byte of the request was sent.
    #[error("cannot connect to the gate")]
    Unsent,
    /// Some of the request may have been sent, and no response arrived.
    #[error("the connection to the gate was lost")]
    Lost,
}

/// One connection to a gate.
#[derive(Debug)]
pub struct HopConnection {
    /// Number of the connection; an entry numbers its connections in ascending order.
    pub number: u64,
    sender: SendRequest<Body>,
}

/// Address of a gate and the connection to it.
#[derive(Debug)]
struct Hop {
    address: SocketAddr,
    current: ArcSwapOption<HopConnection>,
    /// Held while connecting; a request that finds an open connection does not lock it.
    connecting: Mutex<()>,
}

/// Connections to the gates of other nodes, one per gate.
#[derive(Debug, Default)]
pub struct Hops {
    gates: HashMap<u64, Arc<Hop>>,
    last_number: AtomicU64,
}

impl Hops {
    /// Returns the open connection to a member's gate, or connects if there is none.
    ///
    /// # Errors
    /// [`HopError::Unsent`] if no connection to the gate can be opened.
    pub async fn connection(&self, member: &MemberRecord) -> Result<Arc<HopConnection>, HopError> {
        let hop = Arc::clone(self.gates.pin().get_or_insert_with(member.node, || {
            let connecting = Mutex::new(());
            let current = ArcSwapOption::empty();
            Arc::new(Hop { address: member.gate, current, connecting })
        }));
        if let Some(open) = hop.open_connection() {
            return Ok(open);
        }
        let _connecting = hop.connecting.lock().await;
        if let Some(open) = hop.open_connection() {
            return Ok(open);
        }
        let number = self.last_number.fetch_add(1, Ordering::SeqCst) + 1;
        let connection = Arc::new(connect(hop.address, number).await?);
        hop.current.store(Some(Arc::clone(&connection)));
        Ok(connection)
    }

    /// Sends a request after calling `prepare` on it with the number of the connection that will
    /// carry it; with 0 if that connection turned out not to have sent any of it.
    ///
    /// # Errors
    /// [`HopError::Unsent`] only if no byte of the request was sent.
    pub async fn send(
        &self,
        member: &MemberRecord,
        mut req: Request<Body>,
        prepare: impl Fn(&mut Request<Body>, u64),
    ) -> Result<Response<Incoming>, HopError> {
        for _ in 0..MAX_SEND_TRIES {
            let connection = self.connection(member).await?;
            prepare(&mut req, connection.number);
            let mut sender = connection.sender.clone();
            let mut error = match sender.try_send_request(req).await {
                Ok(res) => return Ok(res),
                Err(error) => error,
            };
            self.retire_if_closed(member.node, &connection);
            req = error.take_message().ok_or(HopError::Lost)?;
            prepare(&mut req, 0);
        }
        Err(HopError::Unsent)
    }

    /// Drops the connection to a node if its number is at most `number`, so that the next request
    /// opens a new one. Requests in flight on it complete or fail.
    pub fn retire(&self, node: u64, number: u64) {
        if let Some(hop) = self.gates.pin().get(&node) {
            hop.retire_up_to(number);
        }
    }

    /// Drops the connections to all nodes for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(u64) -> bool) {
        self.gates.pin().retain(|&node, _| keep(node));
    }

    /// Returns the number of gates to which a connection was attempted and that [`Self::retain`]
    /// kept.
    pub fn len(&self) -> usize {
        self.gates.len()
    }

    fn retire_if_closed(&self, node: u64, connection: &HopConnection) {
        if connection.sender.is_closed() {
            self.retire(node, connection.number);
        }
    }
}

impl Hop {
    fn open_connection(&self) -> Option<Arc<HopConnection>> {
        self.current.load_full().filter(|c| !c.sender.is_closed())
    }

    /// Drops the connection if its number is at most `number`.
    fn retire_up_to(&self, number: u64) {
        if self.current.load().as_ref().is_some_and(|c| c.number <= number) {
            self.current.store(None);
        }
    }
}

async fn connect(address: SocketAddr, number: u64) -> Result<HopConnection, HopError> {
    let connected = timeout(CONNECT_TIMEOUT, async {
        let socket = TcpStream::connect(address).await.ok()?;
        configure(&socket).ok()?;
        let mut http = Builder::new(TokioExecutor::new());
        http.timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        http.handshake(TokioIo::new(socket)).await.ok()
    });
    let (sender, connection) = connected.await.ok().flatten().ok_or(HopError::Unsent)?;
    tokio::spawn(async move {
        // The requests on this connection report its end as their own errors.
        let _ended = connection.await;
    });
    Ok(HopConnection { number, sender })
}

/// Builds a request for a gate's load report; returns `None` if the URI is invalid.
pub fn probe_request(member: &MemberRecord, path: &str) -> Option<Request<Body>> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(member.gate.to_string())
        .path_and_query(path)
        .build();
    Request::get(uri.ok()?).body(full("")).ok()
}
