//! Server for control calls between nodes, with tarpc over TCP.

use {
    crate::node::{
        accept::BoundedListener,
        control::{control_loop::ControlHandle, postcard_codec::PostcardCodec},
        gate::gate_server::GateServer,
        shared::Shared,
    },
    crate::schema::{
        ExchangeReply, MemberRecord, PackedReply, PackedSubtree, SettleRequest, Settlement,
        Subtree, SubtreeVersion, SuspectUpdate,
    },
    futures::StreamExt,
    std::{sync::Arc, time::Duration},
    tarpc::{
        context::Context,
        server::{BaseChannel, Channel},
        tokio_util::codec::{Framed, LengthDelimitedCodec},
    },
    tokio::net::{TcpListener, TcpStream},
};

/// Maximum size of a frame in bytes; the largest message is a full member exchange.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Time without calls after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Calls from one node to another.
#[tarpc::service]
pub trait Control {
    /// Returns all member records of the node.
    async fn members() -> Vec<MemberRecord>;
    /// Returns the subtrees that are newer at this node than at the requester, and the names of
    /// those that are newer at the requester.
    async fn exchange(versions: Vec<SubtreeVersion>) -> ExchangeReply;
    /// Puts those subtrees in force that are newer than the node's.
    async fn push(subtrees: Vec<Subtree>) -> ();
    /// Returns whether the node has a subtree in this version or a later one.
    async fn has_version(subtree: SubtreeVersion) -> bool;
    /// Retires a connection and returns the outcome of an attempt that it carried.
    async fn settle(req: SettleRequest) -> Settlement;
    /// Returns the same as `exchange` with compressed documents.
    async fn exchange_packed(versions: Vec<SubtreeVersion>) -> PackedReply;
    /// Does the same as `push` with compressed documents.
    async fn push_packed(subtrees: Vec<PackedSubtree>) -> ();
    /// Returns what the node knows of suspected requests.
    async fn suspects() -> Vec<SuspectUpdate>;
}

/// Server for the control calls to one node.
#[derive(Clone, Debug)]
pub struct ControlServer {
    shared: Arc<Shared>,
    gate: Arc<GateServer>,
    control: ControlHandle,
}

impl ControlServer {
    /// Creates a server that calls the node's gate and control loop.
    pub fn new(shared: Arc<Shared>, gate: Arc<GateServer>, control: ControlHandle) -> Self {
        Self { shared, gate, control }
    }

    /// Accepts and serves connections until its task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        let max_connections = self.shared.settings.resources.control_connections();
        let listener =
            BoundedListener::new(listener, "control", max_connections, Arc::clone(&self.shared));
        loop {
            let (socket, place) = listener.accept().await;
            tokio::spawn(place.run(self.clone().serve_connection(socket)));
        }
    }

    async fn serve_connection(self, socket: TcpStream) {
        // If this fails, the connection works with a higher latency.
        let _ignored = socket.set_nodelay(true);
        let mut framing = LengthDelimitedCodec::new();
        framing.set_max_frame_length(MAX_FRAME_BYTES);
        let framed = Framed::new(socket, framing);
        let codec = PostcardCodec::new(self.shared.settings.fleet_key.clone());
        let transport = tarpc::serde_transport::new(framed, codec);
        let channel = BaseChannel::with_defaults(transport);
        let shared = Arc::clone(&self.shared);
        let requests = channel.requests();
        let mut requests = std::pin::pin!(requests);
        let permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_CALLS));
        while let Ok(Some(next)) = tokio::time::timeout(IDLE_TIMEOUT, requests.next()).await {
            let Ok(req) = next else {
                shared.metrics.malformed.inc();
                return;
            };
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let call = req.execute(self.clone().serve_control());
            tokio::spawn(async move {
                call.await;
                drop(permit);
            });
        }
    }

    fn serve_control(self) -> ServeControl<Self> {
        Control::serve(self)
    }
}

impl Control for ControlServer {
    async fn members(self, _cx: Context) -> Vec<MemberRecord> {
        self.control.members().await
    }

    async fn exchange(self, _cx: Context, versions: Vec<SubtreeVersion>) -> ExchangeReply {
        self.control.exchange(versions).await
    }

    async fn push(self, _cx: Context, subtrees: Vec<Subtree>) {
        self.control.apply(subtrees, "peer").await;
    }

    async fn has_version(self, _cx: Context, subtree: SubtreeVersion) -> bool {
        self.control.subtree_version(subtree.name).await >= subtree.version
    }

    async fn settle(self, _cx: Context, req: SettleRequest) -> Settlement {
        let settlement = self.shared.admission.settle(self.shared.now(), &req);
        self.gate.retire_connection(req.id.entry, req.connection);
        settlement
    }

    async fn exchange_packed(self, _cx: Context, versions: Vec<SubtreeVersion>) -> PackedReply {
        self.control.exchange_packed(versions).await
    }

    async fn push_packed(self, _cx: Context, subtrees: Vec<PackedSubtree>) {
        self.control.apply_packed(subtrees).await;
    }

    async fn suspects(self, _cx: Context) -> Vec<SuspectUpdate> {
        self.shared.quarantine.updates(self.shared.now())
    }
}
