//! A token bucket in one atomic, by the generic cell rate algorithm.

use {
    crate::tick::Tick,
    std::sync::atomic::{AtomicU64, Ordering},
};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Grants tokens at a steady rate with a bounded burst.
///
/// Holds the theoretical arrival time of the next token, in nanoseconds of a [`Tick`].
#[derive(Debug)]
pub struct TokenBucket {
    next: AtomicU64,
    rate: AtomicU64,
    burst: AtomicU64,
    granted: AtomicU64,
}

impl TokenBucket {
    /// A full bucket of `rate` tokens a second that holds `burst` tokens.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self {
            next: AtomicU64::new(0),
            rate: AtomicU64::new(rate),
            burst: AtomicU64::new(burst),
            granted: AtomicU64::new(0),
        }
    }

    /// Changes the rate and the burst; tokens already granted count on.
    pub fn set(&self, rate: u64, burst: u64) {
        self.rate.store(rate, Ordering::Relaxed);
        self.burst.store(burst, Ordering::Relaxed);
    }

    /// Takes `tokens` if the bucket holds them.
    pub fn try_take(&self, now: Tick, tokens: u64) -> bool {
        let rate = self.rate.load(Ordering::Relaxed);
        let burst = self.burst.load(Ordering::Relaxed);
        if rate == 0 || tokens > burst {
            return false;
        }
        let now_ns = now.0.saturating_mul(1_000);
        let price_ns = cost_ns(tokens, rate);
        let window_ns = cost_ns(burst, rate);
        let taken = self.next.fetch_update(Ordering::AcqRel, Ordering::Acquire, |next| {
            let after = next.max(now_ns).saturating_add(price_ns);
            (after <= now_ns.saturating_add(window_ns)).then_some(after)
        });
        if taken.is_ok() {
            self.granted.fetch_add(tokens, Ordering::Relaxed);
        }
        taken.is_ok()
    }

    /// Tokens granted since the start.
    pub fn granted(&self) -> u64 {
        self.granted.load(Ordering::Relaxed)
    }

    /// Most tokens that the rate and the burst allow within `elapsed` of the start.
    pub fn allowance(&self, elapsed: std::time::Duration) -> u64 {
        let rate = self.rate.load(Ordering::Relaxed);
        let micros = crate::tick::micros(elapsed);
        self.burst.load(Ordering::Relaxed) + rate.saturating_mul(micros) / MICROS_PER_SECOND + 1
    }
}

fn cost_ns(tokens: u64, rate: u64) -> u64 {
    let ns = u128::from(tokens) * 1_000_000_000 / u128::from(rate);
    u64::try_from(ns).unwrap_or(u64::MAX).max(1)
}
