//! Token bucket that uses the generic cell rate algorithm (GCRA), with its state in one atomic.

use {
    crate::tick::Tick,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Token bucket with a steady rate and a bounded burst.
///
/// Stores the theoretical arrival time of the next token, in nanoseconds on the time scale of [`Tick`].
#[derive(Debug)]
pub struct TokenBucket {
    next_arrival_ns: AtomicU64,
    rate: AtomicU64,
    burst: AtomicU64,
    granted: AtomicU64,
}

impl TokenBucket {
    /// Creates a full bucket with a rate of `rate` tokens per second and a capacity of `burst` tokens.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self {
            next_arrival_ns: AtomicU64::new(0),
            rate: AtomicU64::new(rate),
            burst: AtomicU64::new(burst),
            granted: AtomicU64::new(0),
        }
    }

    /// Changes the rate and the burst; tokens that were already granted still count.
    pub fn set(&self, rate: u64, burst: u64) {
        self.rate.store(rate, Ordering::Relaxed);
        self.burst.store(burst, Ordering::Relaxed);
    }

    /// Removes all tokens from the bucket.
    pub fn empty(&self, now: Tick) {
        self.next_arrival_ns.store(self.empty_ns(now), Ordering::Release);
    }

    /// Removes a debt that an earlier, lower rate left, so that the bucket is empty at most.
    pub fn forgive_debt(&self, now: Tick) {
        self.next_arrival_ns.fetch_min(self.empty_ns(now), Ordering::AcqRel);
    }

    /// Returns the arrival time of the next token of an empty bucket.
    fn empty_ns(&self, now: Tick) -> u64 {
        let rate = self.rate.load(Ordering::Relaxed);
        let burst = self.burst.load(Ordering::Relaxed);
        let now_ns = now.0.saturating_mul(1_000);
        if rate == 0 { now_ns } else { now_ns.saturating_add(cost_ns(burst, rate)) }
    }

    /// Takes `tokens` from the bucket; `false` if it has fewer.
    pub fn try_take(&self, now: Tick, tokens: u64) -> bool {
        let rate = self.rate.load(Ordering::Relaxed);
        let burst = self.burst.load(Ordering::Relaxed);
        if rate == 0 || tokens > burst {
            return false;
        }
        let now_ns = now.0.saturating_mul(1_000);
        let requested_ns = cost_ns(tokens, rate);
        let burst_ns = cost_ns(burst, rate);
        let update =
            self.next_arrival_ns.fetch_update(Ordering::AcqRel, Ordering::Acquire, |next_ns| {
                let new_next_ns = next_ns.max(now_ns).saturating_add(requested_ns);
                (new_next_ns <= now_ns.saturating_add(burst_ns)).then_some(new_next_ns)
            });
        if update.is_ok() {
            self.granted.fetch_add(tokens, Ordering::Relaxed);
        }
        update.is_ok()
    }

    /// Returns the time until [`Self::try_take`] would succeed for this many tokens, as if they could exceed the
    /// burst; zero if the rate is.
    pub fn wait(&self, now: Tick, tokens: u64) -> Duration {
        let rate = self.rate.load(Ordering::Relaxed);
        if rate == 0 {
            return Duration::ZERO;
        }
        let now_ns = now.0.saturating_mul(1_000);
        let next_ns = self.next_arrival_ns.load(Ordering::Acquire).max(now_ns);
        let end_ns = next_ns.saturating_add(cost_ns(tokens, rate));
        let burst_ns = cost_ns(self.burst.load(Ordering::Relaxed), rate);
        Duration::from_nanos(end_ns.saturating_sub(now_ns.saturating_add(burst_ns)))
    }

    /// Returns the number of tokens granted since creation.
    pub fn granted(&self) -> u64 {
        self.granted.load(Ordering::Relaxed)
    }

    /// Returns the maximum number of tokens that rate and burst allow within `elapsed` after creation.
    pub fn allowance(&self, elapsed: Duration) -> u64 {
        let rate = self.rate.load(Ordering::Relaxed);
        let micros = crate::tick::micros(elapsed);
        self.burst.load(Ordering::Relaxed) + rate.saturating_mul(micros) / MICROS_PER_SECOND + 1
    }
}

fn cost_ns(tokens: u64, rate: u64) -> u64 {
    let ns = u128::from(tokens) * 1_000_000_000 / u128::from(rate);
    u64::try_from(ns).unwrap_or(u64::MAX).max(1)
}
