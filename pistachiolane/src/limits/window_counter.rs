//! Count of events within a sliding window, in atomics.

use {
    crate::tick::{Tick, micros},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Number of intervals that the window consists of; the window moves by one of them at a time.
const INTERVALS: usize = 10;

const COUNT_BITS: u32 = 32;

/// Counts the events of the last [`Self::WINDOW`]. Thread-safe.
///
/// Each element holds the number of its interval in the upper half and the count in the lower half, so that an
/// element of an earlier turn counts as empty without being cleared.
#[derive(Debug, Default)]
pub struct WindowCounter {
    intervals: [AtomicU64; INTERVALS],
}

impl WindowCounter {
    /// Length of the window: at 10 requests/s it holds enough of them to compare, and it forgets an overload within a
    /// second of its end.
    pub const WINDOW: Duration = Duration::from_secs(1);

    /// Counts one event.
    pub fn record(&self, now: Tick) {
        let interval = interval(now);
        let count = |old: u64| {
            let is_current = old >> COUNT_BITS == interval;
            Some(if is_current { old + 1 } else { interval << COUNT_BITS | 1 })
        };
        let element = &self.intervals[interval as usize % INTERVALS];
        let _previous = element.fetch_update(Ordering::Relaxed, Ordering::Relaxed, count);
    }

    /// Returns the number of events in the window.
    pub fn get(&self, now: Tick) -> u32 {
        let current = interval(now);
        let in_window =
            |element: u64| current.saturating_sub(element >> COUNT_BITS) < INTERVALS as u64;
        let elements = self.intervals.iter().map(|i| i.load(Ordering::Relaxed));
        elements.filter(|element| in_window(*element)).map(|element| element as u32).sum()
    }
}

/// Returns the number of the interval that a moment belongs to.
fn interval(now: Tick) -> u64 {
    now.0 / (micros(WindowCounter::WINDOW) / INTERVALS as u64)
}
