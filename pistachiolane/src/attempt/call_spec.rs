//! What a call is allowed to do.

use crate::{schema::WorkKind, tick::Tick};

/// Retries and hedges for each hundred requests when nothing else is asked for, as in the settings of a service.
const DEFAULT_RETRY_PERCENT: u32 = 10;

/// Upstreams that may run a request when nothing else is asked for, as in the settings of a service.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

record! {
    /// What a call is allowed to do.
    #[derive(Copy)]
    pub struct CallSpec {
        /// Whether the work may run more than once.
        pub kind: WorkKind,
        /// End of the time budget.
        pub deadline: Tick,
        /// Whether this request repeats one that failed nearer to the caller; it is then not retried here.
        pub is_retry: bool,
        /// Retries and hedges for each hundred requests.
        pub retry_percent: u32,
        /// Whether hedges are allowed.
        pub hedge: bool,
        /// Whether the request's body can be sent again; if not, there is one attempt.
        pub replayable: bool,
        /// Upstreams that may run the request, the first included.
        pub max_attempts: u32,
        /// Time until which an answer has its full value.
        pub target: Tick,
        /// Class of requests that take about as long.
        pub class: u32,
        /// Rank under overload; 0 is served first.
        pub priority: u8,
    }
}

impl CallSpec {
    /// A call with the usual limits, whose answer has its full value until the deadline.
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
        }
    }
}
