//! What happens to a call.

use crate::{
    limits::RefusalReason,
    schema::{AttemptId, LoadReport, Settlement},
};

/// What happened to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallEvent {
    /// The call begins.
    Started,
    /// A gate refused an attempt: it did not and will not run.
    Refused(AttemptId, RefusalReason, Option<LoadReport>),
    /// The attempt's first byte was never sent.
    Unsent(AttemptId),
    /// The connection was lost or fell silent after something was sent.
    Lost(AttemptId),
    /// The head of the upstream's answer came.
    Answered {
        /// Attempt answered.
        id: AttemptId,
        /// Load at the gate.
        report: Option<LoadReport>,
        /// Whether the upstream failed in a way that another may not.
        failed: bool,
    },
    /// A gate told what became of an attempt; `None` if it could not be asked.
    Settled(AttemptId, Option<Settlement>),
    /// The time asked for by [`super::CallAction::WakeAt`] came, or was passed.
    Timer,
    /// The caller went away.
    CallerDisconnected,
}
