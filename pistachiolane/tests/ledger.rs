//! Tests of the gate's ledger: no attempt runs twice, and none runs after it was settled as *not run*.

use {
    pistachiolane::{
        attempt::{AttemptState, BeginError, Ledger},
        schema::{AttemptId, SettleRequest, Settlement},
        tick::Tick,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

const GATE: u64 = 9;

#[derive(Clone, Debug)]
enum Step {
    Begin(AttemptId, u64),
    Start(AttemptId),
    Finish(AttemptId),
    Settle(AttemptId, u64),
    Wait(u64),
}

fn attempt() -> impl Strategy<Value = AttemptId> {
    (1..3_u64, 1..6_u64).prop_map(|(entry, sequence)| AttemptId { entry, sequence })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (attempt(), 1..4_u64).prop_map(|(id, c)| Step::Begin(id, c)),
        4 => attempt().prop_map(Step::Start),
        3 => attempt().prop_map(Step::Finish),
        3 => (attempt(), 1..4_u64).prop_map(|(id, c)| Step::Settle(id, c)),
        1 => prop_oneof![Just(1), Just(61), Just(3_700)].prop_map(Step::Wait),
    ]
}

fn settle(ledger: &Ledger, now: Tick, id: AttemptId, connection: u64) -> Settlement {
    ledger.settle(now, &SettleRequest { id, gate: GATE, connection })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_attempt_runs_twice_or_after_not_run_in_random_steps(steps in prop::collection::vec(step(), 1..60)) {
        let ledger = Ledger::new(GATE);
        let mut now = Tick(0);
        let mut begun: HashMap<AttemptId, Arc<AttemptState>> = HashMap::new();
        let mut ran: HashSet<AttemptId> = HashSet::new();
        let mut running: HashSet<AttemptId> = HashSet::new();
        let mut not_run: HashSet<AttemptId> = HashSet::new();
        for step in steps {
            now = now + Duration::from_millis(1);
            match step {
                Step::Begin(id, connection) => {
                    // `Ledger::begin` must not return a new state for an attempt that is still waiting.
                    if let Ok(state) = ledger.begin(now, id, connection) {
                        prop_assert!(!ran.contains(&id), "{id:?} began after it ran");
                        begun.insert(id, state);
                    }
                }
                Step::Start(id) => {
                    if begun.get(&id).is_some_and(|s| s.start()) {
                        prop_assert!(ran.insert(id), "{id:?} ran twice");
                        prop_assert!(!not_run.contains(&id), "{id:?} ran after it was settled as not run");
                        running.insert(id);
                    }
                }
                Step::Finish(id) => {
                    if running.remove(&id) {
                        begun[&id].finish(now);
                    }
                }
                Step::Settle(id, connection) => match settle(&ledger, now, id, connection) {
                    Settlement::NotRun => {
                        prop_assert!(!ran.contains(&id), "{id:?} settled as not run after it ran");
                        not_run.insert(id);
                    }
                    Settlement::Running => prop_assert!(running.contains(&id)),
                    Settlement::Done => prop_assert!(ran.contains(&id) && !running.contains(&id)),
                    Settlement::Unknown => {}
                },
                Step::Wait(seconds) => {
                    now = now + Duration::from_secs(seconds);
                    ledger.sweep(now);
                }
            }
        }
    }
}

#[test]
fn attempt_settled_before_arrival_never_runs() {
    let ledger = Ledger::new(GATE);
    let id = AttemptId { entry: 1, sequence: 7 };
    assert_eq!(settle(&ledger, Tick(1), id, 3), Settlement::NotRun);
    assert_eq!(ledger.begin(Tick(2), id, 3).err(), Some(BeginError::Duplicate));
    assert_eq!(ledger.begin(Tick(2), id, 9).err(), Some(BeginError::Duplicate));
    let other = AttemptId { entry: 1, sequence: 6 };
    assert_eq!(ledger.begin(Tick(2), other, 3).err(), Some(BeginError::ConnectionRetired));
    let next = AttemptId { entry: 1, sequence: 8 };
    assert!(ledger.begin(Tick(3), next, 4).unwrap().start());
}

#[test]
fn settlement_of_other_incarnation_of_the_gate_is_unknown() {
    let ledger = Ledger::new(GATE);
    let req =
        SettleRequest { id: AttemptId { entry: 1, sequence: 1 }, gate: GATE + 1, connection: 1 };
    assert_eq!(ledger.settle(Tick(1), &req), Settlement::Unknown);
}

#[test]
fn settlement_of_removed_attempt_is_unknown() {
    let ledger = Ledger::new(GATE);
    let id = AttemptId { entry: 1, sequence: 1 };
    let state = ledger.begin(Tick(1), id, 1).unwrap();
    assert!(state.start());
    state.finish(Tick(2));
    ledger.sweep(Tick(2) + Duration::from_secs(61));
    assert!(ledger.is_empty());
    assert_eq!(settle(&ledger, Tick(3), id, 1), Settlement::Unknown);
}

#[test]
fn settlement_of_attempt_of_removed_entry_is_unknown() {
    let ledger = Ledger::new(GATE);
    let id = AttemptId { entry: 1, sequence: 1 };
    let state = ledger.begin(Tick(1), id, 1).unwrap();
    assert!(state.start());
    state.finish(Tick(2));
    for other in 0..20_000 {
        let id = AttemptId { entry: 100 + other, sequence: 1 };
        assert!(ledger.begin(Tick(2), id, 1).unwrap().refuse(Tick(2)));
    }
    let later = Tick(2) + Duration::from_secs(4_000);
    ledger.sweep(later);
    ledger.sweep(later);
    assert_eq!(settle(&ledger, later, id, 1), Settlement::Unknown);
}

#[test]
fn sweep_keeps_running_attempts() {
    let ledger = Ledger::new(GATE);
    let id = AttemptId { entry: 1, sequence: 1 };
    assert!(ledger.begin(Tick(1), id, 1).unwrap().start());
    ledger.sweep(Tick(1) + Duration::from_secs(100_000));
    assert_eq!(settle(&ledger, Tick(5), id, 1), Settlement::Running);
}
