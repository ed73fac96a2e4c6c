//! Client for control calls to other nodes.

use {
    crate::node::control::{
        control_service::{ControlClient, MAX_FRAME_BYTES},
        postcard_codec::PostcardCodec,
    },
    crate::schema::{
        ExchangeReply, FleetKey, MemberRecord, PackedReply, PackedSubtree, SettleRequest,
        Settlement, Subtree, SubtreeVersion, SuspectUpdate,
    },
    std::{net::SocketAddr, time::Duration},
    tarpc::{
        client, context,
        tokio_util::codec::{Framed, LengthDelimitedCodec},
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Time limit for connecting to a node, above the round trip between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit of a control call other than a member exchange, including the connection set-up.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit of a call that transfers settings. A transfer that is given up starts from the beginning, so the limit
/// exceeds the time of a large document over a busy link.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit of a full member exchange, which may transfer half a megabyte over a slow link.
const MEMBER_EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Failure of a control call.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The connection to the node could not be established.
    #[error("cannot connect to the node")]
    Unreachable,
    /// The call failed in the RPC layer.
    #[error("the control call failed: {0}")]
    Failed(#[from] client::RpcError),
    /// No reply was received before the deadline.
    #[error("the node did not reply in time")]
    TimedOut,
}

/// Returns all member records of a node.
///
/// # Errors
/// Fails if the node is unreachable, the call fails or no reply is received in time.
pub async fn members(
    key: &FleetKey,
    address: SocketAddr,
) -> Result<Vec<MemberRecord>, ControlError> {
    call(key, address, MEMBER_EXCHANGE_TIMEOUT, async |c| {
        c.members(context_with_timeout(MEMBER_EXCHANGE_TIMEOUT)).await
    })
    .await
}

/// Compares subtree versions with a node. The reply contains the subtrees that are newer at that
/// node, compressed, and the names of those that are older there.
///
/// # Errors
/// Fails if the node is unreachable or of an earlier build, the call fails or no reply is received in time.
pub async fn exchange_packed(
    key: &FleetKey,
    address: SocketAddr,
    versions: Vec<SubtreeVersion>,
) -> Result<PackedReply, ControlError> {
    let cx = context_with_timeout(SETTINGS_TIMEOUT);
    call(key, address, SETTINGS_TIMEOUT, async |c| c.exchange_packed(cx, versions).await).await
}

/// Sends compressed settings subtrees to a node.
///
/// # Errors
/// Fails if the node is unreachable or of an earlier build, the call fails or no reply is received in time.
pub async fn push_packed(
    key: &FleetKey,
    address: SocketAddr,
    subtrees: Vec<PackedSubtree>,
) -> Result<(), ControlError> {
    let cx = context_with_timeout(SETTINGS_TIMEOUT);
    call(key, address, SETTINGS_TIMEOUT, async |c| c.push_packed(cx, subtrees).await).await
}

/// Compares subtree versions with a node of an earlier build.
///
/// # Errors
/// Fails if the node is unreachable, the call fails or no reply is received in time.
pub async fn exchange(
    key: &FleetKey,
    address: SocketAddr,
    versions: Vec<SubtreeVersion>,
) -> Result<ExchangeReply, ControlError> {
    let cx = context_with_timeout(CALL_TIMEOUT);
    call(key, address, CALL_TIMEOUT, async |c| c.exchange(cx, versions).await).await
}

/// Sends settings subtrees to a node.
///
/// # Errors
/// Fails if the node is unreachable, the call fails or no reply is received in time.
pub async fn push(
    key: &FleetKey,
    address: SocketAddr,
    subtrees: Vec<Subtree>,
) -> Result<(), ControlError> {
    let cx = context_with_timeout(CALL_TIMEOUT);
    call(key, address, CALL_TIMEOUT, async |c| c.push(cx, subtrees).await).await
}

/// Returns whether a node has a subtree in the given version or a later one.
///
/// # Errors
/// Fails if the node is unreachable, the call fails or no reply is received in time.
pub async fn has_version(
    key: &FleetKey,
    address: SocketAddr,
    subtree: SubtreeVersion,
) -> Result<bool, ControlError> {
    let cx = context_with_timeout(CALL_TIMEOUT);
    call(key, address, CALL_TIMEOUT, async |c| c.has_version(cx, subtree).await).await
}

/// Returns what a node knows of suspected requests.
///
/// # Errors
/// Fails if the node is unreachable or of an earlier build, the call fails or no reply is received in time.
pub async fn suspects(
    key: &FleetKey,
    address: SocketAddr,
) -> Result<Vec<SuspectUpdate>, ControlError> {
    let cx = context_with_timeout(CALL_TIMEOUT);
    call(key, address, CALL_TIMEOUT, async |c| c.suspects(cx).await).await
}

/// Settles an attempt with its gate: retires the connection that carried it and returns its
/// outcome.
///
/// # Errors
/// Fails if the node is unreachable, the call fails or no reply is received in time.
pub async fn settle(
    key: &FleetKey,
    address: SocketAddr,
    req: SettleRequest,
) -> Result<Settlement, ControlError> {
    let cx = context_with_timeout(CALL_TIMEOUT);
    call(key, address, CALL_TIMEOUT, async |c| c.settle(cx, req).await).await
}

fn context_with_timeout(limit: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + limit;
    cx
}

async fn call<T>(
    key: &FleetKey,
    address: SocketAddr,
    limit: Duration,
    send: impl AsyncFnOnce(ControlClient) -> Result<T, client::RpcError>,
) -> Result<T, ControlError> {
    let connect_and_call = async {
        let connected = timeout(CONNECT_TIMEOUT, connect(key, address)).await;
        let client = connected.map_err(|_e| ControlError::Unreachable)??;
        Ok(send(client).await?)
    };
    timeout(limit, connect_and_call).await.map_err(|_e| ControlError::TimedOut)?
}

async fn connect(key: &FleetKey, address: SocketAddr) -> Result<ControlClient, ControlError> {
    let socket = TcpStream::connect(address).await.map_err(|_e| ControlError::Unreachable)?;
    // If this fails, the connection works with a higher latency.
    let _ignored = socket.set_nodelay(true);
    let mut framing = LengthDelimitedCodec::new();
    framing.set_max_frame_length(MAX_FRAME_BYTES);
    let codec = PostcardCodec::new(key.clone());
    let transport = tarpc::serde_transport::new(Framed::new(socket, framing), codec);
    Ok(ControlClient::new(client::Config::default(), transport).spawn())
}
