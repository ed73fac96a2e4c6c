//! Control calls to other nodes.

use {
    super::{
        control_service::{ControlClient, MAX_FRAME_BYTES},
        postcard_codec::PostcardCodec,
    },
    crate::schema::{
        ExchangeReply, FleetKey, MemberRecord, SettleRequest, Settlement, Subtree, SubtreeVersion,
    },
    std::{net::SocketAddr, time::Duration},
    tarpc::{
        client, context,
        tokio_util::codec::{Framed, LengthDelimitedCodec},
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Time for one control call, connection included.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for a full exchange of members, which may be half a megabyte over a slow link.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a control call gave no result.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The node could not be connected to.
    #[error("the node cannot be connected to")]
    Unreachable,
    /// The call failed on the way.
    #[error("the control call failed: {0}")]
    Failed(#[from] client::RpcError),
    /// No answer came in time.
    #[error("the node did not answer in time")]
    TimedOut,
}

/// All member records that a node holds.
///
/// # Errors
/// Fails when the node does not answer in time.
pub async fn members(
    key: &FleetKey,
    address: SocketAddr,
) -> Result<Vec<MemberRecord>, ControlError> {
    call(key, address, MEMBERS_TIMEOUT, async |c| c.members(deadline(MEMBERS_TIMEOUT)).await).await
}

/// Compares settings with a node.
///
/// # Errors
/// Fails when the node does not answer in time.
pub async fn exchange(
    key: &FleetKey,
    address: SocketAddr,
    versions: Vec<SubtreeVersion>,
) -> Result<ExchangeReply, ControlError> {
    let cx = deadline(CALL_TIMEOUT);
    call(key, address, CALL_TIMEOUT, async |c| c.exchange(cx, versions).await).await
}

/// Gives settings to a node.
///
/// # Errors
/// Fails when the node does not answer in time.
pub async fn push(
    key: &FleetKey,
    address: SocketAddr,
    subtrees: Vec<Subtree>,
) -> Result<(), ControlError> {
    let cx = deadline(CALL_TIMEOUT);
    call(key, address, CALL_TIMEOUT, async |c| c.push(cx, subtrees).await).await
}

/// Asks whether a node holds a version.
///
/// # Errors
/// Fails when the node does not answer in time.
pub async fn has_version(
    key: &FleetKey,
    address: SocketAddr,
    subtree: SubtreeVersion,
) -> Result<bool, ControlError> {
    let cx = deadline(CALL_TIMEOUT);
    call(key, address, CALL_TIMEOUT, async |c| c.has_version(cx, subtree).await).await
}

/// Settles an attempt with its gate.
///
/// # Errors
/// Fails when the node does not answer in time.
pub async fn settle(
    key: &FleetKey,
    address: SocketAddr,
    req: SettleRequest,
) -> Result<Settlement, ControlError> {
    let cx = deadline(CALL_TIMEOUT);
    call(key, address, CALL_TIMEOUT, async |c| c.settle(cx, req).await).await
}

fn deadline(limit: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + limit;
    cx
}

async fn call<T>(
    key: &FleetKey,
    address: SocketAddr,
    limit: Duration,
    f: impl AsyncFnOnce(ControlClient) -> Result<T, client::RpcError>,
) -> Result<T, ControlError> {
    let whole = async {
        let client = connect(key, address).await?;
        Ok(f(client).await?)
    };
    timeout(limit, whole).await.map_err(|_e| ControlError::TimedOut)?
}

async fn connect(key: &FleetKey, address: SocketAddr) -> Result<ControlClient, ControlError> {
    let socket = TcpStream::connect(address).await.map_err(|_e| ControlError::Unreachable)?;
    let _no_effect = socket.set_nodelay(true);
    let mut lengths = LengthDelimitedCodec::new();
    lengths.set_max_frame_length(MAX_FRAME_BYTES);
    let codec = PostcardCodec::new(key.clone());
    let transport = tarpc::serde_transport::new(Framed::new(socket, lengths), codec);
    Ok(ControlClient::new(client::Config::default(), transport).spawn())
}
