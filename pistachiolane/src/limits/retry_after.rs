//! Delay after which a rejected caller may retry.

use {
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Minimum delay: after a shorter one, the same requests would still occupy the slots.
const MIN_DELAY: Duration = Duration::from_millis(80);

/// Maximum delay, because callers give up within seconds.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Range of factors that spreads the delay around the expected wait. Callers that are rejected at the same
/// time retry over a period as long as the backlog takes, instead of all together.
const JITTER_FACTORS: std::ops::Range<f64> = 0.5..1.5;

/// Returns the retry delay for one caller when a slot is expected to be free after `expected_wait`.
pub fn retry_after<R: Rng>(rng: &mut R, expected_wait: Duration) -> Duration {
    expected_wait.mul_f64(rng.random_range(JITTER_FACTORS)).clamp(MIN_DELAY, MAX_DELAY)
}
