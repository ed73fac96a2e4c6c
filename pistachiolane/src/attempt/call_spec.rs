//! Limits and properties of one call.

use {
    super::Throttling,
    crate::{limits::CallUrgency, schema::WorkKind, tick::Tick},
};

/// Default number of retries and hedges per hundred requests, as in the settings of a service.
const DEFAULT_RETRY_PERCENT: u32 = 10;

/// Default number of upstreams that may run a request, as in the settings of a service.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

record! {
    /// Limits and properties of one call.
    #[derive(Copy)]
    pub struct CallSpec {
        /// Whether the request may run more than once.
        pub kind: WorkKind,
        /// End of the time budget.
        pub deadline: Tick,
        /// Whether the request is already a retry, by a node closer to the caller; it isn't retried here then.
        pub is_retry: bool,
        /// Retries and hedges allowed per hundred requests.
        pub retry_percent: u32,
        /// Whether hedges are allowed.
        pub hedge: bool,
        /// Whether the request body can be sent again; otherwise only one attempt is made.
        pub replayable: bool,
        /// Maximum number of upstreams that may run the request, including the first.
        pub max_attempts: u32,
        /// Time at which the route's target latency is exceeded; a response after it is late.
        pub target: Tick,
        /// Class of requests with a similar service time.
        pub class: u32,
        /// Priority under overload; 0 is served first.
        pub priority: u8,
        /// Whether the call may be rejected before its first attempt, and its further attempts draw on budgets.
        pub throttling: Throttling,
        /// Order in which the entry rejects calls under overload.
        pub urgency: CallUrgency,
    }
}

impl CallSpec {
    /// Creates a call with the default limits and a target equal to its deadline.
    pub fn new(kind: WorkKind, deadline: Tick) -> Self {
        Self {
            kind,
            deadline,
            is_retry: false,
            retry_percent: DEFAULT_RETRY_PERCENT,
            hedge: true,
            replayable: true,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            target: deadline,
            class: 0,
            priority: 0,
            throttling: Throttling::On,
            urgency: CallUrgency::High,
        }
    }
}
