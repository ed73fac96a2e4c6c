//! Exponentially weighted moving average in one atomic.

use std::sync::atomic::{AtomicU64, Ordering};

/// Inverse weight of one sample in the average.
const SMOOTHING_DIVISOR: f64 = 16.0;

/// Exponentially weighted moving average; zero until the first sample.
#[derive(Debug, Default)]
pub struct Average {
    bits: AtomicU64,
}

impl Average {
    /// Records a sample.
    pub fn record(&self, sample: f64) {
        let step = |bits: u64| {
            let old = f64::from_bits(bits);
            let next = if old == 0.0 { sample } else { old + (sample - old) / SMOOTHING_DIVISOR };
            Some(next.to_bits())
        };
        let _previous = self.bits.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }

    /// Returns the average.
    pub fn get(&self) -> f64 {
        f64::from_bits(self.bits.load(Ordering::Relaxed))
    }
}
