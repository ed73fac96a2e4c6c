//! Whether a gate admits attempts, as far as the evacuation of its availability zone decides.

use {
    crate::tick::{Tick, micros},
    std::{
        sync::atomic::{AtomicU8, AtomicU64, Ordering},
        time::Duration,
    },
};

value! {
    /// Evacuation of a gate's zone, as the gate knows it.
    pub enum ZoneEvacuation {
        /// The zone is not evacuated; the gate admits attempts.
        None,
        /// The gate does not know whether the zone is evacuated: the node has just started, or could not follow the
        /// settings for a while.
        Unknown,
        /// The zone is evacuated.
        Evacuated,
        /// The zone is no longer evacuated, but the state of the upstream must be read first.
        Reopening,
    }
}

impl ZoneEvacuation {
    const ALL: [Self; 4] = [Self::None, Self::Unknown, Self::Evacuated, Self::Reopening];

    /// Returns the name used in the status.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Unknown => "unknown",
            Self::Evacuated => "evacuated",
            Self::Reopening => "reopening",
        }
    }
}

/// State of a gate's zone. Thread-safe; a gate of a deployment without evacuations stays in the state
/// [`ZoneEvacuation::None`].
#[derive(Debug, Default)]
pub struct ZoneState {
    /// Code of a [`ZoneEvacuation`].
    state: AtomicU8,
    /// Longest time in microseconds between two observations after which the state is still known; zero for no limit.
    max_gap_us: AtomicU64,
    observed_at: AtomicU64,
    /// Time from which on a confirmation must have been requested to count.
    unknown_since: AtomicU64,
}

impl ZoneState {
    /// Requires that the set of evacuated zones is known, from now on and again after each time of more than `max_gap`
    /// in which the process did not run.
    pub fn require(&self, max_gap: Duration) {
        self.max_gap_us.store(micros(max_gap).max(1), Ordering::SeqCst);
        self.set(ZoneEvacuation::Unknown);
    }

    /// Returns the state.
    pub fn get(&self) -> ZoneEvacuation {
        let code = usize::from(self.state.load(Ordering::SeqCst));
        ZoneEvacuation::ALL.get(code).copied().unwrap_or(ZoneEvacuation::Unknown)
    }

    /// Records that the process runs, and returns the state. After a pause it is unknown, because the zone may have
    /// been evacuated in the meantime.
    pub fn observe(&self, now: Tick) -> ZoneEvacuation {
        let max_gap = self.max_gap_us.load(Ordering::Relaxed);
        if max_gap > 0 {
            // The state changes before the time, so that a concurrent call that finds no gap finds the new state.
            if now.0.saturating_sub(self.observed_at.load(Ordering::SeqCst)) > max_gap {
                self.forget(now);
            }
            self.observed_at.fetch_max(now.0, Ordering::SeqCst);
        }
        self.get()
    }

    /// Records that the node may have missed changes; has no effect on a gate that is closed anyway or that does not
    /// need to know the set.
    pub fn forget(&self, now: Tick) {
        if self.max_gap_us.load(Ordering::Relaxed) == 0 {
            return;
        }
        self.unknown_since.fetch_max(now.0, Ordering::SeqCst);
        self.replace(ZoneEvacuation::None, ZoneEvacuation::Unknown);
        self.replace(ZoneEvacuation::Reopening, ZoneEvacuation::Unknown);
    }

    /// Records that the zone is evacuated.
    pub fn evacuate(&self) {
        self.set(ZoneEvacuation::Evacuated);
    }

    /// Records that a newer set does not contain the zone; returns whether that ended an evacuation.
    pub fn end(&self) -> bool {
        self.replace(ZoneEvacuation::Evacuated, ZoneEvacuation::Reopening)
    }

    /// Records that the store or a peer confirmed at a request of `requested_at` that the zone is not evacuated;
    /// returns whether the state was unknown until then.
    pub fn confirm(&self, requested_at: Tick) -> bool {
        requested_at.0 >= self.unknown_since.load(Ordering::SeqCst)
            && self.replace(ZoneEvacuation::Unknown, ZoneEvacuation::Reopening)
    }

    /// Admits attempts again after the state of the upstream was read, unless the state has changed meanwhile.
    pub fn reopen(&self) -> bool {
        self.replace(ZoneEvacuation::Reopening, ZoneEvacuation::None)
    }

    fn set(&self, state: ZoneEvacuation) {
        self.state.store(state as u8, Ordering::SeqCst);
    }

    fn replace(&self, from: ZoneEvacuation, to: ZoneEvacuation) -> bool {
        let (from, to) = (from as u8, to as u8);
        self.state.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }
}
