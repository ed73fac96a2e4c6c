//! Connection of a listener whose open connections are bounded.

use {
    crate::{
        limits::held::{Holder, Holders},
        metrics::Metrics,
        node::shared::Shared,
        tick::Tick,
    },
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    tokio::sync::Notify,
};

/// Open connections of a listener.
#[derive(Debug, Default)]
pub(in crate::node) struct Connections {
    pub holders: Holders,
    /// Notified when a connection is closed.
    pub closed: Notify,
}

/// Connection that gives way to new ones while the node waits for the peer.
#[derive(Debug)]
pub struct BoundedConnection {
    connections: Arc<Connections>,
    holder: Arc<Holder>,
    key: u64,
    /// Calls whose request has arrived and whose response is not ready.
    calls: AtomicUsize,
    shared: Arc<Shared>,
}

/// Call on a connection, which does not give way until the call ends.
#[derive(Debug)]
pub struct ConnectionCall(Arc<BoundedConnection>);

impl BoundedConnection {
    pub(in crate::node) fn new(
        connections: &Arc<Connections>,
        listener: &'static str,
        shared: &Arc<Shared>,
    ) -> Arc<Self> {
        let holder = Arc::new(Holder::new(listener));
        holder.record_progress(shared.now());
        let key = connections.holders.add(&holder);
        Metrics::gauge(&shared.metrics.connections, listener).inc();
        let (connections, shared) = (Arc::clone(connections), Arc::clone(shared));
        Arc::new(Self { connections, holder, key, calls: AtomicUsize::new(0), shared })
    }

    /// Returns the holder of its place.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Records that the peer has sent or taken bytes.
    pub fn record_progress(&self, now: Tick) {
        if self.calls.load(Ordering::Relaxed) == 0 {
            self.holder.record_progress(now);
        } else {
            self.holder.record_work();
        }
    }

    /// Starts a call.
    pub fn start_call(self: &Arc<Self>) -> ConnectionCall {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.holder.record_work();
        ConnectionCall(Arc::clone(self))
    }

    /// Runs the task of the connection until it ends or has to give way.
    pub async fn run(self: Arc<Self>, connection: impl Future<Output = ()>) {
        tokio::select! {
            () = connection => {}
            () = self.holder.evicted() => {}
        }
    }
}

impl Drop for BoundedConnection {
    fn drop(&mut self) {
        self.connections.holders.remove(self.key);
        Metrics::gauge(&self.shared.metrics.connections, self.holder.kind).dec();
        self.connections.closed.notify_waiters();
    }
}

impl Drop for ConnectionCall {
    fn drop(&mut self) {
        if self.0.calls.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.holder.record_progress(self.0.shared.now());
        }
    }
}
