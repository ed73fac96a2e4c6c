//! Tests of the call state machine, and of joining the fleet through seeds.

mod common;

use {
    common::member,
    pistachiolane::{
        attempt::{
            AttemptCause, Call, CallAction, CallContext, CallEvent, CallSpec, NotRunReason,
            Outcome, Throttling,
        },
        limits::{RefusalReason, TokenBucket},
        membership::{Members, MembershipAction, MembershipEvent},
        routing::{
            AllowedRegions, Candidate, Distance, EvacuatedZones, ServiceTable,
            retry_after_without_upstream,
        },
        schema::{AttemptId, MemberRecord, Settlement, WorkKind},
        tick::Tick,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        sync::{Arc, atomic::AtomicU64},
        time::Duration,
    },
    test_case::test_case,
};

const SECOND: Duration = Duration::from_secs(1);

struct CallHarness {
    table: ServiceTable,
    evacuated: EvacuatedZones,
    inter_region_budget: TokenBucket,
    sequence: AtomicU64,
    rng: SmallRng,
    spec: CallSpec,
    call: Call,
    regions: AllowedRegions,
}

impl CallHarness {
    fn new(kind: WorkKind, upstreams: u64) -> Self {
        let candidates = (1..=upstreams)
            .map(|node| Arc::new(Candidate::new(member(node), Distance::Zone, 10)))
            .collect();
        let spec = CallSpec { target: Tick(u64::MAX), ..CallSpec::new(kind, Tick(0) + SECOND) };
        Self {
            table: ServiceTable::new("sizing".into(), candidates, Arc::default()),
            evacuated: EvacuatedZones::default(),
            inter_region_budget: TokenBucket::new(0, 0),
            sequence: AtomicU64::new(0),
            rng: SmallRng::seed_from_u64(1),
            spec,
            call: Call::new(spec),
            regions: AllowedRegions::All,
        }
    }

    /// Creates a call that may run in Svealand only, or nowhere, with a remote upstream in each of these regions.
    fn limited(regions: &[&str], allowed: &[&str]) -> Self {
        let candidate = |(node, region): (u64, &&str)| {
            let member = MemberRecord { region: (*region).into(), ..member(node) };
            Arc::new(Candidate::new(member, Distance::Remote, 10))
        };
        let candidates = (1..).zip(regions).map(candidate).collect();
        let table = ServiceTable::new("sizing".into(), candidates, Arc::default());
        let allowed = allowed.iter().map(|name| Arc::from(*name)).collect();
        let new = Self::new(WorkKind::Idempotent, 0);
        Self { table, regions: AllowedRegions::Only(allowed), ..new }
    }

    fn step(&mut self, now: Tick, event: CallEvent) -> Vec<CallAction> {
        let cx = CallContext {
            entry: 9,
            table: &self.table,
            regions: &self.regions,
            evacuated: &self.evacuated,
            balance: None,
            inter_region_budget: &self.inter_region_budget,
            sequence: &self.sequence,
        };
        self.call.step(now, cx, &mut self.rng, event)
    }

    /// Starts the call and returns its first attempt.
    fn start(&mut self) -> AttemptId {
        sent_attempt(&self.step(Tick(0), CallEvent::Started)).unwrap().0
    }
}

fn sent_attempt(actions: &[CallAction]) -> Option<(AttemptId, AttemptCause)> {
    actions.iter().find_map(|action| match action {
        CallAction::Send { id, cause, .. } => Some((*id, *cause)),
        _ => None,
    })
}

fn outcome(actions: &[CallAction]) -> Option<Outcome> {
    actions.iter().find_map(|action| match action {
        CallAction::Finish(outcome) => Some(*outcome),
        _ => None,
    })
}

#[test]
fn refused_attempt_is_sent_to_another_upstream() {
    let mut harness = CallHarness::new(WorkKind::NonIdempotent, 2);
    let first = harness.start();
    let actions = harness.step(Tick(1), CallEvent::Refused(first, RefusalReason::Draining, None));
    let (second, cause) = sent_attempt(&actions).unwrap();
    assert_ne!(second, first);
    assert_eq!(cause, AttemptCause::First);
    let end = harness.step(Tick(2), CallEvent::Refused(second, RefusalReason::Draining, None));
    let reason = NotRunReason::NoUpstream;
    assert!(matches!(outcome(&end), Some(Outcome::NotRun { reason: r, .. }) if r == reason));
}

