//! One holder of a bounded resource.

use {
    crate::tick::Tick,
    std::{
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        time::Duration,
    },
    tokio_util::sync::CancellationToken,
};

/// Value of [`Holder::waiting_since`] while the node works for the holder.
const NODE_WORKS: u64 = u64::MAX;

/// Holder of a bounded resource: a body that is received, a response that is sent, or a connection.
#[derive(Debug)]
pub struct Holder {
    /// Name of the kind of holder, for the metrics and the log.
    pub kind: &'static str,
    /// Bytes that it holds.
    pub(super) bytes: AtomicU64,
    /// Time in microseconds since which the node waits for the peer.
    waiting_since: AtomicU64,
    is_evicted: AtomicBool,
    evicted: CancellationToken,
}

impl Holder {
    /// Creates a holder for which the node works.
    pub fn new(kind: &'static str) -> Self {
        Self {
            kind,
            bytes: AtomicU64::new(0),
            waiting_since: AtomicU64::new(NODE_WORKS),
            is_evicted: AtomicBool::new(false),
            evicted: CancellationToken::new(),
        }
    }

    /// Sets the token whose cancellation ends the task of the holder, for one that ends together with others.
    #[must_use]
    pub fn with_eviction(self, evicted: CancellationToken) -> Self {
        Self { evicted, ..self }
    }

    /// Returns the token whose cancellation ends the task of the holder.
    pub fn eviction(&self) -> &CancellationToken {
        &self.evicted
    }

    /// Returns the bytes that it holds.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Records that the peer has sent or taken bytes, and that the node waits for it again.
    pub fn record_progress(&self, now: Tick) {
        self.waiting_since.store(now.0, Ordering::Relaxed);
    }

    /// Records that the node itself works for the holder, so that the peer isn't what is waited for.
    pub fn record_work(&self) {
        self.waiting_since.store(NODE_WORKS, Ordering::Relaxed);
    }

    /// Records that the node waits for the peer, from now on if it did not wait before.
    pub fn record_wait(&self, now: Tick) {
        // Fails if the node waits already.
        let _waiting = self.waiting_since.compare_exchange(
            NODE_WORKS,
            now.0,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
    }

    /// Returns the time for which the node has waited for the peer; `None` while the node works, and after an eviction.
    pub fn stalled_for(&self, now: Tick) -> Option<Duration> {
        let since = self.waiting_since.load(Ordering::Relaxed);
        let is_waiting = since != NODE_WORKS && !self.was_evicted();
        is_waiting.then(|| now.since(Tick(since)))
    }

    /// Tells the task of the holder to end; returns whether this is the first time.
    pub fn evict(&self) -> bool {
        let is_first = !self.is_evicted.swap(true, Ordering::SeqCst);
        self.evicted.cancel();
        is_first
    }

    /// Whether the holder was told to end.
    pub fn was_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::SeqCst)
    }

    /// Waits until the holder is evicted.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}
