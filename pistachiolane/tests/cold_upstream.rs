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
    std::{collections::VecDeque, sync::Arc, time::Duration},
    test_case::test_case,
};

const MS: u64 = 1_000;
const SECOND: Duration = Duration::from_secs(1);

/// Requests that a cold upstream may receive in any second: `warmup_overage` and `warmup_slack` of the requirement,
/// less the five checks that the gate itself may send.
fn allowed_in_a_second(rate: f64) -> f64 {
    rate * 1.5 + 8.0 - 5.0
}

fn most_in_a_second(starts: &[u64]) -> usize {
    let in_window = |(index, from): (usize, &u64)| {
        starts[index..].iter().take_while(|at| **at < from + 1_000).count()
    };
    starts.iter().enumerate().map(in_window).max().unwrap_or(0)
}

/// Guards against more requests in any second than a cold upstream tolerates, while it turns cold, is assumed cold,
/// ends its cold phase and states other rates at any moment.
#[test]
fn cold_rate_holds_in_each_second() {
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let warm_up_rate = rng.random_range(0.5..60.0);
        let rate = StatedRate::default();
        rate.set_warm_up(Some(warm_up_rate));
        let mut starts_when_cold = Vec::new();
        for ms in 1..20_000 {
            let now = Tick(ms * MS);
            let left = Duration::from_millis(rng.random_range(0..3_000));
            match rng.random_range(0..4_000) {
                0..4 => drop(rate.cold.record_health(now, now, left)),
                4 => drop(rate.cold.record_health(now, now, Duration::ZERO)),
                5..9 => drop(rate.cold.assume(now)),
                9 => drop(rate.set(Some(rng.random_range(0.3..200.0)))),
                10 => drop(rate.set(None)),
                _ => {}
            }
            while rate.try_take(now) && rng.random_range(0..4) > 0 {
                if rate.cold.is_cold(now) {
                    starts_when_cold.push(ms);
                }
            }
        }
        let most = most_in_a_second(&starts_when_cold) as f64;
        let allowed = allowed_in_a_second(warm_up_rate);
        assert!(most <= allowed, "seed {seed}: {most} requests in a second, {allowed} allowed");
    }
}

/// Guards against a limit that leaves a cold upstream idle, or that stays after the cold phase.
#[test]
fn cold_rate_is_used_and_ends() {
    let gate = Gate::default();
    gate.announce(Tick(0), 13, false);
    gate.stated_rate.set_warm_up(Some(20.0));
    gate.stated_rate.cold.start(Tick(MS), SECOND * 5);
    let mut starts = 0;
    for ms in 1..5_001 {
        if gate.try_start(Tick(ms * MS)) {
            gate.release_slot();
            starts += 1;
        }
    }
    assert!((95..=105).contains(&starts), "{starts} requests in 5 s at 20 a second");
    let end = Tick(5_001 * MS);
    assert_eq!((0..20).filter(|_| gate.try_start(end)).count(), 13);
}

/// Guards against statements that are applied in the wrong order: one that may be older than the last never ends a cold
/// phase, and the gate then asks.
#[test]
fn late_statements_do_not_end_a_cold_phase() {
    let cold = ColdState::default();
    let at = |ms: u64| Tick(ms * MS);
    assert_eq!(cold.start(at(0), Duration::ZERO), ColdChange::Unchanged);
    assert!(!cold.is_cold(at(1)));
    // Assumed after a lost connection; an announcement from before it and an earlier health check don't end that.
    assert!(cold.assume(at(1_000)));
    assert_eq!(cold.record_announcement(at(1_100), Duration::ZERO, true), ColdChange::Unconfirmed);
    assert_eq!(cold.record_health(at(1_100), at(990), Duration::ZERO), ColdChange::Unconfirmed);
    assert!(cold.is_cold(at(1_200)) && cold.needs_check());
    assert_eq!(cold.record_health(at(1_210), at(1_205), SECOND * 4), ColdChange::Cold);
    assert!(!cold.needs_check());
    assert_eq!(cold.record_announcement(at(1_300), SECOND, true), ColdChange::Unconfirmed);
    assert_eq!(cold.until(at(1_300)), Some(at(5_210)));
    assert_eq!(cold.record_health(at(1_310), at(1_305), Duration::ZERO), ColdChange::Ended);
    // Without a health check, an announcement counts.
    assert!(cold.assume(at(2_000)));
    assert_eq!(cold.record_announcement(at(2_100), Duration::ZERO, false), ColdChange::Ended);
    // A health check that never succeeds leaves it to the announcements after a while.
    assert!(cold.assume(at(3_000)));
    assert_eq!(cold.record_announcement(at(6_100), Duration::ZERO, true), ColdChange::Ended);
}

