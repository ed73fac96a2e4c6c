//! What a caller is told.

use {crate::schema::AttemptId, std::time::Duration};

value! {
    /// Why a request was not run.
    pub enum NotRunReason {
        /// Every upstream of the service is full.
        ServiceFull,
        /// No upstream of the service is known or reachable.
        NoUpstream,
        /// The time budget ended before an upstream took it.
        Expired,
        /// The request's body cannot be sent a second time.
        BodySpent,
    }

    /// End of a call.
    pub enum Outcome {
        /// The answer of this attempt.
        Answer(AttemptId),
        /// No upstream ran any part of the request, and none will.
        NotRun {
            /// Why.
            reason: NotRunReason,
            /// When the caller may ask again.
            retry_after: Duration,
        },
        /// An upstream may have run the request; its answer is lost.
        Unknown,
    }
}

impl NotRunReason {
    /// Short name in headers and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::ServiceFull => "service-full",
            Self::NoUpstream => "no-upstream",
            Self::Expired => "expired",
            Self::BodySpent => "body-spent",
        }
    }
}
