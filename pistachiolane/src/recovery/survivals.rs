//! Bounded memory of the requests that upstreams answered lately, and so survived.

use {
    super::Fingerprint,
    crate::tick::Tick,
    std::{
        fmt,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Number of requests remembered; a later one replaces an earlier one with the same remainder.
const CAPACITY: usize = 4_096;

/// Time after an answer during which it clears its request of suspicion.
pub const MAX_AGE: Duration = Duration::from_secs(60);

/// Direct-mapped cache of answered requests. Thread-safe; a race between two entries only loses one of them.
pub struct Survivals {
    entries: Box<[(AtomicU64, AtomicU64)]>,
}

impl Default for Survivals {
    fn default() -> Self {
        Self { entries: (0..CAPACITY).map(|_| (AtomicU64::new(0), AtomicU64::new(0))).collect() }
    }
}

impl fmt::Debug for Survivals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Survivals").finish_non_exhaustive()
    }
}

impl Survivals {
    /// Records that an upstream answered a request.
    pub fn record(&self, now: Tick, fingerprint: Fingerprint) {
        let (key, at) = self.entry(fingerprint);
        at.store(now.0, Ordering::Relaxed);
        key.store(fingerprint.0, Ordering::Relaxed);
    }

    /// Whether an upstream answered the request within [`MAX_AGE`].
    pub fn contains(&self, now: Tick, fingerprint: Fingerprint) -> bool {
        let (key, at) = self.entry(fingerprint);
        key.load(Ordering::Relaxed) == fingerprint.0
            && now.since(Tick(at.load(Ordering::Relaxed))) <= MAX_AGE
    }

    fn entry(&self, fingerprint: Fingerprint) -> &(AtomicU64, AtomicU64) {
        &self.entries[fingerprint.0 as usize % CAPACITY]
    }
}
