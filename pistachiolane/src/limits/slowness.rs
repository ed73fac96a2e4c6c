//! Slowness of an upstream: its service time relative to its average, which varies with the load of other
//! tenants on the host.

use {
    super::Average,
    crate::tick::Tick,
    std::{
        sync::atomic::{AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// Age up to which an observed slowness is used; the load of other tenants changes several times a second.
const MAX_AGE: Duration = Duration::from_millis(150);

/// Ratio of the current to the last reported slowness, or its inverse, in percent, from which a change is
/// reported to other nodes.
const REPORTED_CHANGE_PERCENT: u32 = 150;

/// Minimum time between two unsolicited load reports because of slowness.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(40);

/// Upper bound of the relative slowness, in percent.
const MAX_PERCENT: u32 = 1_000;

/// Slowness that the upstream reports about itself, relative to its average.
#[derive(Debug, Default)]
pub struct Slowness {
    percent: AtomicU32,
    observed_at: AtomicU64,
    average: Average,
    reported_percent: AtomicU32,
    reported_at: AtomicU64,
}

impl Slowness {
    /// Records a slowness that the upstream reports, in percent; 100 is its usual service time.
    pub fn observe(&self, now: Tick, percent: u32) {
        let percent = percent.max(1);
        self.average.record(f64::from(percent));
        self.percent.store(percent, Ordering::Relaxed);
        self.observed_at.store(now.0, Ordering::Relaxed);
    }

    /// Returns the slowness relative to its average in percent; 100 while there is no recent value.
    pub fn relative_percent(&self, now: Tick) -> u32 {
        let average = self.average.get();
        let is_recent = now.since(Tick(self.observed_at.load(Ordering::Relaxed))) <= MAX_AGE;
        if average == 0.0 || !is_recent {
            return 100;
        }
        let relative = f64::from(self.percent.load(Ordering::Relaxed)) * 100.0 / average;
        (relative as u32).clamp(1, MAX_PERCENT)
    }

    /// Whether an unsolicited load report is due because the slowness changed; if so, later changes are
    /// measured from the current value.
    pub fn claim_unsolicited_report(&self, now: Tick) -> bool {
        let relative = self.relative_percent(now);
        let reported_percent = self.reported_percent.load(Ordering::Relaxed).max(1);
        let changed = relative.max(reported_percent) * 100
            >= relative.min(reported_percent) * REPORTED_CHANGE_PERCENT;
        let since_reported = now.since(Tick(self.reported_at.load(Ordering::Relaxed)));
        if !changed || since_reported < MIN_REPORT_INTERVAL {
            return false;
        }
        self.reported_at.store(now.0, Ordering::Relaxed);
        self.reported_percent.swap(relative, Ordering::Relaxed) != relative
    }
}
