//! Interface of a node for other code in the same process.

use {
    crate::membership::UpstreamEvent,
    crate::node::{accept::BoundedListener, shared::Shared},
    std::sync::Arc,
    tokio::{
        net::TcpListener,
        sync::{mpsc, oneshot},
    },
};

/// Event of the local upstream, with the channel on which its application is reported.
pub(in crate::node) type UpstreamEventRequest = (UpstreamEvent, oneshot::Sender<()>);

/// Handle to a running node.
#[derive(Clone, Debug)]
pub struct NodeHandle {
    pub(in crate::node) shared: Arc<Shared>,
    pub(in crate::node) upstream_events: mpsc::Sender<UpstreamEventRequest>,
}

impl NodeHandle {
    /// Whether the readiness check passes: the node can serve callers and is not shutting down. A
    /// node that shuts down still accepts calls for a short time.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready() && !self.shared.draining()
    }

    /// Bounds the connections of a listener for the host's services; `name` identifies it in the log and the metrics.
    pub fn bounded_listener(&self, listener: TcpListener, name: &'static str) -> BoundedListener {
        let max_connections = self.shared.settings.resources.service_connections();
        BoundedListener::new(listener, name, max_connections, Arc::clone(&self.shared))
    }

    /// Applies an event of the local upstream. Returns `true` once it is in force at the gate, and
    /// `false` if the node is shutting down.
    pub async fn announce(&self, event: UpstreamEvent) -> bool {
        let (applied_sender, applied_receiver) = oneshot::channel();
        self.upstream_events.send((event, applied_sender)).await.is_ok()
            && applied_receiver.await.is_ok()
    }
}