/// Returns a harness with eight upstreams in zone `a` and one in zone `b`.
fn harness_with_zones() -> CallHarness {
    let candidate = |node| {
        let zone = if node == 9 { "b" } else { "a" }.into();
        Arc::new(Candidate::new(MemberRecord { zone, ..member(node) }, Distance::Zone, 10))
    };
    let mut harness = CallHarness::new(WorkKind::Idempotent, 0);
    let candidates = (1..=9).map(candidate).collect();
    harness.table = ServiceTable::new("sizing".into(), candidates, Arc::default());
    harness
}

/// Guards against attempts in an evacuated zone, a retry or hedge among them, and against a wait for the deadline and
/// callers who return at once when no zone is left.
#[test_case(false; "retry")]
#[test_case(true; "hedge")]
fn evacuated_zone_gets_no_attempt(is_hedge: bool) {
    let mut harness = harness_with_zones();
    for _ in 0..100 {
        harness.table.state.hedge_after.record(Duration::from_millis(5));
        harness.table.state.retries.deposit(100);
    }
    harness.evacuated.zones.push("a".into());
    let first = harness.start();
    assert_eq!(harness.table.candidates[8].outstanding(), 1);
    harness.evacuated.zones = vec!["b".into()];
    let event = if is_hedge { CallEvent::Timer } else { CallEvent::Lost(first) };
    let actions = harness.step(Tick(0) + SECOND / 2, event);
    assert!(sent_attempt(&actions).is_some());
    assert_eq!(harness.table.candidates[8].outstanding(), u32::from(is_hedge));
    harness.evacuated.zones.push("a".into());
    harness.call = Call::new(harness.spec);
    let end = outcome(&harness.step(Tick(2), CallEvent::Started));
    let Some(Outcome::NotRun { reason, retry_after }) = end else { panic!("{end:?}") };
    assert_eq!(reason, NotRunReason::NoUpstream);
    assert!(
        retry_after >= retry_after_without_upstream(&AllowedRegions::All) / 2,
        "{retry_after:?}"
    );
}

/// Guards against a refusal for each upstream of an evacuated zone that the entry does not know of yet, and against
/// counting these refusals as overload, which ends a call as `service-full`.
#[test]
fn refusal_by_an_evacuated_zone_excludes_the_zone_and_is_no_overload() {
    let mut harness = harness_with_zones();
    let mut actions = harness.step(Tick(0), CallEvent::Started);
    let mut attempts = 0;
    while let Some((id, _)) = sent_attempt(&actions) {
        attempts += 1;
        actions = harness.step(Tick(1), CallEvent::Refused(id, RefusalReason::Evacuated, None));
    }
    assert_eq!(attempts, 2, "one attempt for each zone");
    let end = outcome(&actions);
    let reason = NotRunReason::NoUpstream;
    assert!(matches!(end, Some(Outcome::NotRun { reason: r, .. }) if r == reason), "{end:?}");
}

#[test_case(Settlement::NotRun, true, None; "not run is sent to another upstream")]
#[test_case(Settlement::Done, false, Some(Outcome::Unknown); "done without response")]
#[test_case(Settlement::Unknown, false, Some(Outcome::Unknown); "unknown")]
#[test_case(Settlement::Running, false, None; "running is settled again later")]
fn lost_non_idempotent_attempt_is_settled_first(
    settlement: Settlement,
    sends: bool,
    end: Option<Outcome>,
) {
    let mut harness = CallHarness::new(WorkKind::NonIdempotent, 2);
    let first = harness.start();
    let actions = harness.step(Tick(1), CallEvent::Lost(first));
    assert!(matches!(actions.as_slice(), [CallAction::Settle { id, .. }] if *id == first));
    let actions = harness.step(Tick(2), CallEvent::Settled(first, Some(settlement)));
    assert_eq!(sent_attempt(&actions).is_some(), sends);
    assert_eq!(outcome(&actions), end);
}

