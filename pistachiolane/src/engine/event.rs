//! Input events of a node and the actions that it requests from its driver.

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
    /// Result of running a request at the upstream.
    pub enum RunResult {
        /// The upstream sent a response.
        Answered {
            /// Time from the start to the head of the response.
            service_time: Duration,
            /// Whether the response is an error of the upstream.
            failed: bool,
        },
        /// The connection to the upstream could not be established; nothing was sent.
        Unsent,
        /// The response was lost, or the attempt was cancelled.
        Lost,
    }
}

/// Input event of a node. The driver chooses the identifiers of calls and deliveries.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// A caller sent a request.
    Request {
        /// Identifier of the call.
        call: u64,
        /// Requested service.
        service: Arc<str>,
        /// Limits and properties of the call.
        spec: CallSpec,
    },
    /// Event of a call of this entry.
    Call(u64, CallEvent),
    /// An attempt arrived at this gate.
    Attempt {
        /// Identifier of this delivery of the attempt.
        delivery: u64,
        /// Header of the attempt.
        header: AttemptHeader,
    },
    /// A running delivery ended.
    Ended(u64, RunResult),
    /// A delivery was cancelled, or its connection was closed.
    Cancelled(u64),
    /// A peer requested the settlement of an attempt.
    Settle {
        /// Identifier of the settlement request.
        request_id: u64,
        /// Attempt to settle, and its connection.
        req: SettleRequest,
    },
    /// The local upstream sent an announcement.
    UpstreamAnnounced {
        /// Service of the upstream.
        service: Arc<str>,
        /// Number of requests that it runs concurrently.
        slots: u16,
        /// Whether it is draining.
        draining: bool,
    },
    /// The last announcement of the local upstream expired.
    UpstreamExpired,
    /// The node starts to shut down.
    Drain,
    /// Input event of the membership protocol.
    Membership(MembershipEvent),
    /// Periodic timer, due every few milliseconds.
    Timer,
}

/// Action for the driver of a node.
#[derive(Clone, Debug)]
pub enum EngineAction {
    /// Action of a call: send, settle, cancel, wake or finish.
    Call(u64, CallAction),
    /// Run a delivery at the upstream.
    Run(u64),
    /// Report to the entry that a delivery has not run and will not run.
    Refuse(u64, RefusalReason, LoadReport),
    /// Report to the entry that the outcome of a delivery is unknown here and must be settled.
    OutcomeUnknown(u64),
    /// Forward the response of the upstream with this load report.
    Answer(u64, LoadReport),
    /// Respond to a settlement request.
    Settled(u64, Settlement),
    /// Action of the membership protocol.
    Membership(MembershipAction),
}
