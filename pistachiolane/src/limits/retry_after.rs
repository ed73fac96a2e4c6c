//! When callers that were refused may come back.

use {
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Earliest return: sooner, the same slots are still taken.
const MIN: Duration = Duration::from_millis(80);

/// Latest return; callers give up within seconds.
const MAX: Duration = Duration::from_secs(2);

/// Spread around the time when room is expected, as shares of it. Callers refused in one moment return over as
/// long a time as the backlog takes, not together.
const SPREAD: std::ops::Range<f64> = 0.5..1.5;

/// A time to come back after, for one caller, when room is expected after `room`.
pub fn retry_after<R: Rng>(rng: &mut R, room: Duration) -> Duration {
    room.mul_f64(rng.random_range(SPREAD)).clamp(MIN, MAX)
}
