//! Pattern: upstreams are cold after a restart and tolerate only a fraction of the usual rate.

mod common;

use {
    common::member,
    pistachiolane::{
        limits::{
            AdmissionDecision, AdmissionRequest, ColdChange, ColdState, Dequeued, Gate, QueueKey,
            StatedRate, Urgency, WaitQueue,
        },
        routing::{
            AllowedRegions, Candidate, Distance, EvacuatedZones, PickRequest, ServiceTable, pick,
        },
        tick::Tick,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    test_case::test_case,
};

const SECOND: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Tick {
    Tick(ms * 1_000)
}

/// Asserts that no second has more requests than 1.5 times the rate and 8 (`warmup_overage`, `warmup_slack`), less
/// the 5 health checks that the gate may send, and returns the largest number of requests in a second.
fn assert_within_rate(starts: &[u64], rate: f64) -> f64 {
    let in_second =
        |from: &u64| starts.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
    let most = starts.iter().map(in_second).max().unwrap_or(0) as f64;
    assert!(most <= rate * 1.5 + 3.0, "{most} requests in a second at {rate} a second");
    most
}

/// Guards against more requests in any second than a cold upstream tolerates, while it turns cold, is assumed cold,
/// ends its cold phase and states other rates at any moment.
#[test]
fn cold_rate_holds_in_each_second() {
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (warm_up_rate, rate) = (rng.random_range(0.5..60.0), StatedRate::default());
        rate.set_warm_up(Some(warm_up_rate));
        let mut cold_starts = Vec::new();
        for ms in 1..20_000 {
            let left = Duration::from_millis(rng.random_range(0..3_000));
            match rng.random_range(0..4_000) {
                0..4 => drop(rate.cold.record_health(at(ms), at(ms), left)),
                4 => drop(rate.cold.record_health(at(ms), at(ms), Duration::ZERO)),
                5..9 => drop(rate.cold.assume(at(ms))),
                9 => drop(rate.set(Some(rng.random_range(0.3..200.0)))),
                10 => drop(rate.set(None)),
                _ => {}
            }
            while rate.try_take(at(ms)) && rng.random_range(0..4) > 0 {
                cold_starts.extend(rate.cold.is_cold(at(ms)).then_some(ms));
            }
        }
        assert_within_rate(&cold_starts, warm_up_rate);
    }
}

/// Guards against statements applied in the wrong order: one that may be older than the last never ends a cold phase.
#[test]
fn late_statements_do_not_end_a_cold_phase() {
    let cold = ColdState::default();
    assert_eq!(cold.start(at(0), Duration::ZERO), ColdChange::Unchanged);
    assert!(cold.assume(at(1_000)));
    assert_eq!(cold.record_announcement(at(1_100), Duration::ZERO, true), ColdChange::Unconfirmed);
    assert_eq!(cold.record_health(at(1_100), at(990), Duration::ZERO), ColdChange::Unconfirmed);
    assert!(cold.is_cold(at(1_200)) && cold.needs_check());
    assert_eq!(cold.record_health(at(1_210), at(1_205), SECOND * 4), ColdChange::Cold);
    assert_eq!(cold.record_announcement(at(1_300), SECOND, true), ColdChange::Unconfirmed);
    assert_eq!(cold.until(at(1_300)), Some(at(5_210)));
    assert_eq!(cold.record_health(at(1_310), at(1_305), Duration::ZERO), ColdChange::Ended);
    // Without a health check, or when none succeeds, an announcement counts.
    assert!(cold.assume(at(2_000)));
    assert_eq!(cold.record_announcement(at(2_100), Duration::ZERO, false), ColdChange::Ended);
    assert!(cold.assume(at(3_000)));
    assert_eq!(cold.record_announcement(at(6_100), Duration::ZERO, true), ColdChange::Ended);
}

