//! Time budgets of an attempt that requests admission at a gate.

use {super::StartDeadlines, crate::tick::Tick, std::time::Duration};

/// Divisor of the expected service time: a request whose remaining time is below this share of it is
/// not expected to complete before its deadline.
const MIN_SERVICE_TIME_DIVISOR: u32 = 2;

/// Time before the deadline at which an attempt that still waits is refused: four checks of the queue, so that the
/// refusal arrives while the call can still be answered as not run.
const REFUSAL_MARGIN: Duration = Duration::from_millis(20);

/// Divisor of the remaining time that bounds the margin of a call with a short budget.
const REFUSAL_MARGIN_DIVISOR: u32 = 8;

/// Returns the time before the deadline at which an attempt is refused of which nothing was sent to the upstream.
pub fn refusal_margin(remaining: Duration) -> Duration {
    REFUSAL_MARGIN.min(remaining / REFUSAL_MARGIN_DIVISOR)
}

record! {
    /// Time budgets and queueing permission of an attempt that requests admission.
    #[derive(Copy)]
    pub struct AdmissionRequest {
        /// Time of arrival.
        pub arrived: Tick,
        /// Remaining time budget of the call.
        pub remaining: Duration,
        /// Remaining time until the target latency is exceeded; a response after it is late.
        pub target: Duration,
        /// Expected service time of the request; zero if unknown.
        pub expected_service_time: Duration,
        /// Priority under overload; 0 is served first.
        pub priority: u8,
        /// Whether the attempt may wait for a slot.
        pub may_queue: bool,
        /// Whether the attempt should not start in the current slow phase of the upstream.
        pub is_deferred: bool,
    }
}

impl AdmissionRequest {
    /// Creates a request without a target latency and without an expected service time, which arrives at the
    /// start of the time scale.
    pub fn new(remaining: Duration, may_queue: bool) -> Self {
        Self {
            arrived: Tick(0),
            remaining,
            target: remaining,
            expected_service_time: Duration::ZERO,
            priority: 0,
            may_queue,
            is_deferred: false,
        }
    }

    /// Returns the longest wait after which the request may still complete before its deadline; `None`
    /// if it isn't expected to complete even without a wait.
    pub fn max_wait(&self) -> Option<Duration> {
        self.remaining.checked_sub(self.expected_service_time / MIN_SERVICE_TIME_DIVISOR)
    }

    /// Returns the latest start times of an attempt that arrives now.
    pub fn start_deadlines(&self, now: Tick) -> StartDeadlines {
        let before_refusal = self.remaining.saturating_sub(refusal_margin(self.remaining));
        StartDeadlines {
            deadline: now + self.max_wait().unwrap_or_default().min(before_refusal),
            on_time: now + self.max_on_time_wait().unwrap_or_default(),
            service_time: self.expected_service_time,
        }
    }

    /// Returns the longest wait after which the response is still expected within the target latency;
    /// `None` if it will be late even without a wait.
    pub fn max_on_time_wait(&self) -> Option<Duration> {
        self.target.checked_sub(self.expected_service_time)
    }
}
