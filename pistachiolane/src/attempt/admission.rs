//! The gate as a whole: who may run at the upstream beside the node.

use {
    super::{BeginError, Ledger, LedgerEntry},
    crate::{
        limits::{
            AdmissionDecision, AdmissionRequest, Gate, RefusalReason, ServiceTimes, StartDeadlines,
        },
        schema::{AttemptHeader, SettleRequest, Settlement},
        tick::Tick,
    },
    arc_swap::ArcSwapOption,
    std::{sync::Arc, time::Duration},
};

/// What happens to an attempt that arrives at a gate.
#[derive(Debug)]
pub enum Received {
    /// A slot is taken: call [`Ticket::start`], and run it if that allows.
    Run(Ticket),
    /// A place in the queue is taken: put it into a [`crate::limits::WaitQueue`].
    Queue(Ticket),
    /// It did not and will not run.
    Refuse(RefusalReason),
    /// It came before, or may have: nothing can be said here, its entry must settle.
    Doubt,
}

/// An admitted or waiting attempt.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// End of the attempt's time.
    pub deadline: Tick,
    /// Latest starts.
    pub start_by: StartDeadlines,
    entry: Option<Arc<LedgerEntry>>,
}

impl Ticket {
    /// Claims the right to run; `false` means that a settlement said *not run*.
    pub fn start(&self) -> bool {
        self.entry.as_ref().is_none_or(|e| e.start())
    }

    /// Notes that a waiting attempt will not run; without effect on one that has started.
    pub fn refuse(&self, now: Tick) {
        if let Some(entry) = &self.entry {
            entry.refuse(now);
        }
    }

    /// Notes the end of a started attempt, with or without an answer.
    pub fn finish(&self, now: Tick) {
        if let Some(entry) = &self.entry {
            entry.finish(now);
        }
    }

    /// Notes that nothing of a started attempt reached the upstream.
    pub fn unsent(&self, now: Tick) {
        if let Some(entry) = &self.entry {
            entry.unsent(now);
        }
    }
}

/// Admission to one upstream. Several threads may use it at once.
#[derive(Debug)]
pub struct Admission {
    /// Slots, queue places and load.
    pub gate: Gate,
    /// Service times by class.
    pub times: ServiceTimes,
    /// Memory of attempts that must not repeat.
    pub ledger: Ledger,
    node: u64,
    service: ArcSwapOption<Arc<str>>,
}

impl Admission {
    /// Admission of one run of a node, without an upstream.
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

    /// Takes an announcement of the upstream.
    pub fn announce(&self, now: Tick, service: &Arc<str>, slots: u16, draining: bool) {
        let same = self.service.load().as_ref().is_some_and(|s| s.as_ref() == service);
        if !same {
            self.service.store(Some(Arc::new(Arc::clone(service))));
        }
        self.gate.announce(now, slots, draining);
    }

    /// Notes that the upstream stopped announcing itself.
    pub fn withdraw(&self) {
        self.service.store(None);
        self.gate.mark_upstream_absent();
    }

    /// Decides on an attempt that arrives.
    pub fn receive(&self, now: Tick, attempt: &AttemptHeader) -> Received {
        let serves = self.service.load().as_ref().is_some_and(|s| **s == attempt.service);
        if attempt.gate != self.node || !serves {
            return Received::Refuse(RefusalReason::NotHere);
        }
        let entry = match self.begin(now, attempt) {
            Ok(entry) => entry,
            Err(BeginError::ConnectionRetired) => return Received::Refuse(RefusalReason::Retired),
            Err(BeginError::Duplicate) => return Received::Doubt,
        };
        let demand = AdmissionRequest {
            remaining: Duration::from_micros(attempt.budget_us),
            target: Duration::from_micros(attempt.target_us),
            expected_service_time: self.times.expected(attempt.class),
            may_queue: attempt.may_queue,
        };
        let start_by = demand.start_deadlines(now);
        let ticket = Ticket { deadline: now + demand.remaining, start_by, entry };
        match self.gate.admit(&demand) {
            AdmissionDecision::Run => Received::Run(ticket),
            AdmissionDecision::Queue => Received::Queue(ticket),
            AdmissionDecision::Refuse(reason) => {
                ticket.refuse(now);
                Received::Refuse(reason)
            }
        }
    }

    /// Retires a connection and tells what became of an attempt on it.
    pub fn settle(&self, now: Tick, req: &SettleRequest) -> Settlement {
        self.ledger.settle(now, req)
    }

    fn begin(
        &self,
        now: Tick,
        attempt: &AttemptHeader,
    ) -> Result<Option<Arc<LedgerEntry>>, BeginError> {
        if attempt.repeatable {
            return Ok(None);
        }
        self.ledger.begin(now, attempt.id, attempt.connection).map(Some)
    }
}
