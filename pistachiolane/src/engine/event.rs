//! What happens to a node, and what it wants done.

use {
    crate::{
        attempt::{CallAction, CallEvent, CallSpec},
        limits::RefusalReason,
        membership::{MembershipAction, MembershipEvent},
        schema::{AttemptHeader, LoadReport, SettleRequest, Settlement},
    },
    std::{sync::Arc, time::Duration},
};

value! {
    /// How a request ended at the upstream.
    pub enum RunResult {
        /// The upstream answered after this time.
        Answered {
            /// From the start to the head of the answer.
            service_time: Duration,
            /// Whether the answer is an error of the upstream.
            failed: bool,
        },
        /// No connection to the upstream could be made; nothing was sent.
        Unsent,
        /// The upstream's answer was lost, or the attempt was cancelled.
        Lost,
    }
}

/// An event. Numbers that name calls and deliveries are the driver's own.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// A caller's request.
    Request {
        /// Names the call.
        call: u64,
        /// Service asked for.
        service: Arc<str>,
        /// What the call may do.
        spec: CallSpec,
    },
    /// Something happened to a call of this entry.
    Call(u64, CallEvent),
    /// An attempt came to this gate.
    Attempt {
        /// Names this delivery of the attempt.
        delivery: u64,
        /// The attempt.
        header: AttemptHeader,
    },
    /// A delivery that runs has ended.
    Ended(u64, RunResult),
    /// A delivery was cancelled, or its connection is gone.
    Cancelled(u64),
    /// A peer asks what became of an attempt.
    Settle {
        /// Names the question.
        request_id: u64,
        /// The attempt.
        req: SettleRequest,
    },
    /// The upstream beside the node announced itself.
    UpstreamAnnounced {
        /// Service that it runs.
        service: Arc<str>,
        /// Requests that it runs at once.
        slots: u16,
        /// Whether it wants no new work.
        draining: bool,
    },
    /// The upstream has not announced itself for too long.
    UpstreamExpired,
    /// The node begins to leave.
    Drain,
    /// A packet, a timer or records for the membership.
    Membership(MembershipEvent),
    /// The timer that is due every few milliseconds.
    Timer,
}

/// What the driver must do.
#[derive(Clone, Debug)]
pub enum EngineAction {
    /// An action of a call: send, settle, cancel, wake, finish.
    Call(u64, CallAction),
    /// Hand a delivery to the upstream.
    Run(u64),
    /// Tell the entry that a delivery did not and will not run.
    Refuse(u64, RefusalReason, LoadReport),
    /// Tell the entry nothing but that it must settle.
    OutcomeUnknown(u64),
    /// Pass the upstream's answer on, with this report.
    Answer(u64, LoadReport),
    /// Answer a question about an attempt.
    Settled(u64, Settlement),
    /// An action of the membership.
    Membership(MembershipAction),
}
