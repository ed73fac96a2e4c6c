//! How long work takes at an upstream at this moment, which its neighbours on the host change.

use {
    super::Average,
    crate::tick::Tick,
    std::{
        sync::atomic::{AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// Time for which an upstream's account is believed; neighbours change it several times a second.
const LIFE: Duration = Duration::from_millis(150);

/// Change, as a ratio in percent, that is news to other nodes.
const NEWS_PERCENT: u32 = 150;

/// Shortest time between two pieces of news.
const NEWS_INTERVAL: Duration = Duration::from_millis(40);

/// Largest figure told, in percent.
const MAX_PERCENT: u32 = 1_000;

/// The upstream's own account of its slowness, relative to its average.
#[derive(Debug, Default)]
pub struct Slowness {
    percent: AtomicU32,
    at: AtomicU64,
    average: Average,
    told: AtomicU32,
    told_at: AtomicU64,
}

impl Slowness {
    /// Takes an account: 100 as usual.
    pub fn observe(&self, now: Tick, percent: u32) {
        let percent = percent.max(1);
        self.average.record(f64::from(percent));
        self.percent.store(percent, Ordering::Relaxed);
        self.at.store(now.0, Ordering::Relaxed);
    }

    /// Slowness relative to the average in percent; 100 while nothing fresh is known.
    pub fn relative_percent(&self, now: Tick) -> u32 {
        let average = self.average.get();
        let fresh = now.since(Tick(self.at.load(Ordering::Relaxed))) <= LIFE;
        if average == 0.0 || !fresh {
            return 100;
        }
        let relative = f64::from(self.percent.load(Ordering::Relaxed)) * 100.0 / average;
        (relative as u32).clamp(1, MAX_PERCENT)
    }

    /// Whether other nodes should hear of a change now; the next change counts from here.
    pub fn claim_unsolicited_report(&self, now: Tick) -> bool {
        let relative = self.relative_percent(now);
        let told = self.told.load(Ordering::Relaxed).max(1);
        let changed = relative.max(told) * 100 >= relative.min(told) * NEWS_PERCENT;
        let since = now.since(Tick(self.told_at.load(Ordering::Relaxed)));
        if !changed || since < NEWS_INTERVAL {
            return false;
        }
        self.told_at.store(now.0, Ordering::Relaxed);
        self.told.swap(relative, Ordering::Relaxed) != relative
    }
}