#[test]
fn lost_non_idempotent_attempt_at_deadline_is_unknown() {
    let mut harness = CallHarness::new(WorkKind::NonIdempotent, 2);
    let first = harness.start();
    harness.step(Tick(1), CallEvent::Lost(first));
    harness.step(Tick(2), CallEvent::Settled(first, None));
    let end = harness.step(Tick(0) + SECOND, CallEvent::Timer);
    assert_eq!(outcome(&end), Some(Outcome::Unknown));
}

/// Guards against a caller that is told that its request may have run although no byte of it was sent, or although a
/// gate refused it in the moment of the deadline.
#[test_case(CallEvent::Withdrawn, 0; "no connection by the deadline")]
#[test_case(|id| CallEvent::Refused(id, RefusalReason::Expired, None), 20_000; "refusal just after the deadline")]
#[test_case(|id| CallEvent::Refused(id, RefusalReason::QueueFull, None), 20_000; "queue full just after the deadline")]
fn definite_not_run_at_the_deadline(event: fn(AttemptId) -> CallEvent, late_us: u64) {
    let mut harness = CallHarness::new(WorkKind::NonIdempotent, 2);
    let first = harness.start();
    let deadline = Tick(0) + SECOND;
    if late_us > 0 {
        let wait = harness.step(deadline, CallEvent::Timer);
        assert!(matches!(wait.as_slice(), [CallAction::WakeAt(at)] if *at > deadline), "{wait:?}");
    }
    let end = harness.step(Tick(deadline.0 + late_us), event(first));
    let reason = NotRunReason::Expired;
    assert!(matches!(outcome(&end), Some(Outcome::NotRun { reason: r, .. }) if r == reason));
}

/// Guards against a promise that isn't true: an attempt that was withdrawn says nothing about an earlier or another one.
#[test]
fn withdrawn_attempt_after_a_lost_one_is_unknown() {
    let mut harness = CallHarness::new(WorkKind::Idempotent, 2);
    let first = harness.start();
    let (second, _) = sent_attempt(&harness.step(Tick(1), CallEvent::Lost(first))).unwrap();
    let end = harness.step(Tick(0) + SECOND, CallEvent::Withdrawn(second));
    assert_eq!(outcome(&end), Some(Outcome::Unknown));
}

/// The call doesn't wait for the gate's word for long, nor if the work may repeat.
#[test_case(WorkKind::NonIdempotent, 25_000; "non-idempotent")]
#[test_case(WorkKind::Idempotent, 0; "idempotent")]
fn running_attempt_is_unknown_soon_after_the_deadline(kind: WorkKind, late_us: u64) {
    let mut harness = CallHarness::new(kind, 2);
    harness.start();
    let end = harness.step(Tick(SECOND.as_micros() as u64 + late_us), CallEvent::Timer);
    assert_eq!(outcome(&end), Some(Outcome::Unknown));
}

#[test]
fn lost_idempotent_attempt_never_ends_as_not_run() {
    let mut harness = CallHarness::new(WorkKind::Idempotent, 2);
    let first = harness.start();
    let actions = harness.step(Tick(1), CallEvent::Lost(first));
    let (second, cause) = sent_attempt(&actions).unwrap();
    assert_eq!(cause, AttemptCause::Retry);
    let end = harness.step(Tick(2), CallEvent::Refused(second, RefusalReason::Draining, None));
    assert_eq!(outcome(&end), Some(Outcome::Unknown));
}

#[test]
fn response_after_the_end_has_no_effect() {
    let mut harness = CallHarness::new(WorkKind::Idempotent, 2);
    let first = harness.start();
    let response = CallEvent::Answered { id: first, report: None, failed: false };
    assert_eq!(outcome(&harness.step(Tick(1), response)), Some(Outcome::Answer(first)));
    assert!(harness.step(Tick(2), response).is_empty());
    assert!(harness.table.candidates.iter().all(|c| c.outstanding() == 0));
}

