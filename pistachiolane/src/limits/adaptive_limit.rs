//! Concurrency limit that adapts to the measured capacity of the upstream.

use {
    crate::tick::{Tick, micros},
    std::{
        sync::atomic::{AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// Service time at high concurrency relative to the one at low concurrency, in percent, above which
/// the limit decreases.
const CONGESTION_RATIO_PERCENT: u64 = 160;

/// Share of failed requests, in percent, above which the upstream counts as failing.
const FAILURE_THRESHOLD_PERCENT: u32 = 50;

/// Minimum time between two changes of the limit.
const MIN_ADJUST_INTERVAL: Duration = Duration::from_millis(100);

/// Inverse weight of one sample in the averages of service time and failure share.
const SMOOTHING_DIVISOR: u64 = 16;

/// Inverse weight of one sample in the two averages that are compared to detect congestion.
const COMPARISON_SMOOTHING_DIVISOR: u64 = 64;

/// Number of samples required at low concurrency, and again at high concurrency, before the averages are
/// compared.
const MIN_SAMPLES: u32 = 128;

/// Concurrency limit of a gate, between one and the usable announced slots; zero only if none are announced.
///
/// An upstream may slow down before all its slots are in use, the announced slots may be wrong, and
/// other tenants share the upstream. The limit decreases by an eighth, but not below a quarter of its
/// maximum, while requests at high concurrency take much longer than those at low concurrency; otherwise
/// it increases by one at a time.
#[derive(Debug)]
pub struct AdaptiveLimit {
    max_limit: AtomicU32,
    usable_percent: AtomicU32,
    limit: AtomicU32,
    latency_us: AtomicU64,
    low_concurrency_us: AtomicU64,
    high_concurrency_us: AtomicU64,
    low_concurrency_samples: AtomicU32,
    high_concurrency_samples: AtomicU32,
    failing_percent: AtomicU32,
    adjusted_at: AtomicU64,
    observed_at: AtomicU64,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at the announced slots.
    pub fn new(announced: u32) -> Self {
        Self {
            max_limit: AtomicU32::new(announced),
            usable_percent: AtomicU32::new(100),
            limit: AtomicU32::new(announced),
            latency_us: AtomicU64::new(0),
            low_concurrency_us: AtomicU64::new(0),
            high_concurrency_us: AtomicU64::new(0),
            low_concurrency_samples: AtomicU32::new(0),
            high_concurrency_samples: AtomicU32::new(0),
            failing_percent: AtomicU32::new(0),
            adjusted_at: AtomicU64::new(0),
            observed_at: AtomicU64::new(0),
        }
    }

    /// Sets the announced slots. If this changes the maximum of the limit, the limit restarts there.
    pub fn announce(&self, slots: u32) {
        let usable = slots * self.usable_percent.load(Ordering::Relaxed) / 100;
        let usable = usable.max(slots.min(1));
        let old = self.max_limit.swap(usable, Ordering::Relaxed);
        if old != usable {
            self.limit.store(usable, Ordering::Relaxed);
        }
    }

    /// Sets the share of the announced slots that is used; applies from the next announcement.
    pub fn set_usable_percent(&self, percent: u32) {
        self.usable_percent.store(percent, Ordering::Relaxed);
    }

    /// Returns the number of requests that may run concurrently.
    pub fn get(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    /// Returns the smoothed service time in microseconds, or zero while unknown.
    pub fn latency_us(&self) -> u64 {
        self.latency_us.load(Ordering::Relaxed)
    }

    /// Returns the smoothed share of failed requests in percent.
    ///
    /// It halves with each second since the last observed request.
    pub fn failing_percent(&self, now: Tick) -> u32 {
        let idle_seconds =
            now.since(Tick(self.observed_at.load(Ordering::Relaxed))).as_secs().min(31);
        self.failing_percent.load(Ordering::Relaxed) >> idle_seconds
    }

    /// Whether most requests to the upstream fail.
    pub fn is_failing(&self, now: Tick) -> bool {
        self.failing_percent(now) > FAILURE_THRESHOLD_PERCENT
    }

    /// Records the end of one request; `running` is the number of requests running at that time.
    pub fn observe(&self, now: Tick, service_time: Duration, success: bool, running: u32) {
        self.observe_failure(now, success);
        if !success {
            return;
        }
        let sample = micros(service_time).max(1);
        smooth(&self.latency_us, sample, SMOOTHING_DIVISOR);
        let (estimate, samples) = if running > self.get() / 2 {
            (&self.high_concurrency_us, &self.high_concurrency_samples)
        } else {
            (&self.low_concurrency_us, &self.low_concurrency_samples)
        };
        smooth(estimate, sample, COMPARISON_SMOOTHING_DIVISOR);
        samples.fetch_add(1, Ordering::Relaxed);
        self.adjust(now);
    }

    fn observe_failure(&self, now: Tick, success: bool) {
        let previous = self.failing_percent(now);
        let sample = if success { 0 } else { 100 };
        let next = (previous * (SMOOTHING_DIVISOR as u32 - 1) + sample) / SMOOTHING_DIVISOR as u32;
        self.failing_percent.store(next, Ordering::Relaxed);
        self.observed_at.store(now.0, Ordering::Relaxed);
    }

    fn adjust(&self, now: Tick) {
        let last = self.adjusted_at.load(Ordering::Relaxed);
        if now.since(Tick(last)) < MIN_ADJUST_INTERVAL {
            return;
        }
        let claimed =
            self.adjusted_at.compare_exchange(last, now.0, Ordering::Relaxed, Ordering::Relaxed);
        if claimed.is_err() {
            return;
        }
        let max_limit = self.max_limit.load(Ordering::Relaxed);
        let limit = self.limit.load(Ordering::Relaxed);
        let is_sampled = |samples: &AtomicU32| samples.load(Ordering::Relaxed) >= MIN_SAMPLES;
        if !is_sampled(&self.low_concurrency_samples) || !is_sampled(&self.high_concurrency_samples)
        {
            return;
        }
        self.high_concurrency_samples.store(0, Ordering::Relaxed);
        let next = if self.is_congested() {
            (limit * 7 / 8).max(max_limit / 4).max(1)
        } else {
            (limit + 1).min(max_limit)
        };
        self.limit.store(next, Ordering::Relaxed);
    }

    fn is_congested(&self) -> bool {
        let low = self.low_concurrency_us.load(Ordering::Relaxed);
        let high = self.high_concurrency_us.load(Ordering::Relaxed);
        high * 100 > low * CONGESTION_RATIO_PERCENT
    }
}

fn smooth(estimate: &AtomicU64, sample: u64, divisor: u64) {
    let step =
        |old: u64| Some(if old == 0 { sample } else { (old * (divisor - 1) + sample) / divisor });
    let _previous = estimate.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
}
