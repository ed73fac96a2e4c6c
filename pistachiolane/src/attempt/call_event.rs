//! Input events of the call state machine.

use crate::{
    limits::RefusalReason,
    schema::{AttemptId, LoadReport, Settlement},
};

/// Input event of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallEvent {
    /// The call started.
    Started,
    /// A gate refused the attempt: it has not run and will not run.
    Refused(AttemptId, RefusalReason, Option<LoadReport>),
    /// No byte of the attempt was sent.
    Unsent(AttemptId),
    /// The attempt was withdrawn at the deadline, before any byte of it was sent or before the gate started it; it will
    /// not run.
    Withdrawn(AttemptId),
    /// The connection was lost or stopped responding after part of the attempt was sent.
    Lost(AttemptId),
    /// The gate responded that the attempt may have run and that no response will follow.
    OutcomeUnknown(AttemptId),
    /// The upstream crashed while it ran the attempt.
    UpstreamCrashed {
        /// Attempt that it ran.
        id: AttemptId,
        /// Whether the request may be sent to another upstream.
        may_retry: bool,
    },
    /// The head of the upstream's response arrived.
    Answered {
        /// Attempt that the response belongs to.
        id: AttemptId,
        /// Load report of the gate.
        report: Option<LoadReport>,
        /// Whether the response is a failure that another upstream might not have.
        failed: bool,
    },
    /// A gate reported the settlement of an attempt; `None` if the gate was unreachable.
    Settled(AttemptId, Option<Settlement>),
    /// The time requested by [`super::CallAction::WakeAt`] was reached or has passed.
    Timer,
    /// The caller disconnected.
    CallerDisconnected,
}
