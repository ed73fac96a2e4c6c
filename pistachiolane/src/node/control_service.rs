//! Control calls between nodes, served by tarpc over TCP.

use {
    super::{
        accept::accept, control_loop::ControlHandle, gate_server::GateServer,
        postcard_codec::PostcardCodec, shared::Shared,
    },
    crate::schema::{
        ExchangeReply, MemberRecord, SettleRequest, Settlement, Subtree, SubtreeVersion,
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

/// Largest frame in bytes; a full exchange of members is the largest message.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Calls that one connection may have open.
const MAX_OPEN_CALLS: usize = 64;

/// Time for which a connection without calls is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// What a node asks another.
#[tarpc::service]
pub trait Control {
    /// All member records that the node holds.
    async fn members() -> Vec<MemberRecord>;
    /// Settings newer than the asker's, and the names of those that the asker has newer.
    async fn exchange(versions: Vec<SubtreeVersion>) -> ExchangeReply;
    /// Takes settings that the node lacks.
    async fn push(subtrees: Vec<Subtree>) -> ();
    /// Whether the node holds a subtree in this version or a later one.
    async fn has_version(subtree: SubtreeVersion) -> bool;
    /// Retires a connection and tells what became of an attempt.
    async fn settle(req: SettleRequest) -> Settlement;
}

/// Serves control calls of one node.
#[derive(Clone, Debug)]
pub struct ControlServer {
    shared: Arc<Shared>,
    gate: Arc<GateServer>,
    control: ControlHandle,
}

impl ControlServer {
    /// A server in front of the node's gate and its control loop.
    pub fn new(shared: Arc<Shared>, gate: Arc<GateServer>, control: ControlHandle) -> Self {
        Self { shared, gate, control }
    }

    /// Accepts connections for the life of its task.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let socket = accept(&listener, "control").await;
            tokio::spawn(self.clone().connection(socket));
        }
    }

    async fn connection(self, socket: TcpStream) {
        let _no_effect = socket.set_nodelay(true);
        let mut lengths = LengthDelimitedCodec::new();
        lengths.set_max_frame_length(MAX_FRAME_BYTES);
        let framed = Framed::new(socket, lengths);
        let codec = PostcardCodec::new(self.shared.settings.fleet_key.clone());
        let transport = tarpc::serde_transport::new(framed, codec);
        let channel = BaseChannel::with_defaults(transport);
        let shared = Arc::clone(&self.shared);
        let requests = channel.requests();
        let mut requests = std::pin::pin!(requests);
        let open = Arc::new(tokio::sync::Semaphore::new(MAX_OPEN_CALLS));
        while let Ok(Some(next)) = tokio::time::timeout(IDLE_TIMEOUT, requests.next()).await {
            let Ok(req) = next else {
                shared.metrics.malformed.inc();
                return;
            };
            let Ok(permit) = Arc::clone(&open).acquire_owned().await else {
                return;
            };
            let served = req.execute(self.clone().serve_control());
            tokio::spawn(async move {
                served.await;
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
}