#[test]
fn hedge_leaves_a_reserve_for_retries() {
    let mut hedges = 0;
    let mut harness = CallHarness::new(WorkKind::Idempotent, 2);
    for _ in 0..100 {
        harness.table.state.hedge_after.record(Duration::from_millis(5));
    }
    for _ in 0..40 {
        let spec = CallSpec {
            target: Tick(u64::MAX),
            ..CallSpec::new(WorkKind::Idempotent, Tick(0) + SECOND)
        };
        harness.call = Call::new(spec);
        harness.start();
        let actions = harness.step(Tick(500_000), CallEvent::Timer);
        hedges +=
            usize::from(sent_attempt(&actions).is_some_and(|(_, c)| c == AttemptCause::Hedge));
        harness.step(Tick(500_001), CallEvent::CallerDisconnected);
    }
    assert!(hedges > 0);
    assert!(harness.table.state.retries.available() >= 5);
}

#[test]
fn retried_request_is_not_retried_again() {
    let mut harness = CallHarness::new(WorkKind::Idempotent, 2);
    let spec = CallSpec {
        is_retry: true,
        retry_percent: 100,
        target: Tick(u64::MAX),
        ..CallSpec::new(WorkKind::Idempotent, Tick(0) + SECOND)
    };
    harness.call = Call::new(spec);
    let first = harness.start();
    let end = harness.step(Tick(1), CallEvent::Lost(first));
    assert_eq!(outcome(&end), Some(Outcome::Unknown));
}

#[test]
fn node_without_records_has_not_joined() {
    let seeds = vec!["127.0.0.1:7".parse().unwrap()];
    let mut members = Members::new(Tick(0), member(1), seeds);
    let mut rng = SmallRng::seed_from_u64(1);
    assert!(!members.has_joined(Tick(1)));
    let alone = {
        let mut alone = Members::new(Tick(0), member(1), Vec::new());
        alone.add_seeds([]);
        assert!(!alone.has_joined(Tick(1)), "other nodes may be starting at the same time");
        alone.add_seeds([member(1).control]);
        alone
    };
    assert!(alone.has_joined(Tick(1)));
    members.step(Tick(2), &mut rng, MembershipEvent::Records(vec![member(2)]));
    assert!(members.has_joined(Tick(3)));
}

/// Guards against slow joining when all hosts restart together after a power loss: the node must ping
/// several seeds on the next timer event, and again soon afterwards.
#[test]
fn node_pings_several_seeds_immediately() {
    let mut members = Members::new(Tick(0), member(1), Vec::new());
    let mut rng = SmallRng::seed_from_u64(1);
    let pings = |members: &mut Members, rng: &mut SmallRng, ms: u64| {
        let actions = members.step(Tick(ms * 1_000), rng, MembershipEvent::Timer);
        actions.iter().filter(|a| matches!(a, MembershipAction::Send(..))).count()
    };
    assert_eq!(pings(&mut members, &mut rng, 20), 0);
    members.add_seeds((10..20).map(|port| ([127, 0, 0, 1], port).into()));
    assert!(pings(&mut members, &mut rng, 40) >= 3);
    assert!(pings(&mut members, &mut rng, 160) >= 3);
}

/// Guards against retry amplification by upstreams that are reachable but shed every request: each
/// further attempt must use the retry budget.
#[test]
fn attempts_after_shed_use_the_retry_budget() {
    let mut attempts = 0;
    let mut harness = CallHarness::new(WorkKind::Idempotent, 8);
    let retries = &harness.table.state.retries;
    while retries.try_withdraw() {}
    for n in 0..100 {
        // Calls in the window of the throttle would be rejected without an attempt.
        let now = Tick(0) + 2 * SECOND * n;
        let spec = CallSpec { hedge: false, deadline: now + SECOND, ..harness.spec };
        harness.call = Call::new(spec);
        let mut next = sent_attempt(&harness.step(now, CallEvent::Started)).map(|(id, _)| id);
        assert!(next.is_some(), "the call starts without an attempt");
        while let Some(id) = next {
            attempts += 1;
            let actions = harness.step(now, CallEvent::Refused(id, RefusalReason::Shed, None));
            next = sent_attempt(&actions).map(|(id, _)| id);
            if next.is_none() {
                let end = outcome(&actions);
                assert!(matches!(end, Some(Outcome::NotRun { .. })), "{end:?}");
            }
        }
    }
    // A tenth more than the requests: the default retry percentage of the test calls is 10.
    assert!((100..=110).contains(&attempts), "{attempts} attempts for 100 requests");
}

