//! Age of the settings that a node holds: the time since it learned that others hold different ones.

use {
    crate::tick::Tick,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Age from which a node reads the store itself: less than half of the shortest time in which a change must be in
/// force, so that a read and a retry fit in the rest.
const OVERDUE: Duration = Duration::from_secs(1);

/// Additional age of the last node to read, so that nodes that miss the same change don't all read at once.
const OVERDUE_SPREAD: Duration = Duration::from_millis(500);

/// Time without a packet that differs after which a difference has ended: a peer sent the last one before it had what
/// is in force here, or the other way round. Several packets a second arrive.
const DIFFERENCE_GAP: Duration = Duration::from_millis(600);

/// Age of the settings of one node. Thread-safe.
#[derive(Debug, Default)]
pub struct SettingsAge {
    /// Time of the first packet of the current difference, since the last comparison; zero if there was none.
    differs_since: AtomicU64,
    /// Time of the last packet with a digest that differs.
    differed_at: AtomicU64,
    /// Time of the last confirmation: a peer or the store holds the same settings or older ones.
    confirmed_at: AtomicU64,
}

impl SettingsAge {
    /// Records that a peer holds the same settings. It may miss the same change as this node.
    pub fn confirm(&self, now: Tick) {
        self.confirmed_at.store(now.0, Ordering::Relaxed);
    }

    /// Records a complete comparison with a peer or the store, after which what was newer there is in force here.
    pub fn resolve(&self, now: Tick) {
        self.confirm(now);
        self.differs_since.store(0, Ordering::Relaxed);
    }

    /// Records that a peer holds different settings, which may be newer.
    pub fn record_difference(&self, now: Tick) {
        let previous = Tick(self.differed_at.swap(now.0, Ordering::Relaxed));
        let has_ended = now.since(previous) > DIFFERENCE_GAP;
        if has_ended || self.differs_since.load(Ordering::Relaxed) == 0 {
            self.differs_since.store(now.0.max(1), Ordering::Relaxed);
        }
    }

    /// Returns the time since the settings were last confirmed.
    pub fn since_confirmed(&self, now: Tick) -> Duration {
        now.since(Tick(self.confirmed_at.load(Ordering::Relaxed)))
    }

    /// Whether the node should read the store itself, because peers have not supplied what differs in time. `spread` is
    /// the node's place among the others, from 0 to 1.
    pub fn is_overdue(&self, now: Tick, spread: f64) -> bool {
        let since = self.differs_since.load(Ordering::Relaxed);
        let limit = OVERDUE + OVERDUE_SPREAD.mul_f64(spread.clamp(0.0, 1.0));
        let since_difference = now.since(Tick(self.differed_at.load(Ordering::Relaxed)));
        since > 0 && since_difference <= DIFFERENCE_GAP && now.since(Tick(since)) >= limit
    }
}
