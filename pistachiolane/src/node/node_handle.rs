//! Interface of a node for other code in the same process.

use {
    super::shared::Shared,
    crate::membership::UpstreamEvent,
    std::sync::Arc,
    tokio::sync::{mpsc, oneshot},
};

/// Event of the local upstream, with a channel that reports that it has been applied.
pub(super) type UpstreamEventRequest = (UpstreamEvent, oneshot::Sender<()>);

/// Handle to a running node.
#[derive(Clone, Debug)]
pub struct NodeHandle {
    pub(super) shared: Arc<Shared>,
    pub(super) upstream_events: mpsc::Sender<UpstreamEventRequest>,
}

impl NodeHandle {
    /// Whether the node accepts calls.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready() && !self.shared.draining()
    }

    /// Applies an event of the local upstream. Returns `true` once it is in force at the gate, and
    /// `false` if the node is shutting down.
    pub async fn announce(&self, event: UpstreamEvent) -> bool {
        let (applied, is_applied) = oneshot::channel();
        self.upstream_events.send((event, applied)).await.is_ok() && is_applied.await.is_ok()
    }
}
