//! One call: a state machine that drives its attempts to an outcome.

use {
    super::{AttemptCause, CallAction, CallEvent, CallSpec, NotRunReason, Outcome},
    crate::{
        limits::{RefusalReason, TokenBucket, retry_after},
        routing::{Candidate, Distance, PickRequest, ServiceTable, pick},
        schema::{AttemptId, LoadReport, Settlement, WorkKind},
        tick::Tick,
    },
    rand::Rng,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Attempts that are refused rather than queued, before the call accepts a queue.
const DIRECT_ATTEMPTS: u32 = 2;

/// Gates whose queue is tried before the service counts as full.
const QUEUE_ATTEMPTS: u32 = 2;

/// Expected utilisation from which an attempt is allowed to queue at once.
const QUEUE_UTILISATION: f64 = 1.5;

/// Expected utilisation up to which a hedge is sent: a second copy of the work is no help to a busy service.
const HEDGE_UTILISATION: f64 = 0.9;

/// Wait before a gate is asked again about a running or unreachable attempt.
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);

/// Least bytes that a request spilled to another region is assumed to cost.
const MIN_SPILL_BYTES: u64 = 4_096;

/// Retries that hedges leave in the budget, for when an upstream fails.
const HEDGE_RESERVE: u64 = 5;

/// Shortest time before a hedge, so that tiny estimates do not double the traffic.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);

/// What a call shares with the other calls of its node.
#[derive(Clone, Copy, Debug)]
pub struct CallContext<'a> {
    /// The entry's node.
    pub entry: u64,
    /// Upstreams of the service.
    pub table: &'a ServiceTable,
    /// Budget of paid bytes to other regions.
    pub paid: &'a TokenBucket,
    /// Source of attempt numbers.
    pub sequence: &'a AtomicU64,
}

#[derive(Debug)]
struct Flight {
    id: AttemptId,
    candidate: Arc<Candidate>,
    sent_at: Tick,
    hedge: bool,
    settle_at: Option<Tick>,
}

/// One call of a caller. [`Call::step`] is its only entry point after [`Call::new`].
#[derive(Debug)]
pub struct Call {
    spec: CallSpec,
    flights: Vec<Flight>,
    busy: Vec<u64>,
    excluded: Vec<u64>,
    direct: u32,
    queued: u32,
    may_have_run: bool,
    was_turned_away: bool,
    spent: u32,
    hedge_at: Option<Tick>,
    finished: bool,
}

impl Call {
    /// A call that has not begun.
    pub fn new(spec: CallSpec) -> Self {
        Self {
            spec,
            flights: Vec::new(),
            busy: Vec::new(),
            excluded: Vec::new(),
            direct: 0,
            queued: 0,
            may_have_run: false,
            was_turned_away: false,
            spent: 0,
            hedge_at: None,
            finished: false,
        }
    }

