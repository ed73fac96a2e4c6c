//! State machine that sends the attempts of one call until it has an outcome.

use {
    super::{AttemptCause, CallAction, CallEvent, CallSpec, NotRunReason, Outcome},
    crate::{
        limits::{EntryThrottle, RefusalReason, TokenBucket, retry_after},
        recovery::QUARANTINE,
        routing::{
            AllowedRegions, BalancePolicy, BalanceTerms, Candidate, Departure, Distance,
            EvacuatedZones, PickRequest, ServiceTable, pick,
        },
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

/// Maximum number of attempts that are sent without permission to queue; later ones may be queued.
const MAX_DIRECT_ATTEMPTS: u32 = 2;

/// Maximum number of attempts that gates may queue; after them, the service counts as full.
const MAX_QUEUEABLE_ATTEMPTS: u32 = 2;

/// Estimated utilisation of an upstream from which even the first attempt there may be queued.
const MIN_QUEUE_UTILISATION: f64 = 1.5;

/// Estimated utilisation of an upstream below which a hedge may be sent to it: a second copy of the work
/// would only add load to a busy service.
const MAX_HEDGE_UTILISATION: f64 = 0.9;

/// Time after the deadline for which a call that must not repeat waits for the gate's word on its attempt. Gates refuse
/// what still waits shortly before the deadline, and a busy node reads that later; without the word the caller would
/// be told that the request may have run.
const REFUSAL_GRACE: Duration = Duration::from_millis(25);

/// Time between settlement requests for an attempt that is still running or whose gate is
/// unreachable.
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum number of bytes that a request to another region takes from the inter-region byte budget.
const MIN_INTER_REGION_BYTES: u64 = 4_096;

/// Number of retries that hedges leave in the retry budget, for upstream failures.
const HEDGE_RETRY_RESERVE: u64 = 5;

/// Minimum delay before a hedge, so that very small latency estimates do not double the traffic.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);

/// Further attempts after refusals as busy, per hundred calls of a service that were sent.
const ATTEMPTS_AFTER_BUSY_PERCENT: u32 = 18;

/// Further attempts after refusals as full, per hundred calls of a service that were sent.
const ATTEMPTS_AFTER_FULL_PERCENT: u32 = 8;

/// State that a call shares with the other calls of its node.
#[derive(Clone, Copy, Debug)]
pub struct CallContext<'a> {
    /// Node that the entry belongs to.
    pub entry: u64,
    /// Upstreams of the service.
    pub table: &'a ServiceTable,
    /// Regions whose upstreams may run the request.
    pub regions: &'a AllowedRegions,
    /// Zones whose upstreams get no attempts.
    pub evacuated: &'a EvacuatedZones,
    /// Prices and values by which requests leave the entry's zone; `None` if the zone balance is off.
    pub balance: Option<BalancePolicy>,
    /// Byte budget for traffic to other regions.
    pub inter_region_budget: &'a TokenBucket,
    /// Last attempt sequence number used by the entry.
    pub sequence: &'a AtomicU64,
}

impl<'a> CallContext<'a> {
    /// Returns the request for a pick among nearby upstreams where the call may run, without the zone balance.
    fn nearby_pick(self, now: Tick, excluded_nodes: &'a [u64]) -> PickRequest<'a> {
        PickRequest {
            now,
            excluded_nodes,
            regions: self.regions,
            evacuated: self.evacuated,
            allow_remote: false,
            balance: None,
        }
    }
}

#[derive(Debug)]
struct InFlightAttempt {
    id: AttemptId,
    candidate: Arc<Candidate>,
    sent_at: Tick,
    hedge: bool,
    /// Whether the gate may queue the attempt.
    may_queue: bool,
    /// Time of the next settlement request, if one is scheduled.
    settle_at: Option<Tick>,
    /// Whether its connection was lost, so that no refusal can arrive.
    is_lost: bool,
}

/// State machine of one call; [`Call::step`] drives it.
#[derive(Debug)]
pub struct Call {
    spec: CallSpec,
    in_flight: Vec<InFlightAttempt>,
    busy_nodes: Vec<u64>,
    excluded_nodes: Vec<u64>,
    direct_attempts: u32,
    queueable_attempts: u32,
    /// Whether any ended attempt may have run; if so, the outcome can't be *not run*.
    may_have_run: bool,
    /// Whether a gate refused an attempt because its queue was full or the upstream shed it.
    was_refused_by_overload: bool,
    /// Number of ended attempts that may have run.
    possible_runs: u32,
    hedge_at: Option<Tick>,
    is_finished: bool,
}

impl Call {
    /// Creates a call that has not started.
    pub fn new(spec: CallSpec) -> Self {
        Self {
            spec,
            in_flight: Vec::new(),
            busy_nodes: Vec::new(),
            excluded_nodes: Vec::new(),
            direct_attempts: 0,
            queueable_attempts: 0,
            may_have_run: false,
            was_refused_by_overload: false,
            possible_runs: 0,
            hedge_at: None,
            is_finished: false,
        }
    }

    /// Whether the call has ended.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Processes an event and returns the resulting actions in order.
    ///
    /// Events of attempts that are no longer in flight are ignored; a late response has no effect.
    pub fn step<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        event: CallEvent,
    ) -> Vec<CallAction> {
        if self.is_finished {
            return Vec::new();
        }
        let actions = match event {
            CallEvent::Started => self.on_started(now, cx, rng),
            CallEvent::Refused(id, reason, report) => {
                self.on_refused(now, cx, rng, id, reason, report)
            }
            CallEvent::Unsent(id) => self.on_unsent(now, cx, rng, id),
            CallEvent::Withdrawn(id) => self.on_withdrawn(now, cx, rng, id),
            CallEvent::Lost(id) if self.spec.kind == WorkKind::NonIdempotent => {
                self.start_settlement(id)
            }
            CallEvent::Lost(id) => self.on_possible_run(now, cx, rng, id, false),
            // A settlement would repeat what the gate has said, and would close the connection
            // that other attempts use.
            CallEvent::UpstreamCrashed { id, may_retry } => {
                if !may_retry {
                    // No further upstream may run the request.
                    self.spec.max_attempts = 0;
                }
                self.on_possible_run(now, cx, rng, id, true)
            }
            CallEvent::OutcomeUnknown(id) => self.on_possible_run(now, cx, rng, id, true),
            CallEvent::Answered { id, report, failed } => {
                self.on_answered(now, cx, rng, id, report, failed)
            }
            CallEvent::Settled(id, settlement) => self.on_settled(now, cx, rng, id, settlement),
            CallEvent::Timer => self.on_timer(now, cx, rng),
            CallEvent::CallerDisconnected => self.finish(now, Outcome::Unknown),
        };
        if let Some(CallAction::Finish(outcome)) = actions.last() {
            self.record_load(now, cx, *outcome);
        }
        actions
    }

    /// Returns the throttle of the service's calls, unless the entry throttles none.
    fn throttle(&self, cx: CallContext<'_>) -> Option<Arc<EntryThrottle>> {
        self.spec.throttling.is_on().then(|| cx.table.state.throttle(cx.regions))
    }

    /// Records at the service's throttle whether the upstreams had room for the call; other ends show nothing about load.
    fn record_load(&self, now: Tick, cx: CallContext<'_>, outcome: Outcome) {
        let Some(throttle) = self.throttle(cx) else {
            return;
        };
        let urgency = self.spec.urgency;
        match outcome {
            Outcome::Answer(_) => throttle.record_accepted(now, urgency),
            Outcome::NotRun { reason: NotRunReason::Throttled, .. } => {
                throttle.record_rejected(now, urgency);
            }
            Outcome::NotRun { reason: NotRunReason::ServiceFull, .. } => {
                throttle.record_refused(now, urgency);
            }
            _ => {}
        }
    }

    /// Whether the call is rejected before its first attempt: calls like it are refused, and no recent report shows room.
    fn is_throttled<R: Rng>(&self, now: Tick, cx: CallContext<'_>, rng: &mut R) -> bool {
        self.throttle(cx).is_some_and(|t| t.rejects(now, self.spec.urgency, rng))
            && !cx.table.has_room(now, cx.regions, cx.evacuated, &[])
    }

    fn on_started<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
    ) -> Vec<CallAction> {
        if self.is_throttled(now, cx, rng) {
            let outcome = self.unsuccessful_outcome(now, cx, rng, NotRunReason::Throttled);
            return self.finish(now, outcome);
        }
        cx.table.state.retries.deposit(self.spec.retry_percent);
        cx.table.state.attempts_after_busy.deposit(ATTEMPTS_AFTER_BUSY_PERCENT);
        cx.table.state.attempts_after_full.deposit(ATTEMPTS_AFTER_FULL_PERCENT);
        let mut actions = self.next_attempt(now, cx, rng);
        if self.is_finished {
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

    fn on_refused<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        id: AttemptId,
        reason: RefusalReason,
        report: Option<LoadReport>,
    ) -> Vec<CallAction> {
        let Some(attempt) = self.remove_in_flight(now, id, true) else {
            return Vec::new();
        };
        if let Some(report) = report {
            attempt.candidate.record_report(now, &report);
        }
        if reason == RefusalReason::Busy {
            attempt.candidate.observe_round_trip(now.since(attempt.sent_at));
        }
        let node = attempt.candidate.member.node;
        match reason {
            RefusalReason::Busy => self.busy_nodes.push(node),
            RefusalReason::Shed | RefusalReason::QueueFull => {
                self.was_refused_by_overload = true;
                self.excluded_nodes.push(node);
            }
            RefusalReason::Evacuated => self.on_zone_evacuated(cx, &attempt),
            RefusalReason::Quarantined if self.in_flight.is_empty() => {
                let outcome = if self.may_have_run {
                    Outcome::Unknown
                } else {
                    Outcome::NotRun { reason: NotRunReason::Quarantined, retry_after: QUARANTINE }
                };
                return self.finish(now, outcome);
            }
            RefusalReason::Expired if self.in_flight.is_empty() => {
                let outcome = self.unsuccessful_outcome(now, cx, rng, NotRunReason::Expired);
                return self.finish(now, outcome);
            }
            _ => self.excluded_nodes.push(node),
        }
        if attempt.hedge || !self.in_flight.is_empty() {
            return Vec::new();
        }
        let may_continue = match reason {
            RefusalReason::Shed => self.try_spend_retry_after_shed(cx),
            _ if !self.spec.throttling.is_on() => true,
            RefusalReason::QueueFull => self.try_spend_further_attempt(now, cx),
            RefusalReason::Busy => {
                // The call has asked for no place in a queue yet. Without budget, first attempts may queue.
                let _withdrawn = cx.table.state.attempts_after_busy.try_withdraw();
                true
            }
            _ => true,
        };
        if !may_continue {
            let outcome = self.unsuccessful_outcome(now, cx, rng, NotRunReason::ServiceFull);
            return self.finish(now, outcome);
        }
        self.next_attempt(now, cx, rng)
    }

    /// Excludes the whole zone of a gate that refused an attempt because its zone is evacuated.
    ///
    /// The attempt doesn't count towards those after which the service counts as full.
    fn on_zone_evacuated(&mut self, cx: CallContext<'_>, attempt: &InFlightAttempt) {
        let member = &attempt.candidate.member;
        let in_zone =
            cx.table.candidates.iter().map(|c| &c.member).filter(|m| m.zone == member.zone);
        self.excluded_nodes.extend(in_zone.map(|m| m.node).chain([member.node]));
        // A body that was streamed is spent all the same.
        if self.spec.replayable && !attempt.hedge {
            let attempts = if attempt.may_queue {
                &mut self.queueable_attempts
            } else {
                &mut self.direct_attempts
            };
            *attempts = attempts.saturating_sub(1);
        }
    }

    /// Takes one further attempt from the budget after a gate refused the request as full; it is free if a recent report
    /// shows room at another gate.
    fn try_spend_further_attempt(&self, now: Tick, cx: CallContext<'_>) -> bool {
        cx.table.has_room(now, cx.regions, cx.evacuated, &self.excluded_nodes)
            || cx.table.state.attempts_after_full.try_withdraw()
    }

    /// Takes one retry from the budget for a further attempt after an upstream shed the request.
    fn try_spend_retry_after_shed(&self, cx: CallContext<'_>) -> bool {
        !self.spec.is_retry && cx.table.state.retries.try_withdraw()
    }

    fn on_unsent<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        id: AttemptId,
    ) -> Vec<CallAction> {
        let Some(attempt) = self.remove_in_flight(now, id, false) else {
            return Vec::new();
        };
        attempt.candidate.record_connect_failure(now);
        self.excluded_nodes.push(attempt.candidate.member.node);
        if self.in_flight.is_empty() { self.next_attempt(now, cx, rng) } else { Vec::new() }
    }

    fn on_withdrawn<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        id: AttemptId,
    ) -> Vec<CallAction> {
        if self.remove_in_flight(now, id, false).is_none() || !self.in_flight.is_empty() {
            return Vec::new();
        }
        let outcome = self.unsuccessful_outcome(now, cx, rng, NotRunReason::Expired);
        self.finish(now, outcome)
    }

    /// Processes the end of an attempt that may have run, without a response of the upstream.
    fn on_possible_run<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        id: AttemptId,
        gate_responded: bool,
    ) -> Vec<CallAction> {
        let Some(attempt) = self.remove_in_flight(now, id, gate_responded) else {
            return Vec::new();
        };
        self.may_have_run = true;
        self.possible_runs += 1;
        self.excluded_nodes.push(attempt.candidate.member.node);
        let repeatable = self.spec.kind == WorkKind::Idempotent;
        match self.in_flight.is_empty() {
            false => Vec::new(),
            true if repeatable && self.try_spend_retry(cx) => self.next_attempt(now, cx, rng),
            true => self.finish(now, Outcome::Unknown),
        }
    }

    fn start_settlement(&mut self, id: AttemptId) -> Vec<CallAction> {
        let attempt = self.in_flight.iter_mut().find(|a| a.id == id);
        attempt.map_or_else(Vec::new, |attempt| {
            attempt.settle_at = None;
            attempt.is_lost = true;
            vec![CallAction::Settle { id, candidate: Arc::clone(&attempt.candidate) }]
        })
    }

    fn on_settled<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        id: AttemptId,
        settlement: Option<Settlement>,
    ) -> Vec<CallAction> {
        match settlement {
            Some(Settlement::NotRun) => {
                let Some(attempt) = self.remove_in_flight(now, id, true) else {
                    return Vec::new();
                };
                self.excluded_nodes.push(attempt.candidate.member.node);
                self.next_attempt(now, cx, rng)
            }
            Some(Settlement::Done | Settlement::Unknown) if self.is_in_flight(id) => {
                self.finish(now, Outcome::Unknown)
            }
            _ => self.schedule_settlement(now, id),
        }
    }

    fn schedule_settlement(&mut self, now: Tick, id: AttemptId) -> Vec<CallAction> {
        let Some(attempt) = self.in_flight.iter_mut().find(|a| a.id == id) else {
            return Vec::new();
        };
        attempt.settle_at = Some(now + SETTLE_INTERVAL);
        vec![self.next_wake()]
    }

    fn on_answered<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        id: AttemptId,
        report: Option<LoadReport>,
        failed: bool,
    ) -> Vec<CallAction> {
        let Some(attempt) = self.remove_in_flight(now, id, true) else {
            return Vec::new();
        };
        if let Some(report) = report {
            attempt.candidate.record_report(now, &report);
        }
        let idempotent = self.spec.kind == WorkKind::Idempotent;
        if failed && idempotent {
            self.may_have_run = true;
            self.possible_runs += 1;
            self.excluded_nodes.push(attempt.candidate.member.node);
            match self.in_flight.is_empty() {
                false => return Vec::new(),
                true if self.has_alternative(now, cx, rng) && self.try_spend_retry(cx) => {
                    return self.next_attempt(now, cx, rng);
                }
                true => {}
            }
        }
        if !failed {
            cx.table.state.hedge_after.record(now.since(attempt.sent_at));
        }
        self.finish(now, Outcome::Answer(id))
    }

    fn has_alternative<R: Rng>(&self, now: Tick, cx: CallContext<'_>, rng: &mut R) -> bool {
        let req = cx.nearby_pick(now, &self.excluded_nodes);
        pick(cx.table, req, rng).is_some()
    }

    /// Takes one retry from the budget if the call may be retried at all.
    fn try_spend_retry(&self, cx: CallContext<'_>) -> bool {
        let allowed = self.spec.replayable && !self.spec.is_retry && self.has_attempts_left();
        allowed && cx.table.state.retries.try_withdraw()
    }

    /// Whether `max_attempts` allows the request to run at one more upstream.
    fn has_attempts_left(&self) -> bool {
        self.possible_runs + (self.in_flight.len() as u32) < self.spec.max_attempts
    }

    fn on_timer<R: Rng>(&mut self, now: Tick, cx: CallContext<'_>, rng: &mut R) -> Vec<CallAction> {
        if now >= self.spec.deadline {
            let grace_end = self.spec.deadline + REFUSAL_GRACE;
            if now < grace_end && self.awaits_refusal() {
                return vec![CallAction::WakeAt(grace_end)];
            }
            let outcome = if self.in_flight.is_empty() {
                self.unsuccessful_outcome(now, cx, rng, NotRunReason::Expired)
            } else {
                Outcome::Unknown
            };
            return self.finish(now, outcome);
        }
        let mut actions = self.start_due_settlements(now);
        if self.hedge_at.is_some_and(|at| at <= now) {
            self.hedge_at = None;
            actions.extend(self.try_hedge(now, cx, rng));
        }
        actions.push(self.next_wake());
        actions
    }

    /// Whether the request must not repeat and a refusal of its attempt may be under way.
    fn awaits_refusal(&self) -> bool {
        self.spec.kind == WorkKind::NonIdempotent && self.in_flight.iter().any(|a| !a.is_lost)
    }

    fn start_due_settlements(&mut self, now: Tick) -> Vec<CallAction> {
        let due: Vec<AttemptId> = self
            .in_flight
            .iter()
            .filter(|a| a.settle_at.is_some_and(|at| at <= now))
            .map(|a| a.id)
            .collect();
        due.into_iter().flat_map(|id| self.start_settlement(id)).collect()
    }

    fn try_hedge<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
    ) -> Option<CallAction> {
        let [original] = self.in_flight.as_slice() else {
            return None;
        };
        let mut excluded_nodes = self.excluded_nodes.clone();
        excluded_nodes.push(original.candidate.member.node);
        let req = cx.nearby_pick(now, &excluded_nodes);
        let pick = pick(cx.table, req, rng)?;
        let retries = &cx.table.state.retries;
        let has_capacity = pick.estimate.utilisation < MAX_HEDGE_UTILISATION;
        if !has_capacity
            || !self.has_attempts_left()
            || retries.available() <= HEDGE_RETRY_RESERVE
            || !retries.try_withdraw()
        {
            return None;
        }
        let cause = AttemptCause::Hedge;
        Some(self.send_attempt(now, cx, pick.candidate, false, cause, pick.departure))
    }

    fn next_attempt<R: Rng>(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
    ) -> Vec<CallAction> {
        if now >= self.spec.deadline {
            let outcome = self.unsuccessful_outcome(now, cx, rng, NotRunReason::Expired);
            return self.finish(now, outcome);
        }
        if !self.spec.replayable && self.direct_attempts + self.queueable_attempts > 0 {
            let outcome = self.unsuccessful_outcome(now, cx, rng, NotRunReason::BodySpent);
            return self.finish(now, outcome);
        }
        let is_direct = self.spec.replayable
            && self.direct_attempts < MAX_DIRECT_ATTEMPTS
            && (!self.spec.throttling.is_on()
                || cx.table.state.attempts_after_busy.available() > 0);
        let req = PickRequest {
            allow_remote: true,
            balance: self.balance_terms(now, cx),
            ..cx.nearby_pick(now, &self.excluded_nodes)
        };
        // If only remote upstreams are allowed or usable, the byte budget doesn't refuse the request.
        let picked = pick(cx.table, req, rng)
            .filter(|p| {
                p.candidate.distance != Distance::Remote || try_spend_inter_region_bytes(now, cx)
            })
            .or_else(|| pick(cx.table, PickRequest { allow_remote: false, ..req }, rng));
        let Some(picked) = picked else {
            let is_full = self.was_refused_by_overload || !self.busy_nodes.is_empty();
            let reason = if is_full {
                NotRunReason::ServiceFull
            } else {
                NotRunReason::without_upstream(cx.regions)
            };
            let outcome = self.unsuccessful_outcome(now, cx, rng, reason);
            return self.finish(now, outcome);
        };
        // If a gate that refused the call as busy is still the best candidate, it may queue this attempt.
        let is_busy = self.busy_nodes.contains(&picked.candidate.member.node)
            || picked.estimate.utilisation >= MIN_QUEUE_UTILISATION;
        let may_queue = !is_direct || is_busy;
        if may_queue {
            self.queueable_attempts += 1;
        } else {
            self.direct_attempts += 1;
        }
        if self.queueable_attempts > MAX_QUEUEABLE_ATTEMPTS {
            let outcome = self.unsuccessful_outcome(now, cx, rng, NotRunReason::ServiceFull);
            return self.finish(now, outcome);
        }
        let cause = if self.may_have_run { AttemptCause::Retry } else { AttemptCause::First };
        vec![self.send_attempt(now, cx, picked.candidate, may_queue, cause, picked.departure)]
    }

    /// Returns the terms of the zone balance for the first attempt. After a refusal or a failure any upstream may be
    /// the best, which the expected completion time tells.
    fn balance_terms(&self, now: Tick, cx: CallContext<'_>) -> Option<BalanceTerms> {
        let is_first = self.busy_nodes.is_empty() && self.excluded_nodes.is_empty();
        let policy = cx.balance.filter(|_| is_first)?;
        Some(BalanceTerms { policy, target: self.spec.target.since(now) })
    }

    fn send_attempt(
        &mut self,
        now: Tick,
        cx: CallContext<'_>,
        candidate: Arc<Candidate>,
        may_queue: bool,
        cause: AttemptCause,
        departure: Option<Departure>,
    ) -> CallAction {
        let idempotent = self.spec.kind == WorkKind::Idempotent;
        invariant!(idempotent || self.in_flight.is_empty(), "one_attempt_of_non_idempotent_work");
        let sequence = cx.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let id = AttemptId { entry: cx.entry, sequence };
        candidate.record_sent(now);
        self.in_flight.push(InFlightAttempt {
            id,
            candidate: Arc::clone(&candidate),
            sent_at: now,
            hedge: cause == AttemptCause::Hedge,
            may_queue,
            settle_at: None,
            is_lost: false,
        });
        CallAction::Send { id, candidate, may_queue, cause, departure }
    }

    fn remove_in_flight(
        &mut self,
        now: Tick,
        id: AttemptId,
        gate_responded: bool,
    ) -> Option<InFlightAttempt> {
        let index = self.in_flight.iter().position(|a| a.id == id)?;
        let attempt = self.in_flight.swap_remove(index);
        attempt.candidate.record_ended(now, gate_responded);
        Some(attempt)
    }

    fn is_in_flight(&self, id: AttemptId) -> bool {
        self.in_flight.iter().any(|a| a.id == id)
    }

    fn next_wake(&self) -> CallAction {
        let settlements = self.in_flight.iter().filter_map(|a| a.settle_at);
        let earliest = settlements.chain(self.hedge_at).chain([self.spec.deadline]).min();
        CallAction::WakeAt(earliest.unwrap_or(self.spec.deadline))
    }

    /// Brings the deadline forward, as when the node shuts down before it.
    pub fn limit_deadline(&mut self, at: Tick) {
        self.spec.deadline = self.spec.deadline.min(at);
    }

    /// Returns the outcome *not run* with this reason, or *unknown* if an attempt may have run.
    fn unsuccessful_outcome<R: Rng>(
        &self,
        now: Tick,
        cx: CallContext<'_>,
        rng: &mut R,
        reason: NotRunReason,
    ) -> Outcome {
        if self.may_have_run {
            return Outcome::Unknown;
        }
        let throttled_wait = self.throttle(cx).map(|t| t.expected_wait(now, self.spec.urgency));
        let wait = cx.table.expected_wait(now, cx.regions, cx.evacuated);
        let wait = wait.max(throttled_wait.unwrap_or_default());
        Outcome::NotRun { reason, retry_after: retry_after(rng, wait) }
    }

    fn finish(&mut self, now: Tick, outcome: Outcome) -> Vec<CallAction> {
        self.is_finished = true;
        let has_in_flight = !self.in_flight.is_empty();
        let not_run = matches!(outcome, Outcome::NotRun { .. });
        invariant!(!not_run || (!has_in_flight && !self.may_have_run), "not_run_is_definite");
        let attempts = std::mem::take(&mut self.in_flight);
        let mut actions: Vec<CallAction> = attempts
            .iter()
            .inspect(|a| a.candidate.record_ended(now, false))
            .map(|a| CallAction::Cancel(a.id))
            .collect();
        actions.push(CallAction::Finish(outcome));
        actions
    }
}

/// Takes the average size of a request and its response from the inter-region byte budget.
fn try_spend_inter_region_bytes(now: Tick, cx: CallContext<'_>) -> bool {
    let bytes = cx.table.state.bytes.get() as u64;
    cx.inter_region_budget.try_take(now, bytes.max(MIN_INTER_REGION_BYTES))
}
