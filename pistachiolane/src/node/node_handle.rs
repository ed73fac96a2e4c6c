//! What a node offers to code that runs beside it in the same process.

use {
    super::shared::Shared,
    crate::membership::UpstreamNews,
    std::sync::Arc,
    tokio::sync::{mpsc, oneshot},
};

/// News of the upstream, and where to say that it is in force.
pub(super) type UpstreamEventRequest = (UpstreamNews, oneshot::Sender<()>);

/// Handle to a running node.
#[derive(Clone, Debug)]
pub struct NodeHandle {
    pub(super) shared: Arc<Shared>,
    pub(super) upstream_events: mpsc::Sender<UpstreamEventRequest>,
}

impl NodeHandle {
    /// Whether the node takes callers.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready() && !self.shared.draining()
    }

    /// Takes news of the upstream beside the node; `true` once it is in force at the gate.
    pub async fn announce(&self, event: UpstreamNews) -> bool {
        let (applied, is_applied) = oneshot::channel();
        self.upstream_events.send((event, applied)).await.is_ok() && is_applied.await.is_ok()
    }
}
