//! Outcome of a call, as reported to the caller.

use {
    crate::{routing::AllowedRegions, schema::AttemptId},
    std::time::Duration,
};

value! {
    /// Reason why no upstream ran a request.
    pub enum NotRunReason {
        /// The upstreams that were tried are at capacity, or an upstream shed the request and the retry
        /// budget is used up.
        ServiceFull,
        /// The entry rejected the call before any attempt, because the service refuses too many calls.
        Throttled,
        /// No usable upstream is left in the allowed regions: the service has none there, or each refused the request or couldn't be
        /// reached, for reasons other than load.
        NoUpstream,
        /// The time budget ended before an upstream accepted the request.
        Expired,
        /// The request crashed upstreams that ran it, and is not sent on for a while.
        Quarantined,
        /// The route and the workspace allow no common region, so no upstream may run the request.
        NoRegion,
        /// The request body cannot be sent a second time.
        BodySpent,
    }

    /// Outcome of a call.
    pub enum Outcome {
        /// The response of this attempt.
        Answer(AttemptId),
        /// No upstream ran any part of the request, and none will.
        NotRun {
            /// Reason why it wasn't run.
            reason: NotRunReason,
            /// Delay after which the caller may retry.
            retry_after: Duration,
        },
        /// An upstream may have run the request, but no response is available.
        Unknown,
    }
}

impl NotRunReason {
    /// Returns the reason for a request that may run in `regions` and has no usable upstream left there.
    pub fn without_upstream(regions: &AllowedRegions) -> Self {
        if regions.is_empty() { Self::NoRegion } else { Self::NoUpstream }
    }

    /// Returns the name used in headers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ServiceFull => "service-full",
            Self::Throttled => "throttled",
            Self::NoUpstream => "no-upstream",
            Self::Expired => "expired",
            Self::Quarantined => "quarantined",
            Self::NoRegion => "no-region",
            Self::BodySpent => "body-spent",
        }
    }
}
