//! Rate of requests that an upstream states to accept from all nodes together.

use {
    super::TokenBucket,
    crate::tick::Tick,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Tokens of the bucket per request; a stated rate may be a fraction.
const TOKENS_PER_REQUEST: u64 = 1_000;

/// Lowest rate in requests per second: without a request now and then, no response could show that a limit has
/// ended.
const MIN_RATE: f64 = 0.25;

/// Highest rate in requests per second that is not the same as no limit.
const MAX_RATE: f64 = 1_000_000.0;

/// Time in which requests that were not sent may be made up for.
const BURST: Duration = Duration::from_millis(200);

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Limit on the starts of requests while the upstream states a rate. Thread-safe.
///
/// Only the gate beside an upstream sends it requests, so the limit of all nodes together is kept here.
#[derive(Debug)]
pub struct StatedRate {
    /// Stated rate in tokens per second; zero while none is stated.
    tokens_per_second: AtomicU64,
    bucket: TokenBucket,
}

impl Default for StatedRate {
    fn default() -> Self {
        Self { tokens_per_second: AtomicU64::new(0), bucket: TokenBucket::new(0, 0) }
    }
}

impl StatedRate {
    /// Sets the rate in requests per second that a response states, or `None` if it states none; returns whether
    /// it differs from the previous one.
    pub fn set(&self, per_second: Option<f64>) -> bool {
        let per_second = per_second.map(|rate| rate.clamp(MIN_RATE, MAX_RATE));
        let tokens = per_second.map_or(0, |rate| (rate * TOKENS_PER_REQUEST as f64) as u64);
        let burst = (tokens as f64 * BURST.as_secs_f64()) as u64;
        self.bucket.set(tokens, burst.max(TOKENS_PER_REQUEST));
        self.tokens_per_second.swap(tokens, Ordering::AcqRel) != tokens
    }

    /// Returns the rate in force in requests per second; `None` while there is no limit.
    pub fn get(&self) -> Option<f64> {
        let tokens = self.tokens_per_second.load(Ordering::Acquire);
        (tokens > 0).then(|| tokens as f64 / TOKENS_PER_REQUEST as f64)
    }

    /// Takes the right to start one request; `false` if the limit doesn't allow one now.
    pub fn try_take(&self, now: Tick) -> bool {
        self.get().is_none() || self.bucket.try_take(now, TOKENS_PER_REQUEST)
    }

    /// Returns the time until the limit allows this many more requests.
    pub fn wait(&self, now: Tick, requests: u32) -> Duration {
        if self.get().is_none() {
            return Duration::ZERO;
        }
        self.bucket.wait(now, u64::from(requests) * TOKENS_PER_REQUEST)
    }

    /// Returns the number of requests of this service time that the rate keeps running at once, at least 1;
    /// `None` while there is no limit.
    pub fn concurrency(&self, service_time_us: u64) -> Option<u32> {
        let running = |rate: f64| (rate * service_time_us as f64 / MICROS_PER_SECOND).ceil();
        self.get().map(|rate| (running(rate) as u32).max(1))
    }
}
