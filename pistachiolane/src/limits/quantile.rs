//! A running estimate of a latency quantile in one atomic.

use {
    crate::tick::micros,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Estimates a quantile of a stream by stochastic approximation on a logarithmic scale.
///
/// Steps up by `quantile` and down by `1 - quantile`, scaled by the estimate itself.
#[derive(Debug)]
pub struct Quantile {
    estimate_us: AtomicU64,
    samples: AtomicU64,
    permille: u64,
}

/// Relative step of one sample, as a divisor.
const STEP_DIVISOR: u64 = 16;

/// Samples before the estimate is used.
const MIN_SAMPLES: u64 = 64;

impl Quantile {
    /// An estimator of the quantile `permille / 1000`.
    pub fn new(permille: u64) -> Self {
        Self { estimate_us: AtomicU64::new(0), samples: AtomicU64::new(0), permille }
    }

    /// Adds one sample.
    pub fn record(&self, sample: Duration) {
        let sample_us = micros(sample).max(1);
        let step = |estimate: u64| {
            if estimate == 0 {
                return Some(sample_us);
            }
            let unit = (estimate / STEP_DIVISOR).max(1);
            Some(if sample_us > estimate {
                estimate + (unit * self.permille / 1_000).max(1)
            } else {
                estimate.saturating_sub(unit * (1_000 - self.permille) / 1_000).max(1)
            })
        };
        let _previous = self.estimate_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
        self.samples.fetch_add(1, Ordering::Relaxed);
    }

    /// The estimate, once enough samples have been seen.
    pub fn get(&self) -> Option<Duration> {
        let enough = self.samples.load(Ordering::Relaxed) >= MIN_SAMPLES;
        enough.then(|| Duration::from_micros(self.estimate_us.load(Ordering::Relaxed)))
    }
}
