//! Order in which a gate serves waiting attempts.

use std::time::Duration;

/// Number of priorities that are told apart; less urgent ones count as the last.
const PRIORITIES: u8 = 4;

/// An attempt is tight if it can wait for fewer than this many average service times. Such attempts, most of them calls
/// that a running request makes, would miss their target latency behind requests that can wait.
const TIGHT_SERVICE_TIMES: u32 = 2;

value! {
    /// Urgency of an attempt; the lower one is served first. Priority decides, then whether the attempt can wait.
    #[derive(PartialOrd, Ord)]
    pub struct Urgency(u8);
}

impl Urgency {
    /// Number of levels.
    pub const LEVELS: usize = PRIORITIES as usize * 2;

    /// Creates the urgency of an attempt that can wait for `max_wait` without missing its target latency, at an
    /// upstream with this average service time.
    pub fn new(priority: u8, max_wait: Duration, average_service_time: Duration) -> Self {
        let is_tight = max_wait < average_service_time * TIGHT_SERVICE_TIMES;
        Self(priority.min(PRIORITIES - 1) * 2 + u8::from(!is_tight))
    }

    /// Creates the urgency of an attempt of this priority that can wait.
    pub fn relaxed(priority: u8) -> Self {
        Self::new(priority, Duration::MAX, Duration::ZERO)
    }

    /// Returns the index of the level, from 0 for the most urgent one.
    pub fn level(self) -> usize {
        usize::from(self.0)
    }
}
