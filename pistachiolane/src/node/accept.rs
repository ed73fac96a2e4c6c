//! Accepting connections, whose number is bounded.

use {
    crate::node::{
        bounded_connection::{BoundedConnection, Connections},
        shared::Shared,
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// Delay after a failed accept. The usual cause is that no file descriptor is free; other
/// connections release theirs when they close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Interval at which a listener that has no place left looks for a connection that gives way.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Listener that closes the connection that has waited longest for its peer when it has no place for a new one.
#[derive(Debug)]
pub struct BoundedListener {
    listener: TcpListener,
    /// Identifies the listener in the log and the metrics.
    name: &'static str,
    max_connections: usize,
    connections: Arc<Connections>,
    shared: Arc<Shared>,
}

impl BoundedListener {
    /// Bounds the open connections of a listener.
    pub fn new(
        listener: TcpListener,
        name: &'static str,
        max_connections: u64,
        shared: Arc<Shared>,
    ) -> Self {
        let max_connections = usize::try_from(max_connections).unwrap_or(usize::MAX).max(1);
        Self { listener, name, max_connections, connections: Arc::default(), shared }
    }

    /// Waits for the next connection and retries failed accepts.
    ///
    /// Logs the first failure of a series, and the number of failures once a connection is accepted.
    pub async fn accept(&self) -> (TcpStream, Arc<BoundedConnection>) {
        let mut failures = 0_u64;
        loop {
            self.wait_for_place().await;
            match self.listener.accept().await {
                Ok((socket, _)) => {
                    if failures > 0 {
                        log::info!(
                            target: "node", listener = self.name, failures;
                            "accepting connections again"
                        );
                    }
                    let connection =
                        BoundedConnection::new(&self.connections, self.name, &self.shared);
                    return (socket, connection);
                }
                Err(e) => {
                    if failures == 0 {
                        log::warn!(
                            target: "node", listener = self.name;
                            "cannot accept a connection: {e}"
                        );
                    }
                    failures += 1;
                    self.evict_one();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits until no more connections are open than may be. A new one may exceed that by one, because only then another
    /// has to give way.
    async fn wait_for_place(&self) {
        loop {
            let closed = self.connections.closed.notified();
            if self.connections.holders.len() <= self.max_connections {
                return;
            }
            self.evict_one();
            let _closed = timeout(FULL_CHECK_INTERVAL, closed).await;
        }
    }

    fn evict_one(&self) {
        let now = self.shared.now();
        let stalled = self.connections.holders.longest_stalled(now, Duration::ZERO);
        if let Some(holder) = stalled.filter(|holder| holder.evict()) {
            self.shared.record_eviction(&holder);
        }
    }
}