/// Guards against an entry without throttling that rejects calls, or lengthens the Retry-After of those that are refused,
/// because many were refused before.
#[test]
fn refused_calls_without_throttling_are_not_counted() {
    let mut harness = CallHarness::new(WorkKind::Idempotent, 2);
    for _ in 0..50 {
        harness.call = Call::new(CallSpec { throttling: Throttling::Off, ..harness.spec });
        let mut next = Some(harness.start());
        while let Some(id) = next {
            let refused = CallEvent::Refused(id, RefusalReason::QueueFull, None);
            next = sent_attempt(&harness.step(Tick(0), refused)).map(|(id, _)| id);
        }
        assert!(harness.call.is_finished());
    }
    let throttle = harness.table.state.throttle(&harness.regions);
    assert_eq!(throttle.state(Tick(0), harness.spec.urgency).refused, 0);
    assert_eq!(throttle.expected_wait(Tick(0), harness.spec.urgency), Duration::ZERO);
}

/// Guards against a settlement, which closes the connection that other attempts use, after the gate
/// itself has responded that the outcome is unknown.
#[test_case(WorkKind::NonIdempotent, false; "non-idempotent work ends at once")]
#[test_case(WorkKind::Idempotent, true; "idempotent work is retried")]
fn attempt_of_unknown_outcome_is_not_settled(kind: WorkKind, retries: bool) {
    let mut harness = CallHarness::new(kind, 2);
    let first = harness.start();
    let actions = harness.step(Tick(1), CallEvent::OutcomeUnknown(first));
    assert!(!actions.iter().any(|a| matches!(a, CallAction::Settle { .. })), "{actions:?}");
    assert_eq!(sent_attempt(&actions).map(|(_, c)| c), retries.then_some(AttemptCause::Retry));
    assert_eq!(outcome(&actions), (!retries).then_some(Outcome::Unknown));
}

/// Guards against an attempt in a region that is not allowed, or a refusal by the byte budget where only another region is
/// allowed: first attempt, hedge and retry go to the allowed upstreams, and when these leave the call ends at once.
#[test]
fn attempts_stay_in_allowed_regions() {
    let regions = ["svealand", "almaty", "svealand", "almaty", "svealand"];
    let mut harness = CallHarness::limited(&regions, &["svealand"]);
    for _ in 0..100 {
        harness.table.state.hedge_after.record(Duration::from_millis(5));
        harness.table.state.retries.deposit(100);
    }
    let first = harness.start();
    let (hedge, cause) = sent_attempt(&harness.step(Tick(500_000), CallEvent::Timer)).unwrap();
    assert_eq!(cause, AttemptCause::Hedge);
    harness.step(Tick(500_001), CallEvent::Lost(first));
    let retry = harness.step(Tick(500_002), CallEvent::Lost(hedge));
    assert!(sent_attempt(&retry).is_some());
    let sent = |node: u64| harness.table.candidates[node as usize - 1].sent_since_report();
    assert_eq!([1, 2, 3, 4, 5].map(sent), [1, 0, 1, 0, 1]);
    let mut harness = CallHarness::limited(&regions[..2], &["svealand"]);
    let left = CallEvent::Refused(harness.start(), RefusalReason::Draining, None);
    let end = harness.step(Tick(1), left);
    assert!(matches!(outcome(&end), Some(Outcome::NotRun { .. })), "{end:?}");
}

/// Guards against a call that waits or goes elsewhere when nothing may run it, and against a reason that doesn't tell an
/// outage from settings that allow nothing.
#[test_case(&["umea"], NotRunReason::NoUpstream; "no upstream there")]
#[test_case(&[], NotRunReason::NoRegion; "no common region")]
fn call_without_an_allowed_upstream_ends_at_once(allowed: &[&str], expected: NotRunReason) {
    let mut harness = CallHarness::limited(&["svealand"], allowed);
    let end = harness.step(Tick(0), CallEvent::Started);
    let Some(Outcome::NotRun { reason, retry_after }) = outcome(&end) else { panic!("{end:?}") };
    assert_eq!(reason, expected);
    assert!(retry_after >= Duration::from_millis(350), "{retry_after:?}");
}
