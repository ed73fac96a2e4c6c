//! What an arriving attempt needs of a gate.

use {super::StartDeadlines, crate::tick::Tick, std::time::Duration};

/// Share of the expected service time, as a divisor, without which a request would not end in time anyhow.
const HOPELESS_DIVISOR: u32 = 2;

record! {
    /// What an arriving attempt needs.
    #[derive(Copy)]
    pub struct AdmissionRequest {
        /// Time left for the call.
        pub remaining: Duration,
        /// Time left within which an answer has its full value.
        pub target: Duration,
        /// Time that the request is expected to take; zero if unknown.
        pub expected_service_time: Duration,
        /// Whether it may wait for a slot.
        pub may_queue: bool,
    }
}

impl AdmissionRequest {
    /// A request of which only the time left is known.
    pub fn new(remaining: Duration, may_queue: bool) -> Self {
        Self { remaining, target: remaining, expected_service_time: Duration::ZERO, may_queue }
    }

    /// Longest wait after which the request may still be answered before its time is over.
    pub fn max_wait(&self) -> Option<Duration> {
        self.remaining.checked_sub(self.expected_service_time / HOPELESS_DIVISOR)
    }

    /// Latest starts of an attempt that arrives now.
    pub fn start_deadlines(&self, now: Tick) -> StartDeadlines {
        StartDeadlines {
            deadline: now + self.max_wait().unwrap_or_default(),
            on_time: now + self.max_on_time_wait().unwrap_or_default(),
        }
    }

    /// Longest wait after which the answer is expected within the target; `None` if it is late already.
    pub fn max_on_time_wait(&self) -> Option<Duration> {
        self.target.checked_sub(self.expected_service_time)
    }
}