/// Guards against a queue that is kept until its deadlines when the upstream turns cold.
#[test]
fn queue_of_an_upstream_that_turns_cold_is_shed() {
    let gate = Gate::default();
    gate.announce(Tick(0), 10, false);
    for _ in 0..50 {
        gate.observe(Tick(MS), Duration::from_millis(100), true);
    }
    gate.stated_rate.set_warm_up(Some(10.0));
    let mut queue = WaitQueue::default();
    let key = QueueKey { urgency: Urgency::relaxed(1), caller: "shop".into() };
    for item in 0..25 {
        let attempt = AdmissionRequest { arrived: Tick(MS), ..AdmissionRequest::new(SECOND, true) };
        if gate.admit(&attempt) == AdmissionDecision::Queue {
            queue.push(key.clone(), attempt.start_deadlines(Tick(MS)), item);
        }
    }
    assert_eq!(queue.len(), 15);
    gate.stated_rate.cold.assume(Tick(2 * MS));
    let next = |queue: &mut WaitQueue<i32>| queue.next(Tick(2 * MS), &gate, |_| false);
    while matches!(next(&mut queue), Some(Dequeued::Shed(_))) {}
    // The rate starts nine attempts within the second of their time budget.
    assert_eq!(queue.len(), 9);
}

struct Hops {
    ran: u64,
    refused: u64,
}

/// Runs 60 entries whose reports show every upstream as idle when a third of 18 upstreams comes back cold.
fn zone_comes_back_cold(rate: f64, requests_per_ms: f64) -> (Hops, usize) {
    const SERVICE_MS: u64 = 40;
    let mut rng = SmallRng::seed_from_u64(7);
    let gates: Vec<Gate> = (0..18).map(|_| Gate::default()).collect();
    for (index, gate) in gates.iter().enumerate() {
        gate.announce(Tick(0), 10, false);
        for _ in 0..50 {
            gate.observe(Tick(MS), Duration::from_millis(SERVICE_MS), true);
        }
        if index < 6 {
            gate.stated_rate.set_warm_up(Some(rate));
        }
    }
    let entries: Vec<ServiceTable> = (0..60)
        .map(|_| {
            let candidate = |node| Arc::new(Candidate::new(member(node), Distance::Zone, 10));
            let candidates: Vec<Arc<Candidate>> = (1..=18).map(candidate).collect();
            for (candidate, gate) in candidates.iter().zip(&gates) {
                candidate.record_report(Tick(5_000 * MS), &gate.next_load_report(Tick(5_000 * MS)));
            }
            ServiceTable::new("sizing".into(), candidates, Arc::default())
        })
        .collect();
    for gate in &gates[..6] {
        gate.stated_rate.cold.start(Tick(6_000 * MS), SECOND * 8);
    }
    let (mut hops, mut cold_starts) = (Hops { ran: 0, refused: 0 }, Vec::new());
    let mut running: VecDeque<(u64, usize, usize)> = VecDeque::new();
    for ms in 6_001..12_000 {
        let now = Tick(ms * MS);
        while running.front().is_some_and(|(end, ..)| *end <= ms) {
            let (_, entry, index) = running.pop_front().unwrap();
            gates[index].release_slot();
            gates[index].observe(now, Duration::from_millis(SERVICE_MS), true);
            let candidate = &entries[entry].candidates[index];
            candidate.record_ended(now, true);
            candidate.record_report(now, &gates[index].next_load_report(now));
        }
        let arrivals = requests_per_ms as u64 + u64::from(rng.random_bool(requests_per_ms.fract()));
        for _ in 0..arrivals {
            let entry = rng.random_range(0..entries.len());
            let mut excluded = Vec::new();
            for _ in 0..4 {
                let req = PickRequest {
                    now,
                    excluded_nodes: &excluded,
                    regions: &AllowedRegions::All,
                    evacuated: EvacuatedZones::none(),
                    allow_remote: true,
                    balance: None,
                };
                let Some(picked) = pick(&entries[entry], req, &mut rng) else { break };
                let index = picked.candidate.member.node as usize - 1;
                picked.candidate.record_sent(now);
                let attempt =
                    AdmissionRequest { arrived: now, ..AdmissionRequest::new(SECOND, false) };
                if gates[index].admit(&attempt) == AdmissionDecision::Run {
                    hops.ran += 1;
                    running.push_back((ms + SERVICE_MS, entry, index));
                    if index == 0 {
                        cold_starts.push(ms);
                    }
                    break;
                }
                hops.refused += 1;
                picked.candidate.record_ended(now, true);
                picked.candidate.record_report(now, &gates[index].next_load_report(now));
                excluded.push(picked.candidate.member.node);
            }
        }
    }
    (hops, most_in_a_second(&cold_starts))
}

/// Guards against a refused round trip for each request while entries' reports show a cold zone as idle, and against
/// more requests than its upstreams tolerate.
#[test_case(5.0, 1.2; "low rate")]
#[test_case(20.0, 1.2; "usual rate")]
#[test_case(20.0, 2.4; "the warm upstreams are nearly full")]
fn zone_that_comes_back_cold_costs_few_refusals(rate: f64, requests_per_ms: f64) {
    let (hops, most) = zone_comes_back_cold(rate, requests_per_ms);
    assert!(most as f64 <= allowed_in_a_second(rate), "{most} requests in a second");
    assert!(most as f64 >= rate * 0.5, "only {most} requests in a second");
    let ratio = (hops.ran + hops.refused) as f64 / hops.ran as f64;
    assert!(ratio <= 1.3, "{ratio:.2} hops for each request that ran");
}
