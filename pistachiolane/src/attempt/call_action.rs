//! What a call wants done.

use {
    super::Outcome,
    crate::{routing::Candidate, schema::AttemptId, tick::Tick},
    std::sync::Arc,
};

value! {
    /// Why an attempt is sent.
    pub enum AttemptCause {
        /// Nothing of the call has run.
        First,
        /// An earlier attempt may have run and gave no usable answer.
        Retry,
        /// The attempt in flight is slow.
        Hedge,
    }
}

impl AttemptCause {
    /// Short name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
        }
    }
}

/// What the driver of a call must do.
#[derive(Clone, Debug)]
pub enum CallAction {
    /// Send an attempt to a gate.
    Send {
        /// Its name.
        id: AttemptId,
        /// Where to.
        candidate: Arc<Candidate>,
        /// Whether the gate may queue it.
        may_queue: bool,
        /// Why it is sent.
        cause: AttemptCause,
    },
    /// Retire the attempt's connection and ask its gate what became of it.
    Settle {
        /// The attempt.
        id: AttemptId,
        /// Its gate.
        candidate: Arc<Candidate>,
    },
    /// Cancel an attempt whose answer is not wanted.
    Cancel(AttemptId),
    /// Call [`super::Call::step`] with [`super::CallEvent::Timer`] at this time.
    WakeAt(Tick),
    /// The call ended.
    Finish(Outcome),
}
