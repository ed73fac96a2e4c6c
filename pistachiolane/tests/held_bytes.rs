//! Budget of the bytes that a process holds for its peers, in virtual time.

use {
    pistachiolane::{
        limits::held::{ByteBudget, Grant, Holder, Holders, Lease, SMALL_BYTES},
        tick::Tick,
    },
    proptest::prelude::*,
    std::{sync::Arc, time::Duration},
    test_case::test_case,
};

const LIMIT: u64 = 1 << 20;

/// Bytes of a body that is not small.
const BODY: u64 = 128 << 10;

fn at(ms: u64) -> Tick {
    Tick(ms * 1_000)
}

fn budget() -> Arc<ByteBudget> {
    Arc::new(ByteBudget::new(LIMIT))
}

fn body(budget: &Arc<ByteBudget>) -> Lease {
    Lease::new(budget, Holder::new("body"))
}

/// Returns bodies that fill the share of the budget for large holders, the first of them since `now`, the others later.
fn fill(budget: &Arc<ByteBudget>, now: Tick) -> Vec<Lease> {
    let mut bodies = Vec::new();
    loop {
        let lease = body(budget);
        lease.holder().record_progress(now + Duration::from_millis(bodies.len() as u64));
        if !matches!(lease.take(BODY, now), Grant::Granted) {
            return bodies;
        }
        bodies.push(lease);
    }
}

/// A crowd of bodies that stall: the one that has stalled longest gives way, and its bytes serve the next one.
#[test]
fn take_evicts_longest_stalled() {
    let budget = budget();
    let mut bodies = fill(&budget, at(0));
    let next = body(&budget);
    let Grant::Pending(Some(evicted)) = next.take(BODY, at(1_500)) else {
        panic!("no holder gives way");
    };
    assert!(evicted.was_evicted() && bodies[0].holder().was_evicted());
    // No second one has to for the same bytes.
    assert!(matches!(next.take(BODY, at(1_500)), Grant::Pending(None)));
    bodies.remove(0);
    assert!(matches!(next.take(BODY, at(1_500)), Grant::Granted));
    assert!(bodies.iter().all(|body| !body.holder().was_evicted()));
}

/// Bodies that keep moving, however slowly, don't give way; the newcomer is refused.
#[test_case(100; "fast")]
#[test_case(900; "slow")]
fn take_refuses_newcomer_while_all_move(interval_ms: u64) {
    let budget = budget();
    let bodies = fill(&budget, at(0));
    for now in (0..20_000).step_by(interval_ms as usize) {
        for body in &bodies {
            body.holder().record_progress(at(now));
        }
        let next = body(&budget);
        assert!(matches!(next.take(BODY, at(now)), Grant::Refused));
    }
    assert!(bodies.iter().all(|body| !body.holder().was_evicted()));
}

/// A body whose bytes arrive after a long pause does not give way to itself.
#[test]
fn take_spares_body_that_moves_again() {
    let budget = budget();
    let bodies = fill(&budget, at(0));
    bodies[0].holder().record_progress(at(9_000));
    let Grant::Pending(Some(_)) = bodies[0].take(BODY, at(9_000)) else {
        panic!("no holder gives way");
    };
    assert!(!bodies[0].holder().was_evicted() && bodies[1].holder().was_evicted());
}

/// Bodies whose requests run don't give way however long that takes.
#[test]
fn take_spares_requests_in_progress() {
    let budget = budget();
    let bodies = fill(&budget, at(0));
    for body in &bodies {
        body.holder().record_work();
    }
    let next = body(&budget);
    assert!(matches!(next.take(BODY, at(60_000)), Grant::Refused));
}

/// Small bodies are served while large ones use up their share.
#[test]
fn take_keeps_room_for_small_bodies() {
    let budget = budget();
    let _bodies = fill(&budget, at(0));
    for _ in 0..8 {
        let small = body(&budget);
        assert!(matches!(small.take(SMALL_BYTES, at(0)), Grant::Granted));
        assert!(matches!(small.take(SMALL_BYTES, at(0)), Grant::Refused));
    }
    assert!(budget.held() <= LIMIT);
}

/// A response that was made is kept even beyond the budget, and a stalled holder gives way for it.
#[test]
fn force_exceeds_budget_and_evicts() {
    let budget = budget();
    let bodies = fill(&budget, at(0));
    let response = Lease::new(&budget, Holder::new("response"));
    assert!(response.force(LIMIT, at(2_000)).is_some());
    assert!(budget.held() > LIMIT);
    drop((bodies, response));
    assert_eq!(budget.held(), 0);
}

#[test]
fn longest_stalled_counts_from_the_wait() {
    let (holders, holder) = (Holders::default(), Arc::new(Holder::new("slot")));
    let key = holders.add(&holder);
    assert!(holders.longest_stalled(at(9_000), Duration::ZERO).is_none());
    holder.record_wait(at(9_000));
    holder.record_wait(at(9_900));
    let min_stall = Duration::from_secs(1);
    assert!(holders.longest_stalled(at(9_999), min_stall).is_none());
    assert!(holders.longest_stalled(at(10_000), min_stall).is_some());
    holders.remove(key);
    assert!(holders.is_empty());
}

/// Step of a random history: a lease takes bytes, makes progress, works or ends.
#[derive(Clone, Copy, Debug)]
enum Step {
    Take(u64),
    Progress,
    Work,
    End,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1..300_000_u64).prop_map(Step::Take),
        1 => Just(Step::Progress),
        1 => Just(Step::Work),
        1 => Just(Step::End),
    ]
}

proptest! {
    /// Whatever happens, no more is held than the budget, and all of it is given back.
    #[test]
    fn budget_is_kept_and_given_back(steps in prop::collection::vec((0..12_usize, 0..700_u64, step()), 1..300)) {
        let budget = budget();
        let mut leases: Vec<Option<Lease>> = (0..12).map(|_| None).collect();
        let mut now = 0;
        for (n, ms, step) in steps {
            now += ms;
            let lease = leases[n].get_or_insert_with(|| body(&budget));
            match step {
                Step::Take(bytes) => {
                    let before = budget.held();
                    let granted = matches!(lease.take(bytes, at(now)), Grant::Granted);
                    prop_assert_eq!(budget.held(), before + if granted { bytes } else { 0 });
                }
                Step::Progress => lease.holder().record_progress(at(now)),
                Step::Work => lease.holder().record_work(),
                Step::End => leases[n] = None,
            }
            // An evicted holder ends.
            for lease in &mut leases {
                lease.take_if(|lease| lease.holder().was_evicted());
            }
            prop_assert!(budget.held() <= LIMIT);
            let held: u64 = leases.iter().flatten().map(|l| l.holder().bytes()).sum();
            prop_assert_eq!(held, budget.held());
        }
        leases.clear();
        prop_assert_eq!(budget.held(), 0);
        let next = body(&budget);
        prop_assert!(matches!(next.take(LIMIT / 2, at(now)), Grant::Granted));
    }
}
