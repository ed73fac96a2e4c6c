//! Timestamps of the decision logic.

use {
    serde::{Deserialize, Serialize},
    std::{
        ops::{Add, Sub},
        time::Duration,
    },
};

/// Microseconds since an arbitrary origin that is fixed for the lifetime of a process.
///
/// An integer rather than a [`std::time::Instant`], so that it can be stored in an atomic.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tick(pub u64);

impl Tick {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Tick {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(micros(rhs)))
    }
}

impl Sub<Duration> for Tick {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(micros(rhs)))
    }
}

/// Returns a duration in whole microseconds, saturating at `u64::MAX`.
pub fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
