//! Rate of requests that an upstream accepts from all nodes together: the one that it states, and the one that it
//! tolerates while it is cold.

use {
    super::{ColdState, TokenBucket},
    crate::tick::Tick,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Tokens of the bucket per request; a rate may be a fraction.
const TOKENS_PER_REQUEST: u64 = 1_000;

/// Lowest rate in requests per second: without a request now and then, no response could show that a limit has
/// ended.
const MIN_RATE: f64 = 0.25;

/// Highest rate in requests per second that is not the same as no limit.
const MAX_RATE: f64 = 1_000_000.0;

/// Time in which requests that were not sent may be made up for. A cold upstream thus receives at most 1.2 times its
/// rate and one request in a second.
const BURST: Duration = Duration::from_millis(200);

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Limit on the starts of requests while the upstream states a rate or is cold; the lower rate applies. Thread-safe.
///
/// Only the gate beside an upstream sends it requests, so the limit of all nodes together is kept here.
#[derive(Debug)]
pub struct StatedRate {
    /// Stated rate in tokens per second; zero while none is stated.
    stated: AtomicU64,
    /// Rate in tokens per second that the upstream tolerates while cold; zero if there is no limit.
    warm_up: AtomicU64,
    /// Rate in tokens per second that the bucket is set to; zero while there is no limit.
    in_force: AtomicU64,
    bucket: TokenBucket,
    /// Whether the upstream is cold.
    pub cold: ColdState,
}

impl Default for StatedRate {
    fn default() -> Self {
        Self {
            stated: AtomicU64::new(0),
            warm_up: AtomicU64::new(0),
            in_force: AtomicU64::new(0),
            bucket: TokenBucket::new(0, 0),
            cold: ColdState::default(),
        }
    }
}

impl StatedRate {
    /// Sets the rate in requests per second that a response states, or `None` if it states none; returns whether
    /// it differs from the previous one.
    pub fn set(&self, per_second: Option<f64>) -> bool {
        let tokens = tokens_per_second(per_second);
        self.stated.swap(tokens, Ordering::AcqRel) != tokens
    }

    /// Sets the rate in requests per second that the upstream tolerates while cold; `None` if there is no limit.
    pub fn set_warm_up(&self, per_second: Option<f64>) {
        self.warm_up.store(tokens_per_second(per_second), Ordering::Release);
    }

    /// Returns the stated rate in requests per second; `None` while none is stated.
    pub fn get(&self) -> Option<f64> {
        requests_per_second(self.stated.load(Ordering::Acquire))
    }

    /// Returns the rate in requests per second that the upstream tolerates while cold; `None` if there is no limit.
    pub fn warm_up(&self) -> Option<f64> {
        requests_per_second(self.warm_up.load(Ordering::Acquire))
    }

    /// Returns the rate in force in requests per second, the lower of the stated rate and that of a cold upstream;
    /// `None` while there is no limit.
    pub fn in_force(&self, now: Tick) -> Option<f64> {
        requests_per_second(self.update(now))
    }

    /// Takes the right to start one request; `false` if the limit doesn't allow one now.
    pub fn try_take(&self, now: Tick) -> bool {
        self.update(now) == 0 || self.bucket.try_take(now, TOKENS_PER_REQUEST)
    }

    /// Returns the time until the limit allows this many more requests.
    pub fn wait(&self, now: Tick, requests: u32) -> Duration {
        if self.update(now) == 0 {
            return Duration::ZERO;
        }
        self.bucket.wait(now, u64::from(requests) * TOKENS_PER_REQUEST)
    }

    /// Returns the number of requests of this service time that the rate keeps running at once, at least 1;
    /// `None` while there is no limit.
    pub fn concurrency(&self, now: Tick, service_time_us: u64) -> Option<u32> {
        let running = |rate: f64| (rate * service_time_us as f64 / MICROS_PER_SECOND).ceil();
        self.in_force(now).map(|rate| (running(rate) as u32).max(1))
    }

    /// Sets the bucket to the rate that applies now, and returns that rate in tokens per second.
    fn update(&self, now: Tick) -> u64 {
        let stated = self.stated.load(Ordering::Acquire);
        let cold = if self.cold.is_cold(now) { self.warm_up.load(Ordering::Acquire) } else { 0 };
        let tokens = match (stated, cold) {
            (0, rate) | (rate, 0) => rate,
            (stated, cold) => stated.min(cold),
        };
        let previous = self.in_force.load(Ordering::Acquire);
        if previous == tokens {
            return tokens;
        }
        let burst = (tokens as f64 * BURST.as_secs_f64()) as u64;
        self.bucket.set(tokens, burst.max(TOKENS_PER_REQUEST));
        // What was started just before the upstream was known to be cold may still reach it, so there is no burst then.
        if tokens == cold && (previous == 0 || previous > tokens) {
            self.bucket.empty(now);
        } else if tokens > 0 {
            self.bucket.forgive_debt(now);
        }
        self.in_force.store(tokens, Ordering::Release);
        tokens
    }
}

fn tokens_per_second(per_second: Option<f64>) -> u64 {
    let per_second = per_second.map(|rate| rate.clamp(MIN_RATE, MAX_RATE));
    per_second.map_or(0, |rate| (rate * TOKENS_PER_REQUEST as f64) as u64)
}

fn requests_per_second(tokens: u64) -> Option<f64> {
    (tokens > 0).then(|| tokens as f64 / TOKENS_PER_REQUEST as f64)
}
