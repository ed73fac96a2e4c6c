//! What really ran and what callers were told, and the promises between the two.

use {
    pistachiolane::{
        attempt::{NotRunReason, Outcome},
        schema::{AttemptId, WorkKind},
    },
    std::collections::HashMap,
};

/// One caller's request.
#[derive(Clone, Debug)]
pub struct CallTruth {
    /// Whether it may run more than once.
    pub kind: WorkKind,
    /// Times that an upstream began to run it.
    pub runs: u32,
    /// What its caller was told.
    pub told: Option<Outcome>,
}

/// Counts of what callers were told.
#[derive(Clone, Copy, Debug, Default)]
pub struct ToldCounts {
    /// Answers.
    pub answers: u64,
    /// Not run.
    pub not_run: u64,
    /// Unknown.
    pub unknown: u64,
    /// Not run for want of a slot or a queue place.
    pub service_full: u64,
    /// Not run for want of a reachable upstream.
    pub no_upstream: u64,
}

/// All requests, attempts and broken promises.
#[derive(Debug, Default)]
pub struct Truth {
    calls: HashMap<u64, CallTruth>,
    attempts: HashMap<AttemptId, u64>,
    /// Counts of ended calls.
    pub counts: ToldCounts,
    /// Non-idempotent requests run more than once.
    pub doubled: u64,
    /// Requests told *not run* that had run, or ran later.
    pub false_not_run: u64,
    /// Answers of another request.
    pub foreign: u64,
}

impl Truth {
    /// Notes a new request.
    pub fn begin(&mut self, call: u64, kind: WorkKind) {
        self.calls.insert(call, CallTruth { kind, runs: 0, told: None });
    }

    /// Notes an attempt of a request.
    pub fn attempt(&mut self, id: AttemptId, call: u64) {
        self.attempts.insert(id, call);
    }

    /// Notes that an upstream begins to run a request.
    pub fn run(&mut self, call: u64) {
        let Some(truth) = self.calls.get_mut(&call) else { return };
        truth.runs += 1;
        if truth.kind == WorkKind::NonIdempotent && truth.runs > 1 {
            self.doubled += 1;
        }
        if matches!(truth.told, Some(Outcome::NotRun { .. })) {
            self.false_not_run += 1;
        }
    }

    /// Notes what a caller is told.
    pub fn tell(&mut self, call: u64, outcome: Outcome) {
        let Some(truth) = self.calls.get_mut(&call) else { return };
        truth.told = Some(outcome);
        match outcome {
            Outcome::Unknown => self.counts.unknown += 1,
            Outcome::NotRun { reason, .. } => {
                self.counts.not_run += 1;
                self.counts.service_full += u64::from(reason == NotRunReason::ServiceFull);
                self.counts.no_upstream += u64::from(reason == NotRunReason::NoUpstream);
                self.false_not_run += u64::from(truth.runs > 0);
            }
            Outcome::Answer(id) => {
                self.counts.answers += 1;
                let own = self.attempts.get(&id) == Some(&call);
                self.foreign += u64::from(!own || truth.runs == 0);
            }
        }
    }

    /// Forgets requests that are too old for anything still on its way.
    pub fn forget_before(&mut self, call: u64) {
        self.calls.retain(|&c, _| c >= call);
        self.attempts.retain(|_, c| *c >= call);
    }
}
