//! What a node offers to code that runs beside it in the same process.

use {
    super::shared::Shared,
    crate::membership::UpstreamEvent,
    std::sync::Arc,
    tokio::sync::{mpsc, oneshot},
};

/// News of the upstream, and where to say that it is in force.
pub(super) type Told = (UpstreamEvent, oneshot::Sender<()>);

/// Handle to a running node.
#[derive(Clone, Debug)]
pub struct NodeHandle {
    pub(super) shared: Arc<Shared>,
    pub(super) news: mpsc::Sender<Told>,
}

impl NodeHandle {
    /// Whether the node takes callers.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready() && !self.shared.draining()
    }

    /// Takes news of the upstream beside the node; `true` once it is in force at the gate.
    pub async fn announce(&self, news: UpstreamEvent) -> bool {
        let (told, in_force) = oneshot::channel();
        self.news.send((news, told)).await.is_ok() && in_force.await.is_ok()
    }
}
