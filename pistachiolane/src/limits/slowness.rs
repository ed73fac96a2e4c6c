//! Slowness of an upstream: its service time relative to its average, which varies with the load of other
//! tenants on the host.

use {
    super::Average,
    crate::tick::{Tick, micros},
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

/// Slowness in percent of the usual service time from which the upstream is in a slow phase.
const SLOW_PHASE_PERCENT: u32 = 150;

/// Time that a typical slow phase adds to a request, in percent of its usual service time.
const TYPICAL_ADDED_PERCENT: u32 = 300;

/// Duration of a slow phase that is assumed until one was observed.
const DEFAULT_SLOW_PHASE: Duration = Duration::from_millis(200);

/// Duration after which a slow phase counts as the upstream's normal state, and nothing is deferred.
const MAX_SLOW_PHASE: Duration = Duration::from_secs(1);

/// Slowness that the upstream reports about itself, relative to its average.
#[derive(Debug, Default)]
pub struct Slowness {
    percent: AtomicU32,
    observed_at: AtomicU64,
    average: Average,
    /// Start of the current slow phase; zero if there is none.
    slow_since: AtomicU64,
    /// Average duration of the observed slow phases in microseconds; zero if there was none.
    slow_phase_us: Average,
    reported_percent: AtomicU32,
    reported_at: AtomicU64,
}

impl Slowness {
    /// Records a slowness that the upstream reports, in percent; 100 is its usual service time.
    pub fn observe(&self, now: Tick, percent: u32) {
        let percent = percent.max(1);
        self.average.record(f64::from(percent));
        self.observe_phase(now, percent);
        self.percent.store(percent, Ordering::Relaxed);
        self.observed_at.store(now.0, Ordering::Relaxed);
    }

    fn observe_phase(&self, now: Tick, percent: u32) {
        let slow_since = self.slow_since.load(Ordering::Relaxed);
        match percent >= SLOW_PHASE_PERCENT {
            true if slow_since == 0 => self.slow_since.store(now.0, Ordering::Relaxed),
            false if slow_since > 0 => {
                let duration = now.since(Tick(slow_since)).min(MAX_SLOW_PHASE);
                self.slow_phase_us.record(micros(duration) as f64);
                self.slow_since.store(0, Ordering::Relaxed);
            }
            _ => {}
        }
    }

    /// Returns the age of the last observed value, or `None` if there was none.
    pub fn age(&self, now: Tick) -> Option<Duration> {
        let observed_at = self.observed_at.load(Ordering::Relaxed);
        (observed_at > 0).then(|| now.since(Tick(observed_at)))
    }

    /// Whether a request of this service time should start only after the current slow phase, because
    /// the phase is expected to end before the time that a start in it would add.
    ///
    /// An upstream determines the duration of a request at its start.
    pub fn defers(&self, now: Tick, service_time: Duration) -> bool {
        let slow_since = self.slow_since.load(Ordering::Relaxed);
        let is_recent = self.age(now).is_some_and(|age| age <= MAX_AGE);
        if slow_since == 0 || !is_recent || now.since(Tick(slow_since)) > MAX_SLOW_PHASE {
            return false;
        }
        let added_percent =
            self.percent.load(Ordering::Relaxed).min(MAX_PERCENT).saturating_sub(100);
        self.is_worth_waiting(service_time, added_percent)
    }

    /// Whether a slow phase of typical slowness and duration would defer a request of this service time.
    pub fn may_defer(&self, service_time: Duration) -> bool {
        self.is_worth_waiting(service_time, TYPICAL_ADDED_PERCENT)
    }

    /// Compares with the average duration of slow phases: how long the current one has lasted says little
    /// about the rest of it.
    fn is_worth_waiting(&self, service_time: Duration, added_percent: u32) -> bool {
        let phase_us = match self.slow_phase_us.get() {
            0.0 => micros(DEFAULT_SLOW_PHASE) as f64,
            phase_us => phase_us,
        };
        micros(service_time) as f64 * f64::from(added_percent) / 100.0 > phase_us
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
