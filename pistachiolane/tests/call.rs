//! One call's state machine.

mod common;

use {
    common::member,
    pistachiolane::{
        attempt::{
            AttemptCause, Call, CallAction, CallContext, CallEvent, CallSpec, NotRunReason, Outcome,
        },
        limits::{RefusalReason, TokenBucket},
        membership::{Members, MembershipAction, MembershipEvent},
        routing::{Candidate, Distance, ServiceTable},
        schema::{AttemptId, Settlement, WorkKind},
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

struct Bench {
    table: ServiceTable,
    paid: TokenBucket,
    sequence: AtomicU64,
    rng: SmallRng,
    spec: CallSpec,
    call: Call,
}

impl Bench {
    fn new(kind: WorkKind, upstreams: u64) -> Self {
        let candidates = (1..=upstreams)
            .map(|node| Arc::new(Candidate::new(member(node), Distance::Zone, 10)))
            .collect();
        let spec = CallSpec { target: Tick(u64::MAX), ..CallSpec::new(kind, Tick(0) + SECOND) };
        Self {
            table: ServiceTable::new("sizing".into(), candidates, Arc::default()),
            paid: TokenBucket::new(0, 0),
            sequence: AtomicU64::new(0),
            rng: SmallRng::seed_from_u64(1),
            spec,
            call: Call::new(spec),
        }
    }

    fn step(&mut self, now: Tick, event: CallEvent) -> Vec<CallAction> {
        let cx = CallContext {
            entry: 9,
            table: &self.table,
            inter_region_budget: &self.paid,
            sequence: &self.sequence,
        };
        self.call.step(now, cx, &mut self.rng, event)
    }

    fn start(&mut self) -> AttemptId {
        sent(&self.step(Tick(0), CallEvent::Started)).unwrap().0
    }
}

fn sent(actions: &[CallAction]) -> Option<(AttemptId, AttemptCause)> {
    actions.iter().find_map(|action| match action {
        CallAction::Send { id, cause, .. } => Some((*id, *cause)),
        _ => None,
    })
}

fn finished(actions: &[CallAction]) -> Option<Outcome> {
    actions.iter().find_map(|action| match action {
        CallAction::Finish(outcome) => Some(*outcome),
        _ => None,
    })
}

#[test]
fn refused_goes_elsewhere() {
    let mut bench = Bench::new(WorkKind::NonIdempotent, 2);
    let first = bench.start();
    let actions = bench.step(Tick(1), CallEvent::Refused(first, RefusalReason::Draining, None));
    let (second, cause) = sent(&actions).unwrap();
    assert_ne!(second, first);
    assert_eq!(cause, AttemptCause::First);
    let end = bench.step(Tick(2), CallEvent::Refused(second, RefusalReason::Draining, None));
    let reason = NotRunReason::NoUpstream;
    assert!(matches!(finished(&end), Some(Outcome::NotRun { reason: r, .. }) if r == reason));
}

#[test_case(Settlement::NotRun, true, None; "not run goes elsewhere")]
#[test_case(Settlement::Done, false, Some(Outcome::Unknown); "done without its answer")]
#[test_case(Settlement::Unknown, false, Some(Outcome::Unknown); "nobody knows")]
#[test_case(Settlement::Running, false, None; "running is asked again")]
fn lost_order_is_settled_first(settlement: Settlement, sends: bool, end: Option<Outcome>) {
    let mut bench = Bench::new(WorkKind::NonIdempotent, 2);
    let first = bench.start();
    let actions = bench.step(Tick(1), CallEvent::Lost(first));
    assert!(matches!(actions.as_slice(), [CallAction::Settle { id, .. }] if *id == first));
    let actions = bench.step(Tick(2), CallEvent::Settled(first, Some(settlement)));
    assert_eq!(sent(&actions).is_some(), sends);
    assert_eq!(finished(&actions), end);
}

#[test]
fn lost_order_at_its_deadline_is_unknown() {
    let mut bench = Bench::new(WorkKind::NonIdempotent, 2);
    let first = bench.start();
    bench.step(Tick(1), CallEvent::Lost(first));
    bench.step(Tick(2), CallEvent::Settled(first, None));
    let end = bench.step(Tick(0) + SECOND, CallEvent::Timer);
    assert_eq!(finished(&end), Some(Outcome::Unknown));
}

#[test]
fn lost_lookup_never_ends_as_not_run() {
    let mut bench = Bench::new(WorkKind::Idempotent, 2);
    let first = bench.start();
    let actions = bench.step(Tick(1), CallEvent::Lost(first));
    let (second, cause) = sent(&actions).unwrap();
    assert_eq!(cause, AttemptCause::Retry);
    let end = bench.step(Tick(2), CallEvent::Refused(second, RefusalReason::Draining, None));
    assert_eq!(finished(&end), Some(Outcome::Unknown));
}

#[test]
fn late_answer_changes_nothing() {
    let mut bench = Bench::new(WorkKind::Idempotent, 2);
    let first = bench.start();
    let answer = CallEvent::Answered { id: first, report: None, failed: false };
    assert_eq!(finished(&bench.step(Tick(1), answer)), Some(Outcome::Answer(first)));
    assert!(bench.step(Tick(2), answer).is_empty());
    assert!(bench.table.candidates.iter().all(|c| c.outstanding() == 0));
}

#[test]
fn hedge_leaves_a_reserve_for_retries() {
    let mut hedges = 0;
    let mut bench = Bench::new(WorkKind::Idempotent, 2);
    for _ in 0..100 {
        bench.table.state.hedge_after.record(Duration::from_millis(5));
    }
    for _ in 0..40 {
        let spec = CallSpec {
            target: Tick(u64::MAX),
            ..CallSpec::new(WorkKind::Idempotent, Tick(0) + SECOND)
        };
        bench.call = Call::new(spec);
        bench.start();
        let actions = bench.step(Tick(500_000), CallEvent::Timer);
        hedges += usize::from(sent(&actions).is_some_and(|(_, c)| c == AttemptCause::Hedge));
        bench.step(Tick(500_001), CallEvent::CallerDisconnected);
    }
    assert!(hedges > 0);
    assert!(bench.table.state.retries.available() >= 5);
}

#[test]
fn retry_of_a_retry_is_not_sent() {
    let mut bench = Bench::new(WorkKind::Idempotent, 2);
    let spec = CallSpec {
        is_retry: true,
        retry_percent: 100,
        target: Tick(u64::MAX),
        ..CallSpec::new(WorkKind::Idempotent, Tick(0) + SECOND)
    };
    bench.call = Call::new(spec);
    let first = bench.start();
    let end = bench.step(Tick(1), CallEvent::Lost(first));
    assert_eq!(finished(&end), Some(Outcome::Unknown));
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
        assert!(!alone.has_joined(Tick(1)), "others may be starting at this moment");
        alone.add_seeds([member(1).control]);
        alone
    };
    assert!(alone.has_joined(Tick(1)));
    members.step(Tick(2), &mut rng, MembershipEvent::Records(vec![member(2)]));
    assert!(members.has_joined(Tick(3)));
}

/// All hosts come back at once after a loss of power: seeds are asked with the next timer, several, and soon again.
#[test]
fn node_asks_its_seeds_at_once() {
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

/// Grey upstreams that turn every request away draw each further arrival from the retry budget.
#[test]
fn shed_draws_on_the_retry_budget() {
    let mut arrivals = 0;
    let mut bench = Bench::new(WorkKind::Idempotent, 8);
    let retries = &bench.table.state.retries;
    while retries.try_withdraw() {}
    for _ in 0..100 {
        bench.call = Call::new(CallSpec { hedge: false, ..bench.spec });
        let mut next = Some(bench.start());
        while let Some(id) = next {
            arrivals += 1;
            let actions = bench.step(Tick(1), CallEvent::Refused(id, RefusalReason::Shed, None));
            next = sent(&actions).map(|(id, _)| id);
            if next.is_none() {
                let end = finished(&actions);
                assert!(matches!(end, Some(Outcome::NotRun { .. })), "{end:?}");
            }
        }
    }
    // A tenth of the requests, the retry percentage of the bench.
    assert!((100..=110).contains(&arrivals), "{arrivals} arrivals of 100 requests");
}