    /// Whether the call has ended.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Takes an event and gives the actions that follow, in order.
    ///
    /// Events of attempts that are no longer in flight are dropped: a late answer changes nothing.
    pub fn step<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        event: CallEvent,
    ) -> Vec<CallAction> {
        if self.finished {
            return Vec::new();
        }
        match event {
            CallEvent::Started => self.start(now, cx, rng),
            CallEvent::Refused(id, reason, report) => {
                self.refused(now, cx, rng, id, reason, report)
            }
            CallEvent::Unsent(id) => self.unsent(now, cx, rng, id),
            CallEvent::Lost(id) => self.lost(now, cx, rng, id),
            CallEvent::Answered { id, report, failed } => {
                self.answered(now, cx, rng, id, report, failed)
            }
            CallEvent::Settled(id, settlement) => self.settled(now, cx, rng, id, settlement),
            CallEvent::Timer => self.timer(now, cx, rng),
            CallEvent::CallerLeft => self.finish(now, Outcome::Unknown),
        }
    }

    fn start<R: Rng>(&mut self, now: Tick, cx: CallContext<'_>, rng: &mut R) -> Vec<CallAction> {
        cx.table.state.retries.deposit(self.spec.retry_percent);
        let mut actions = self.next_attempt(now, cx, rng);
        if self.finished {
            return actions;
        }
        if self.may_hedge() {
            self.hedge_at = cx.table.state.hedge_after.get().map(|d| now + d.max(MIN_HEDGE_DELAY));
        }
        actions.push(self.next_wake());
        actions
    }

    fn may_hedge(&self) -> bool {
        let allowed = self.spec.hedge && self.spec.replayable && !self.spec.is_retry;
        allowed && self.spec.kind == WorkKind::Idempotent
    }

    fn refused<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        id: AttemptId,
        reason: RefusalReason,
        report: Option<LoadReport>,
    ) -> Vec<CallAction> {
        let Some(flight) = self.take(now, id, true) else {
            return Vec::new();
        };
        if let Some(report) = report {
            flight.candidate.record_report(now, &report);
        }
        if reason == RefusalReason::Busy {
            flight.candidate.observe_round_trip(now.since(flight.sent_at));
        }
        let node = flight.candidate.member.node;
        match reason {
            RefusalReason::Busy => self.busy.push(node),
            RefusalReason::Shed | RefusalReason::QueueFull => {
                self.was_turned_away = true;
                self.excluded.push(node);
            }
            RefusalReason::Expired if self.flights.is_empty() => {
                let outcome = self.give_up(now, cx, rng, NotRunReason::Expired);
                return self.finish(now, outcome);
            }
            _ => self.excluded.push(node),
        }
        if flight.hedge || !self.flights.is_empty() {
            return Vec::new();
        }
        if reason == RefusalReason::Shed && !self.may_try_after_shed(cx) {
            let outcome = self.give_up(now, cx, rng, NotRunReason::ServiceFull);
            return self.finish(now, outcome);
        }
        self.next_attempt(now, cx, rng)
    }

    /// Whether the budget allows one more arrival at an upstream after one turned the call away.
    fn may_try_after_shed(&self, cx: CallContext<'_>) -> bool {
        !self.spec.is_retry && cx.table.state.retries.try_withdraw()
    }

    fn unsent<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        id: AttemptId,
    ) -> Vec<CallAction> {
        let Some(flight) = self.take(now, id, false) else {
            return Vec::new();
        };
        flight.candidate.record_connect_failure(now);
        self.excluded.push(flight.candidate.member.node);
        if self.flights.is_empty() { self.next_attempt(now, cx, rng) } else { Vec::new() }
    }

    fn lost<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        id: AttemptId,
    ) -> Vec<CallAction> {
        if self.spec.kind == WorkKind::NonIdempotent {
            return self.settle(id);
        }
        let Some(flight) = self.take(now, id, false) else {
            return Vec::new();
        };
        self.may_have_run = true;
        self.spent += 1;
        self.excluded.push(flight.candidate.member.node);
        match self.flights.is_empty() {
            false => Vec::new(),
            true if self.may_retry(cx) => self.next_attempt(now, cx, rng),
            true => self.finish(now, Outcome::Unknown),
        }
    }

    fn settle(&mut self, id: AttemptId) -> Vec<CallAction> {
        let flight = self.flights.iter_mut().find(|f| f.id == id);
        flight.map_or_else(Vec::new, |flight| {
            flight.settle_at = None;
            vec![CallAction::Settle { id, candidate: Arc::clone(&flight.candidate) }]
        })
    }

    fn settled<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        id: AttemptId,
        settlement: Option<Settlement>,
    ) -> Vec<CallAction> {
        match settlement {
            Some(Settlement::NotRun) => {
                let Some(flight) = self.take(now, id, true) else {
                    return Vec::new();
                };
                self.excluded.push(flight.candidate.member.node);
                self.next_attempt(now, cx, rng)
            }
            Some(Settlement::Done | Settlement::Unknown) if self.is_in_flight(id) => {
                self.finish(now, Outcome::Unknown)
            }
            _ => self.settle_later(now, id),
        }
    }

    fn settle_later(&mut self, now: Tick, id: AttemptId) -> Vec<CallAction> {
        let Some(flight) = self.flights.iter_mut().find(|f| f.id == id) else {
            return Vec::new();
        };
        flight.settle_at = Some(now + SETTLE_INTERVAL);
        vec![self.next_wake()]
    }

    fn answered<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        id: AttemptId,
        report: Option<LoadReport>,
        failed: bool,
    ) -> Vec<CallAction> {
        let Some(flight) = self.take(now, id, true) else {
            return Vec::new();
        };
        if let Some(report) = report {
            flight.candidate.record_report(now, &report);
        }
        let idempotent = self.spec.kind == WorkKind::Idempotent;
        if failed && idempotent {
            self.may_have_run = true;
            self.spent += 1;
            self.excluded.push(flight.candidate.member.node);
            match self.flights.is_empty() {
                false => return Vec::new(),
                true if self.has_other(now, cx, rng) && self.may_retry(cx) => {
                    return self.next_attempt(now, cx, rng);
                }
                true => {}
            }
        }
        if !failed {
            cx.table.state.hedge_after.record(now.since(flight.sent_at));
        }
        self.finish(now, Outcome::Answer(id))
    }

    fn has_other<R: Rng>(&self, now: Tick, cx: CallContext<'_>, rng: &mut R) -> bool {
        let req = PickRequest { now, tried: &self.excluded, allow_remote: false };
        pick(cx.table, req, rng).is_some()
    }

    fn may_retry(&self, cx: CallContext<'_>) -> bool {
        let allowed = self.spec.replayable && !self.spec.is_retry && self.has_attempts_left();
        allowed && cx.table.state.retries.try_withdraw()
    }

    /// Whether one more upstream may run the request.
    fn has_attempts_left(&self) -> bool {
        self.spent + (self.flights.len() as u32) < self.spec.max_attempts
    }

    fn timer<R: Rng>(&mut self, now: Tick, cx: CallContext<'_>, rng: &mut R) -> Vec<CallAction> {
        if now >= self.spec.deadline {
            let outcome = if self.flights.is_empty() {
                self.give_up(now, cx, rng, NotRunReason::Expired)
            } else {
                Outcome::Unknown
            };
            return self.finish(now, outcome);
        }
        let mut actions = self.due_settlements(now);
        if self.hedge_at.is_some_and(|at| at <= now) {
            self.hedge_at = None;
            actions.extend(self.hedge(now, cx, rng));
        }
        actions.push(self.next_wake());
        actions
    }

    fn due_settlements(&mut self, now: Tick) -> Vec<CallAction> {
        let due: Vec<AttemptId> = self
            .flights
            .iter()
            .filter(|f| f.settle_at.is_some_and(|at| at <= now))
            .map(|f| f.id)
            .collect();
        due.into_iter().flat_map(|id| self.settle(id)).collect()
    }

    fn hedge<R: Rng>(&mut self, now: Tick, cx: CallContext<'_>, rng: &mut R) -> Option<CallAction> {
        let [first] = self.flights.as_slice() else {
            return None;
        };
        let mut tried = self.excluded.clone();
        tried.push(first.candidate.member.node);
        let req = PickRequest { now, tried: &tried, allow_remote: false };
        let pick = pick(cx.table, req, rng)?;
        let retries = &cx.table.state.retries;
        let is_idle = pick.estimate.utilisation < HEDGE_UTILISATION;
        if !is_idle
            || !self.has_attempts_left()
            || retries.available() <= HEDGE_RESERVE
            || !retries.try_withdraw()
        {
            return None;
        }
        Some(self.send(now, cx, pick.candidate, false, AttemptCause::Hedge))
    }

    fn next_attempt<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
    ) -> Vec<CallAction> {
        if now >= self.spec.deadline {
            let outcome = self.give_up(now, cx, rng, NotRunReason::Expired);
            return self.finish(now, outcome);
        }
        if !self.spec.replayable && self.direct + self.queued > 0 {
            let outcome = self.give_up(now, cx, rng, NotRunReason::BodySpent);
            return self.finish(now, outcome);
        }
        let direct = self.spec.replayable && self.direct < DIRECT_ATTEMPTS;
        let req = PickRequest { now, tried: &self.excluded, allow_remote: true };
        let found = pick(cx.table, req, rng)
            .filter(|p| p.candidate.distance != Distance::Remote || may_spill(now, cx))
            .or_else(|| pick(cx.table, PickRequest { allow_remote: false, ..req }, rng));
        let Some(found) = found else {
            let is_full = self.queued > 0 || self.was_turned_away;
            let reason = if is_full { NotRunReason::ServiceFull } else { NotRunReason::NoUpstream };
            let outcome = self.give_up(now, cx, rng, reason);
            return self.finish(now, outcome);
        };
        // A gate that has just said that it is busy, and is still the best, may queue the attempt.
        let is_busy = self.busy.contains(&found.candidate.member.node)
            || found.estimate.utilisation >= QUEUE_UTILISATION;
        let may_queue = !direct || is_busy;
        if may_queue {
            self.queued += 1;
        } else {
            self.direct += 1;
        }
        if self.queued > QUEUE_ATTEMPTS {
            let outcome = self.give_up(now, cx, rng, NotRunReason::ServiceFull);
            return self.finish(now, outcome);
        }
        let cause = if self.may_have_run { AttemptCause::Retry } else { AttemptCause::First };
        vec![self.send(now, cx, found.candidate, may_queue, cause)]
    }

    fn send(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        candidate: Arc<Candidate>,
        may_queue: bool,
        cause: AttemptCause,
    ) -> CallAction {
        let idempotent = self.spec.kind == WorkKind::Idempotent;
        invariant!(idempotent || self.flights.is_empty(), "one_attempt_of_non_idempotent_work");
        let sequence = cx.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let id = AttemptId { entry: cx.entry, sequence };
        candidate.record_sent(now);
        self.flights.push(Flight {
            id,
            candidate: Arc::clone(&candidate),
            sent_at: now,
            hedge: cause == AttemptCause::Hedge,
            settle_at: None,
        });
        CallAction::Send { id, candidate, may_queue, cause }
    }

    fn take(&mut self, now: Tick, id: AttemptId, answered: bool) -> Option<Flight> {
        let at = self.flights.iter().position(|f| f.id == id)?;
        let flight = self.flights.swap_remove(at);
        flight.candidate.record_ended(now, answered);
        Some(flight)
    }

    fn is_in_flight(&self, id: AttemptId) -> bool {
        self.flights.iter().any(|f| f.id == id)
    }

    fn next_wake(&self) -> CallAction {
        let settles = self.flights.iter().filter_map(|f| f.settle_at);
        let first = settles.chain(self.hedge_at).chain([self.spec.deadline]).min();
        CallAction::WakeAt(first.unwrap_or(self.spec.deadline))
    }

    fn give_up<R: Rng>(
        &self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        reason: NotRunReason,
    ) -> Outcome {
        if self.may_have_run {
            return Outcome::Unknown;
        }
        Outcome::NotRun { reason, retry_after: retry_after(rng, cx.table.expected_wait(now)) }
    }

    fn finish(&mut self, now: Tick, outcome: Outcome) -> Vec<CallAction> {
        self.finished = true;
        let in_flight = !self.flights.is_empty();
        let not_run = matches!(outcome, Outcome::NotRun { .. });
        invariant!(!not_run || (!in_flight && !self.may_have_run), "not_run_is_definite");
        let flights = std::mem::take(&mut self.flights);
        let mut actions: Vec<CallAction> = flights
            .iter()
            .inspect(|f| f.candidate.record_ended(now, false))
            .map(|f| CallAction::Cancel(f.id))
            .collect();
        actions.push(CallAction::Finish(outcome));
        actions
    }
}

fn may_spill(now: Tick, cx: CallContext<'_>) -> bool {
    let bytes = cx.table.state.bytes.get() as u64;
    cx.paid.try_take(now, bytes.max(MIN_SPILL_BYTES))
}
