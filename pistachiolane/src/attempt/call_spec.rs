//! What a call is allowed to do.

use crate::{schema::WorkKind, tick::Tick};

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
