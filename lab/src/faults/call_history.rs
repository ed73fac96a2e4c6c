//! Record of the requests that upstreams ran and of the outcomes that callers received, with the
//! violations of the guarantees that relate the two.

use {
    pistachiolane::{
        attempt::{NotRunReason, Outcome},
        schema::{AttemptId, WorkKind},
    },
    std::collections::HashMap,
};

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Whether the request may run more than once.
    pub kind: WorkKind,
    /// Number of times an upstream started to run the request.
    pub runs: u32,
    /// Outcome reported to the caller.
    pub outcome: Option<Outcome>,
}

/// Counts of the outcomes reported to callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    /// Calls that ended with a response.
    pub answers: u64,
    /// Calls reported as *not run*.
    pub not_run: u64,
    /// Calls whose outcome is unknown.
    pub unknown: u64,
    /// Calls *not run* because no slot or queue place was free.
    pub service_full: u64,
    /// Calls *not run* because no upstream was reachable.
    pub no_upstream: u64,
}

/// All requests and attempts, and the violations of guarantees.
#[derive(Debug, Default)]
pub struct CallHistory {
    calls: HashMap<u64, CallRecord>,
    attempts: HashMap<AttemptId, u64>,
    /// Counts of ended calls.
    pub counts: OutcomeCounts,
    /// Runs of non-idempotent requests after the first.
    pub duplicate_runs: u64,
    /// Requests reported as *not run* that had run before or ran later.
    pub false_not_run: u64,
    /// Responses that belong to another request, or to one that no upstream ran.
    pub mismatched_responses: u64,
}

impl CallHistory {
    /// Records a new request.
    pub fn record_call(&mut self, call: u64, kind: WorkKind) {
        self.calls.insert(call, CallRecord { kind, runs: 0, outcome: None });
    }

    /// Records an attempt of a request.
    pub fn record_attempt(&mut self, id: AttemptId, call: u64) {
        self.attempts.insert(id, call);
    }

    /// Records that an upstream starts to run a request.
    pub fn record_run(&mut self, call: u64) {
        let Some(record) = self.calls.get_mut(&call) else { return };
        record.runs += 1;
        if record.kind == WorkKind::NonIdempotent && record.runs > 1 {
            self.duplicate_runs += 1;
        }
        if matches!(record.outcome, Some(Outcome::NotRun { .. })) {
            self.false_not_run += 1;
        }
    }

    /// Records the outcome reported to a caller.
    pub fn record_outcome(&mut self, call: u64, outcome: Outcome) {
        let Some(record) = self.calls.get_mut(&call) else { return };
        record.outcome = Some(outcome);
        match outcome {
            Outcome::Unknown => self.counts.unknown += 1,
            Outcome::NotRun { reason, .. } => {
                self.counts.not_run += 1;
                self.counts.service_full += u64::from(reason == NotRunReason::ServiceFull);
                self.counts.no_upstream += u64::from(reason == NotRunReason::NoUpstream);
                self.false_not_run += u64::from(record.runs > 0);
            }
            Outcome::Answer(id) => {
                self.counts.answers += 1;
                let belongs_to_call = self.attempts.get(&id) == Some(&call);
                self.mismatched_responses += u64::from(!belongs_to_call || record.runs == 0);
            }
        }
    }

    /// Removes requests older than `call`; no message in flight may still refer to them.
    pub fn remove_before(&mut self, call: u64) {
        self.calls.retain(|&c, _| c >= call);
        self.attempts.retain(|_, c| *c >= call);
    }
}
