//! Concurrency limit that follows what the upstream can really do.

use {
    crate::tick::{Tick, micros},
    std::{
        sync::atomic::{AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// Service time of a busy upstream relative to an idle one, in percent, above which the limit falls.
const CONGESTED_PERCENT: u64 = 160;

/// Share of failures, in percent, above which the limit falls.
const FAILING_PERCENT: u32 = 50;

/// Shortest time between two changes of the limit.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);

/// Smoothing of the service time and the failure share, as a divisor.
const SMOOTHING: u64 = 16;

/// Smoothing of the service times that are compared with each other, as a divisor.
const SLOW_SMOOTHING: u64 = 64;

/// Samples of each kind before they are compared.
const MIN_SAMPLES: u32 = 128;

/// Adjusts the concurrency of a gate between one and the announced slots.
///
/// An upstream may slow down before all its slots are in use, the announced slots may be wrong, and neighbours share the upstream. The limit falls while requests that
/// run beside many others take much longer than those that run beside few, and rises again step by step.
#[derive(Debug)]
pub struct AdaptiveLimit {
    announced: AtomicU32,
    usable_percent: AtomicU32,
    limit: AtomicU32,
    latency_us: AtomicU64,
    idle_us: AtomicU64,
    busy_us: AtomicU64,
    idle_samples: AtomicU32,
    busy_samples: AtomicU32,
    failing_percent: AtomicU32,
    adjusted_at: AtomicU64,
    failed_at: AtomicU64,
}

impl AdaptiveLimit {
    /// A limit that starts at the announced slots.
    pub fn new(announced: u32) -> Self {
        Self {
            announced: AtomicU32::new(announced),
            usable_percent: AtomicU32::new(100),
            limit: AtomicU32::new(announced),
            latency_us: AtomicU64::new(0),
            idle_us: AtomicU64::new(0),
            busy_us: AtomicU64::new(0),
            idle_samples: AtomicU32::new(0),
            busy_samples: AtomicU32::new(0),
            failing_percent: AtomicU32::new(0),
            adjusted_at: AtomicU64::new(0),
            failed_at: AtomicU64::new(0),
        }
    }

    /// Takes a new announcement of slots.
    pub fn announce(&self, slots: u32) {
        let usable = slots * self.usable_percent.load(Ordering::Relaxed) / 100;
        let usable = usable.max(slots.min(1));
        let old = self.announced.swap(usable, Ordering::Relaxed);
        if old != usable {
            self.limit.store(usable, Ordering::Relaxed);
        }
    }

    /// Sets the share of the announced slots that is used, from the next announcement on.
    pub fn set_usable_percent(&self, percent: u32) {
        self.usable_percent.store(percent, Ordering::Relaxed);
    }

    /// Requests that may run at once.
    pub fn get(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    /// Smoothed service time in microseconds, zero while unknown.
    pub fn latency_us(&self) -> u64 {
        self.latency_us.load(Ordering::Relaxed)
    }

    /// Smoothed share of failed requests in percent; halves with each second without a failure.
    pub fn failing_percent(&self, now: Tick) -> u32 {
        let quiet = now.since(Tick(self.failed_at.load(Ordering::Relaxed))).as_secs().min(31);
        self.failing_percent.load(Ordering::Relaxed) >> quiet
    }

    /// Whether the upstream fails most of what it gets.
    pub fn is_failing(&self, now: Tick) -> bool {
        self.failing_percent(now) > FAILING_PERCENT
    }

    /// Takes the end of one request that ran beside `running` others.
    pub fn observe(&self, now: Tick, service_time: Duration, success: bool, running: u32) {
        self.observe_failure(now, success);
        if !success {
            return;
        }
        let sample = micros(service_time).max(1);
        smooth(&self.latency_us, sample, SMOOTHING);
        let (estimate, samples) = if running > self.get() / 2 {
            (&self.busy_us, &self.busy_samples)
        } else {
            (&self.idle_us, &self.idle_samples)
        };
        smooth(estimate, sample, SLOW_SMOOTHING);
        samples.fetch_add(1, Ordering::Relaxed);
        self.adjust(now);
    }

    fn observe_failure(&self, now: Tick, success: bool) {
        let previous = self.failing_percent(now);
        let sample = if success { 0 } else { 100 };
        let next = (previous * (SMOOTHING as u32 - 1) + sample) / SMOOTHING as u32;
        self.failing_percent.store(next, Ordering::Relaxed);
        self.failed_at.store(now.0, Ordering::Relaxed);
    }

    fn adjust(&self, now: Tick) {
        let last = self.adjusted_at.load(Ordering::Relaxed);
        if now.since(Tick(last)) < ADJUST_INTERVAL {
            return;
        }
        let won =
            self.adjusted_at.compare_exchange(last, now.0, Ordering::Relaxed, Ordering::Relaxed);
        if won.is_err() {
            return;
        }
        let announced = self.announced.load(Ordering::Relaxed);
        let limit = self.limit.load(Ordering::Relaxed);
        let enough = |samples: &AtomicU32| samples.load(Ordering::Relaxed) >= MIN_SAMPLES;
        if !enough(&self.idle_samples) || !enough(&self.busy_samples) {
            return;
        }
        self.busy_samples.store(0, Ordering::Relaxed);
        let next = if self.is_congested() {
            (limit * 7 / 8).max(announced / 4).max(1)
        } else {
            (limit + 1).min(announced)
        };
        self.limit.store(next, Ordering::Relaxed);
    }

    fn is_congested(&self) -> bool {
        let idle = self.idle_us.load(Ordering::Relaxed);
        let busy = self.busy_us.load(Ordering::Relaxed);
        busy * 100 > idle * CONGESTED_PERCENT
    }
}

fn smooth(estimate: &AtomicU64, sample: u64, divisor: u64) {
    let step =
        |old: u64| Some(if old == 0 { sample } else { (old * (divisor - 1) + sample) / divisor });
    let _previous = estimate.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
}
