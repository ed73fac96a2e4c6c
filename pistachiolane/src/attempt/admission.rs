//! Admission of attempts to the local upstream, which combines the gate, the ledger and the service times.

use {
    super::{AttemptState, BeginError, Ledger},
    crate::{
        limits::{
            AdmissionDecision, AdmissionRequest, Gate, RefusalReason, ServiceTimes, StartDeadlines,
            Urgency,
        },
        schema::{AttemptHeader, SettleRequest, Settlement},
        tick::Tick,
    },
    arc_swap::ArcSwapOption,
    std::{sync::Arc, time::Duration},
};

/// Decision on an attempt that arrives at a gate.
#[derive(Debug)]
pub enum AttemptDecision {
    /// A slot is reserved: call [`Ticket::start`], and run the attempt if that returns `true`.
    Run(Ticket),
    /// A queue place is reserved: push the attempt onto a [`crate::limits::WaitQueue`].
    Queue(Ticket),
    /// The attempt has not run and will not run.
    Refuse(RefusalReason),
    /// The attempt arrived before, or may have arrived: its outcome is unknown here and the entry
    /// must settle it.
    OutcomeUnknown,
}

/// Handle of an admitted or queued attempt.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Deadline of the attempt.
    pub deadline: Tick,
    /// Latest start times.
    pub start_deadlines: StartDeadlines,
    /// Urgency with which the attempt waits.
    pub urgency: Urgency,
    /// `None` for a repeatable attempt, which the ledger doesn't record.
    state: Option<Arc<AttemptState>>,
}

impl Ticket {
    /// Claims the right to run; `false` means that a settlement already reported *not run*.
    pub fn start(&self) -> bool {
        self.state.as_ref().is_none_or(|s| s.start())
    }

    /// Records that a waiting attempt will not run; has no effect on one that has started.
    pub fn refuse(&self, now: Tick) {
        if let Some(state) = &self.state {
            state.refuse(now);
        }
    }

    /// Records the end of a started attempt, with or without a response.
    pub fn finish(&self, now: Tick) {
        if let Some(state) = &self.state {
            state.finish(now);
        }
    }

    /// Records that nothing of a started attempt was sent to the upstream.
    pub fn finish_unsent(&self, now: Tick) {
        if let Some(state) = &self.state {
            state.finish_unsent(now);
        }
    }
}

/// Admission to one upstream. Thread-safe.
#[derive(Debug)]
pub struct Admission {
    /// Slots, queue places and load.
    pub gate: Gate,
    /// Service times by class.
    pub times: ServiceTimes,
    /// Ledger of the attempts that aren't repeatable.
    pub ledger: Ledger,
    node: u64,
    service: ArcSwapOption<Arc<str>>,
}

impl Admission {
    /// Creates the admission of one incarnation of a node, without an upstream.
    pub fn new(node: u64) -> Self {
        let service = ArcSwapOption::empty();
        Self {
            gate: Gate::default(),
            times: ServiceTimes::default(),
            ledger: Ledger::new(node),
            node,
            service,
        }
    }

    /// Applies an announcement of the upstream.
    pub fn announce(&self, now: Tick, service: &Arc<str>, slots: u16, draining: bool) {
        let is_same_service = self.service.load().as_ref().is_some_and(|s| s.as_ref() == service);
        if !is_same_service {
            self.service.store(Some(Arc::new(Arc::clone(service))));
        }
        self.gate.announce(now, slots, draining);
    }

    /// Removes the upstream until its next announcement, after its announcements stopped or a
    /// connection to it failed.
    pub fn remove_upstream(&self) {
        self.service.store(None);
        self.gate.mark_upstream_absent();
    }

    /// Decides whether an arriving attempt runs, is queued or is refused.
    pub fn admit(&self, now: Tick, attempt: &AttemptHeader) -> AttemptDecision {
        let has_service = self.service.load().as_ref().is_some_and(|s| **s == attempt.service);
        if attempt.gate != self.node || !has_service {
            return AttemptDecision::Refuse(RefusalReason::NotHere);
        }
        let state = match self.begin(now, attempt) {
            Ok(state) => state,
            Err(BeginError::ConnectionRetired) => {
                return AttemptDecision::Refuse(RefusalReason::Retired);
            }
            Err(BeginError::Duplicate) => return AttemptDecision::OutcomeUnknown,
        };
        let expected_service_time = self.times.expected(attempt.class);
        let request = AdmissionRequest {
            arrived: now,
            remaining: Duration::from_micros(attempt.budget_us),
            target: Duration::from_micros(attempt.target_us),
            expected_service_time,
            priority: attempt.priority,
            may_queue: attempt.may_queue,
            is_deferred: self.gate.slowness.defers(now, expected_service_time),
        };
        let start_deadlines = request.start_deadlines(now);
        let urgency = self.gate.urgency(&request);
        let ticket = Ticket { deadline: now + request.remaining, start_deadlines, urgency, state };
        let decision = if attempt.workspace.is_empty() {
            self.gate.admit(&request)
        } else {
            self.gate.admit_by_turn(&request)
        };
        match decision {
            AdmissionDecision::Run => AttemptDecision::Run(ticket),
            AdmissionDecision::Queue => AttemptDecision::Queue(ticket),
            AdmissionDecision::Refuse(reason) => {
                ticket.refuse(now);
                AttemptDecision::Refuse(reason)
            }
        }
    }

    /// Retires a connection and returns the settlement of an attempt on it.
    pub fn settle(&self, now: Tick, req: &SettleRequest) -> Settlement {
        self.ledger.settle(now, req)
    }

    fn begin(
        &self,
        now: Tick,
        attempt: &AttemptHeader,
    ) -> Result<Option<Arc<AttemptState>>, BeginError> {
        if attempt.repeatable {
            return Ok(None);
        }
        self.ledger.begin(now, attempt.id, attempt.connection).map(Some)
    }
}
