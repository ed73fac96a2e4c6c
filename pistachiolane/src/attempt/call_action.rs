//! Actions that a call requests from its driver.

use {
    super::Outcome,
    crate::{
        routing::{Candidate, Departure},
        schema::AttemptId,
        tick::Tick,
    },
    std::sync::Arc,
};

value! {
    /// Reason for sending an attempt.
    pub enum AttemptCause {
        /// No earlier attempt of the call can have run.
        First,
        /// An earlier attempt may have run but returned no usable response.
        Retry,
        /// The attempt in flight is slow to respond.
        Hedge,
    }
}

impl AttemptCause {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
        }
    }
}

/// Action for the driver of a call.
#[derive(Clone, Debug)]
pub enum CallAction {
    /// Send an attempt to a gate.
    Send {
        /// Identifier of the attempt.
        id: AttemptId,
        /// Upstream that the attempt is sent to.
        candidate: Arc<Candidate>,
        /// Whether the gate may queue the attempt.
        may_queue: bool,
        /// Reason for sending it.
        cause: AttemptCause,
        /// Why the attempt leaves the entry's zone, if it does.
        departure: Option<Departure>,
    },
    /// Retire the connection of the attempt and request its settlement from the gate.
    Settle {
        /// Identifier of the attempt.
        id: AttemptId,
        /// Upstream whose gate received the attempt.
        candidate: Arc<Candidate>,
    },
    /// Cancel an attempt whose response is no longer needed.
    Cancel(AttemptId),
    /// Call [`super::Call::step`] with [`super::CallEvent::Timer`] at this time.
    WakeAt(Tick),
    /// End the call with this outcome.
    Finish(Outcome),
}
