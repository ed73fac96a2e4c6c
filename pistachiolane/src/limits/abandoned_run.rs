//! Time for which a request without a response is still assumed to occupy its upstream.

use std::time::Duration;

/// Shortest assumed time: an upstream does not notice at once that its connection was closed.
const MIN_TIME: Duration = Duration::from_millis(25);

/// Longest assumed time, so that a wrong estimate costs a slot for a moment only.
const MAX_TIME: Duration = Duration::from_secs(1);

/// Factor on the expected time: an upstream that is nearly full takes longer than on average.
const TIME_FACTOR: f64 = 1.5;

/// Returns how much longer an upstream is assumed to run a request whose connection was closed `elapsed` after its start,
/// if such requests are expected to take `expected`.
///
/// An upstream that notices the end only when it writes the response runs the request to the end. Without this time, the
/// gate would give away a slot that is still in use, and the upstream would turn the next request away.
pub fn abandoned_run_time(elapsed: Duration, expected: Duration) -> Duration {
    expected.mul_f64(TIME_FACTOR).saturating_sub(elapsed).clamp(MIN_TIME, MAX_TIME)
}