/// Guards against a queue that is kept until its deadlines when the upstream turns cold.
#[test]
fn queue_of_an_upstream_that_turns_cold_is_shed() {
    let (gate, mut queue) = (Gate::default(), WaitQueue::default());
    gate.announce(at(0), 10, false);
    gate.stated_rate.set_warm_up(Some(10.0));
    let attempt = AdmissionRequest { arrived: at(1), ..AdmissionRequest::new(SECOND, true) };
    for item in 0..25 {
        if gate.admit(&attempt) == AdmissionDecision::Queue {
            let key = QueueKey { urgency: Urgency::relaxed(1), caller: "shop".into() };
            queue.push(key, attempt.start_deadlines(at(1)), item);
        }
    }
    assert_eq!(queue.len(), 15);
    gate.stated_rate.cold.assume(at(2));
    while matches!(queue.next(at(2), &gate, |_| false), Some(Dequeued::Shed(_))) {}
    // The rate starts nine attempts within the second of their time budget.
    assert_eq!(queue.len(), 9);
}

/// Guards against a refused round trip for each request while the reports of 60 entries show a zone as idle that has
/// come back cold, against more requests than its 6 of 18 upstreams tolerate, and against leaving these idle.
#[test_case(5.0, 1.2; "low rate")]
#[test_case(20.0, 1.2; "usual rate")]
#[test_case(20.0, 2.4; "the warm upstreams are nearly full")]
fn zone_that_comes_back_cold_costs_few_refusals(rate: f64, requests_per_ms: f64) {
    const SERVICE_MS: u64 = 40;
    let mut rng = SmallRng::seed_from_u64(7);
    let gates: Vec<Gate> = (0..18).map(|_| Gate::default()).collect();
    for gate in &gates {
        gate.announce(at(0), 10, false);
        gate.observe(at(1), Duration::from_millis(SERVICE_MS), true);
    }
    let entries: Vec<ServiceTable> = (0..60)
        .map(|_| {
            let new = |node| Arc::new(Candidate::new(member(node), Distance::Zone, 10));
            let candidates: Vec<Arc<Candidate>> = (1..=18).map(new).collect();
            for (candidate, gate) in candidates.iter().zip(&gates) {
                candidate.record_report(at(5_000), &gate.next_load_report(at(5_000)));
            }
            ServiceTable::new("sizing".into(), candidates, Arc::default())
        })
        .collect();
    for gate in &gates[..6] {
        gate.stated_rate.set_warm_up(Some(rate));
        gate.stated_rate.cold.start(at(6_000), SECOND * 8);
    }
    let (mut ran, mut refused, mut cold_starts) = (0, 0, Vec::new());
    let mut running: Vec<(u64, usize, usize)> = Vec::new();
    for ms in 6_001..12_000 {
        for (_, entry, gate) in running.extract_if(.., |(end, ..)| *end <= ms) {
            gates[gate].release_slot();
            gates[gate].observe(at(ms), Duration::from_millis(SERVICE_MS), true);
            let candidate = &entries[entry].candidates[gate];
            candidate.record_ended(at(ms), true);
            candidate.record_report(at(ms), &gates[gate].next_load_report(at(ms)));
        }
        let arrivals = requests_per_ms as u64 + u64::from(rng.random_bool(requests_per_ms.fract()));
        for _ in 0..arrivals {
            let (entry, mut excluded_nodes) = (rng.random_range(0..entries.len()), Vec::new());
            let (now, regions) = (at(ms), &AllowedRegions::All);
            for _ in 0..4 {
                let excluded = &excluded_nodes;
                let evacuated = EvacuatedZones::none();
                let req = PickRequest {
                    now,
                    excluded_nodes: excluded,
                    regions,
                    evacuated,
                    allow_remote: true,
                    balance: None,
                };
                let candidate = pick(&entries[entry], req, &mut rng).unwrap().candidate;
                let gate = candidate.member.node as usize - 1;
                candidate.record_sent(now);
                let attempt =
                    AdmissionRequest { arrived: now, ..AdmissionRequest::new(SECOND, false) };
                if gates[gate].admit(&attempt) == AdmissionDecision::Run {
                    ran += 1;
                    running.push((ms + SERVICE_MS, entry, gate));
                    cold_starts.extend((gate == 0).then_some(ms));
                    break;
                }
                refused += 1;
                candidate.record_ended(now, true);
                candidate.record_report(now, &gates[gate].next_load_report(now));
                excluded_nodes.push(candidate.member.node);
            }
        }
    }
    assert!(assert_within_rate(&cold_starts, rate) >= rate * 0.5, "{cold_starts:?}");
    assert!(f64::from(ran + refused) <= f64::from(ran) * 1.3, "{refused} refused, {ran} ran");
}
