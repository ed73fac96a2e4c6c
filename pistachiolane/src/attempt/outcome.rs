//! Outcome of a call, as reported to the caller.

use {crate::schema::AttemptId, std::time::Duration};

value! {
    /// Reason why no upstream ran a request.
    pub enum NotRunReason {
        /// Every upstream of the service is at capacity.
        ServiceFull,
        /// The service has no known or reachable upstream.
        NoUpstream,
        /// The time budget ended before an upstream accepted the request.
        Expired,
        /// The request body cannot be sent a second time.
        BodySpent,
    }

    /// Outcome of a call.
    pub enum Outcome {
        /// The response of this attempt.
        Answer(AttemptId),
        /// No upstream ran any part of the request, and none will.
        NotRun {
            /// Reason.
            reason: NotRunReason,
            /// Delay after which the caller may retry.
            retry_after: Duration,
        },
        /// An upstream may have run the request, but no response is available.
        Unknown,
    }
}

impl NotRunReason {
    /// Returns the short name used in headers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ServiceFull => "service-full",
            Self::NoUpstream => "no-upstream",
            Self::Expired => "expired",
            Self::BodySpent => "body-spent",
        }
    }
}
