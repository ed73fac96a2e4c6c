//! Streaming estimate of a latency quantile in one atomic.

use {
    crate::tick::micros,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Estimates a quantile of a stream by stochastic approximation on a logarithmic scale.
///
/// Each sample moves the estimate up by a step proportional to `quantile` or down by one proportional
/// to `1 - quantile`; steps scale with the estimate itself.
#[derive(Debug)]
pub struct Quantile {
    estimate_us: AtomicU64,
    samples: AtomicU64,
    permille: u64,
}

/// Ratio of the estimate to the step size of one sample.
const STEP_DIVISOR: u64 = 16;

/// Samples that are required before the estimate is used.
const MIN_SAMPLES: u64 = 64;

impl Quantile {
    /// Creates an estimator of the quantile `permille / 1000`.
    pub fn new(permille: u64) -> Self {
        Self { estimate_us: AtomicU64::new(0), samples: AtomicU64::new(0), permille }
    }

    /// Records one sample.
    pub fn record(&self, sample: Duration) {
        let sample_us = micros(sample).max(1);
        let step = |estimate: u64| {
            if estimate == 0 {
                return Some(sample_us);
            }
            let step_size = (estimate / STEP_DIVISOR).max(1);
            Some(if sample_us > estimate {
                estimate + (step_size * self.permille / 1_000).max(1)
            } else {
                estimate.saturating_sub(step_size * (1_000 - self.permille) / 1_000).max(1)
            })
        };
        let _previous = self.estimate_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
        self.samples.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the estimate, or `None` until enough samples are recorded.
    pub fn get(&self) -> Option<Duration> {
        let enough = self.samples.load(Ordering::Relaxed) >= MIN_SAMPLES;
        enough.then(|| Duration::from_micros(self.estimate_us.load(Ordering::Relaxed)))
    }
}
