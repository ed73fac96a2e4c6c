//! Tests of routing: candidates, picks, ejection and probes.

mod common;

use {
    common::member,
    pistachiolane::{
        limits::TokenBucket,
        routing::{
            AllowedRegions, BalancePolicy, BalanceTerms, Candidate, DepartureReason, Distance,
            EvacuatedZones, PickRequest, ProbeBudgets, ServiceTable, next_probe, pick,
        },
        schema::{GateState, Health, LoadReport, MemberRecord},
        tick::Tick,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    test_case::test_case,
};

const NOW: Tick = Tick(10_000_000);

fn table(distances: &[Distance]) -> ServiceTable {
    let candidates = distances
        .iter()
        .zip(1..)
        .map(|(&distance, node)| Arc::new(Candidate::new(member(node), distance, 10)))
        .collect();
    ServiceTable::new("sizing".into(), candidates, Arc::default())
}

fn report(sequence: u64, running: u16, latency_us: u32) -> LoadReport {
    LoadReport { sequence, slots: 10, running, latency_us, ..LoadReport::default() }
}

/// Returns the nodes that 200 picks select, sorted and without repetition.
fn picks(table: &ServiceTable, excluded_nodes: &[u64], allow_remote: bool) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(1);
    let (regions, evacuated) = (&AllowedRegions::All, EvacuatedZones::none());
    let req =
        PickRequest { now: NOW, excluded_nodes, regions, evacuated, allow_remote, balance: None };
    let mut nodes: Vec<u64> = (0..200)
        .filter_map(|_| pick(table, req, &mut rng))
        .map(|p| p.candidate.member.node)
        .collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}

#[test]
fn out_of_order_report_is_ignored() {
    let table = table(&[Distance::Zone]);
    let candidate = &table.candidates[0];
    assert!(candidate.record_report(NOW, &report(5, 7, 1_000)));
    assert!(!candidate.record_report(NOW, &report(4, 1, 1_000)));
    assert_eq!(candidate.last_report().running, 7);
}

#[test]
fn pick_avoids_busy_upstreams() {
    let table = table(&[Distance::Zone; 3]);
    table.candidates[0].record_report(NOW, &report(1, 10, 10_000));
    table.candidates[1].record_report(NOW, &report(1, 0, 10_000));
    table.candidates[2].record_report(NOW, &report(1, 10, 10_000));
    assert_eq!(picks(&table, &[], true), [2]);
}

#[test]
fn pick_counts_attempts_sent_since_the_report() {
    let table = table(&[Distance::Zone; 2]);
    for candidate in &table.candidates {
        candidate.record_report(NOW, &report(1, 0, 10_000));
    }
    for _ in 0..9 {
        table.candidates[0].record_sent(NOW);
    }
    assert_eq!(picks(&table, &[], true), [2]);
}

#[test]
fn pick_avoids_upstream_that_stopped_responding() {
    let table = table(&[Distance::Zone; 2]);
    for candidate in &table.candidates {
        candidate.record_report(Tick(9_900_000), &report(1, 0, 10_000));
    }
    table.candidates[0].record_sent(Tick(9_900_000));
    assert_eq!(picks(&table, &[], true), [2]);
}

/// Guards against a gate that is never picked again: it reported draining because its upstream was absent
/// for a moment or replaced, and sent no newer report. Gossip still excludes a draining member.
#[test_case(900, Health::Alive, false; "just after its report")]
#[test_case(1_100, Health::Alive, true; "a second after its report")]
#[test_case(1_100, Health::Draining, false; "the member is draining")]
fn pick_after_draining_report_expires(age_ms: u64, health: Health, expected: bool) {
    let table = table(&[Distance::Remote]);
    let candidate = &table.candidates[0];
    let draining = LoadReport { state: GateState::Draining, ..report(1, 0, 1_000) };
    candidate.record_report(Tick(NOW.0 - age_ms * 1_000), &draining);
    candidate.set_health(health);
    assert_eq!(!picks(&table, &[], true).is_empty(), expected);
}

#[test_case(GateState::Draining, Health::Alive; "gate is draining")]
#[test_case(GateState::Ready, Health::Draining; "member is draining")]
#[test_case(GateState::Ready, Health::Dead; "member is dead")]
fn pick_skips_draining_and_dead(state: GateState, health: Health) {
    let table = table(&[Distance::Zone]);
    table.candidates[0].record_report(NOW, &LoadReport { state, ..report(1, 0, 10_000) });
    table.candidates[0].set_health(health);
    assert!(picks(&table, &[], true).is_empty());
}

#[test_case(GateState::Shedding, Health::Alive; "fails fast")]
#[test_case(GateState::Ready, Health::Suspect; "is suspect")]
fn pick_unhealthy_only_as_last_resort(state: GateState, health: Health) {
    let table = table(&[Distance::Zone; 2]);
    // A failing upstream responds faster than a working one, which must not attract attempts.
    table.candidates[0].record_report(NOW, &LoadReport { state, ..report(1, 0, 10) });
    table.candidates[0].set_health(health);
    table.candidates[1].record_report(NOW, &report(1, 10, 10_000));
    assert_eq!(picks(&table, &[], true), [2]);
    assert_eq!(picks(&table, &[2], true), [1]);
}

#[test]
fn pick_remote_only_beyond_round_trip_cost() {
    let table = table(&[Distance::Zone, Distance::Remote]);
    table.candidates[0].record_report(NOW, &report(1, 9, 10_000));
    table.candidates[1].record_report(NOW, &report(1, 0, 10_000));
    assert_eq!(picks(&table, &[], true), [1]);
    let full = LoadReport { queued: 90, ..report(2, 10, 10_000) };
    table.candidates[0].record_report(NOW, &full);
    assert_eq!(picks(&table, &[], true), [2]);
    assert_eq!(picks(&table, &[], false), [1]);
}

#[test]
fn ejections_are_bounded_and_end() {
    let table = table(&[Distance::Zone; 6]);
    for (index, candidate) in table.candidates.iter().enumerate() {
        let latency_us = if index < 3 { 100_000 } else { 5_000 };
        candidate.record_report(NOW, &report(1, 0, latency_us));
    }
    // While half of the upstreams are slow, the median is slow too, and none is ejected.
    assert!(table.eject_stragglers(NOW).is_empty());
    table.candidates[2].record_report(NOW, &report(2, 0, 5_000));
    assert_eq!(table.eject_stragglers(NOW).len(), 2);
    assert!(table.eject_stragglers(NOW).is_empty());
    let later = NOW + Duration::from_secs(2);
    assert!(!table.candidates[0].is_ejected(later));
    assert!(table.candidates[0].is_in_slow_start(later));
}

#[test]
fn probe_only_without_fresh_report() {
    let table = table(&[Distance::Zone; 3]);
    let (probes, inter_region_bytes) = (TokenBucket::new(1, 1), TokenBucket::new(1, 1));
    let budget = ProbeBudgets { probes: &probes, inter_region_bytes: &inter_region_bytes };
    table.candidates[0].record_report(NOW, &report(1, 0, 1_000));
    assert!(next_probe(&table, NOW, &AllowedRegions::All, budget).is_none());
    let stale = NOW + Duration::from_secs(1);
    assert!(next_probe(&table, stale, &AllowedRegions::All, budget).is_some());
    assert!(
        next_probe(&table, stale, &AllowedRegions::All, budget).is_none(),
        "the budget is used up"
    );
}

#[test]
fn probe_of_remote_upstream_uses_inter_region_budget() {
    let table = table(&[Distance::Remote]);
    let (probes, inter_region_bytes) = (TokenBucket::new(100, 100), TokenBucket::new(600, 600));
    let budget = ProbeBudgets { probes: &probes, inter_region_bytes: &inter_region_bytes };
    assert!(next_probe(&table, NOW, &AllowedRegions::All, budget).is_some());
    let again = NOW + Duration::from_millis(300);
    assert!(next_probe(&table, again, &AllowedRegions::All, budget).is_none());
}

/// Traffic that leaves an availability zone costs money, so a request is sent to another zone only if the
/// queue in its own is long.
#[test_case(5_000.0, 5, 1; "moderate load is served in the zone")]
#[test_case(5_000.0, 20, 2; "a long queue sends requests to another zone")]
#[test_case(90_000.0, 20, 1; "a large response is kept in the zone")]
#[test_case(0.0, 9, 2; "without bytes only the round trip counts")]
fn pick_includes_transfer_cost(bytes: f64, running_nearby: u16, expected: u64) {
    let table = table(&[Distance::Zone, Distance::Region]);
    table.state.bytes.record(bytes);
    table.candidates[0].record_report(NOW, &report(1, running_nearby, 80_000));
    table.candidates[1].record_report(NOW, &report(1, 0, 80_000));
    assert_eq!(picks(&table, &[], true), [expected]);
}

/// Other tenants slow down the upstream in the entry's zone: a fresh load report moves requests to another
/// zone, an old one doesn't.
#[test_case(0, 2; "fresh")]
#[test_case(2_000, 1; "two seconds old")]
fn pick_avoids_slow_upstream(age_ms: u64, expected: u64) {
    let table = table(&[Distance::Zone, Distance::Region]);
    table.state.bytes.record(5_000.0);
    let at = Tick(NOW.0 - age_ms * 1_000);
    let slow = LoadReport { slowness_percent: 250, ..report(1, 2, 200_000) };
    table.candidates[0].record_report(at, &slow);
    table.candidates[1]
        .record_report(at, &LoadReport { slowness_percent: 60, ..report(1, 2, 200_000) });
    assert_eq!(picks(&table, &[], true), [expected]);
}

/// Guards against ejecting upstreams that are only warming, as all are after a power loss.
#[test_case(GateState::Warming, 0; "warming")]
#[test_case(GateState::Ready, 1; "ready")]
fn eject_skips_warming(state: GateState, expected: usize) {
    let table = table(&[Distance::Zone; 4]);
    for candidate in &table.candidates[1..] {
        candidate.record_report(NOW, &report(1, 2, 10_000));
    }
    table.candidates[0].record_report(NOW, &LoadReport { state, ..report(1, 2, 90_000) });
    assert_eq!(table.eject_stragglers(NOW).len(), expected);
}

/// Guards against an upstream that is picked no more: after a restart it gets no requests while others are idle, and so
/// sends no report that ends its warming.
#[test_case(0, &[2]; "recent report")]
#[test_case(2_900, &[2]; "just before warming ends")]
#[test_case(3_000, &[1, 2]; "warming is over")]
fn report_of_warming_expires(age_ms: u64, expected: &[u64]) {
    let table = table(&[Distance::Zone; 2]);
    let at = Tick(NOW.0 - age_ms * 1_000);
    let warming = LoadReport { state: GateState::Warming, ..report(1, 0, 10_000) };
    table.candidates[0].record_report(at, &warming);
    table.candidates[1].record_report(at, &report(1, 0, 10_000));
    assert_eq!(picks(&table, &[], true), expected);
}

/// Pattern: a service of a large fleet has many upstreams in each of several zones, most of them busy. An
/// idle one in the entry's own zone is found, and only a few candidates of other zones are weighed.
#[test]
fn pick_in_a_large_fleet_finds_the_idle_upstream_of_its_zone() {
    let by_place = |place: u64| match place % 9 {
        0 => Distance::Zone,
        1 | 2 => Distance::Region,
        _ => Distance::Remote,
    };
    let distances: Vec<Distance> = (0..144).map(by_place).collect();
    let table = table(&distances);
    for candidate in &table.candidates {
        let is_idle = candidate.distance == Distance::Zone && candidate.member.node % 4 == 1;
        let running = if is_idle { 1 } else { 12 };
        candidate.record_report(NOW, &report(1, running, 100_000));
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let req = PickRequest {
        now: NOW,
        excluded_nodes: &[],
        regions: &AllowedRegions::All,
        evacuated: EvacuatedZones::none(),
        allow_remote: true,
        balance: None,
    };
    let in_zone = (0..200)
        .filter_map(|_| pick(&table, req, &mut rng))
        .filter(|p| p.candidate.distance == Distance::Zone && p.estimate.utilisation < 1.0)
        .count();
    assert!(in_zone >= 198, "{in_zone} of 200 picks");
}

/// Guards against sampling by distance alone in a service of 120 upstreams, against probes to regions that are not allowed,
/// and against a Retry-After of upstreams that may not run the request.
#[test]
fn allowed_region_is_sampled_probed_and_waited_for() {
    let candidate = |node| {
        let region = if node % 3 == 0 { "almaty" } else { "svealand" };
        let distance = if node % 3 == 0 { Distance::Remote } else { Distance::Region };
        let member = MemberRecord { region: region.into(), ..member(node) };
        let running = if node == 60 || node % 3 == 1 { 0 } else { 14 };
        let candidate = Candidate::new(member, distance, 10);
        candidate.record_report(NOW, &report(1, running, 50_000));
        Arc::new(candidate)
    };
    let table =
        ServiceTable::new("sizing".into(), (1..=120).map(candidate).collect(), Arc::default());
    let regions = AllowedRegions::All.intersection(&AllowedRegions::Only(["almaty".into()].into()));
    let mut rng = SmallRng::seed_from_u64(1);
    let evacuated = EvacuatedZones::none();
    let req = PickRequest {
        now: NOW,
        excluded_nodes: &[],
        regions: &regions,
        evacuated,
        allow_remote: false,
        balance: None,
    };
    let picks: Vec<u64> =
        (0..200).map(|_| pick(&table, req, &mut rng).unwrap().candidate.member.node).collect();
    assert!(picks.iter().all(|node| node % 3 == 0), "{picks:?}");
    // 32 of the 40 upstreams there are sampled.
    assert!(picks.iter().filter(|node| **node == 60).count() >= 140, "{picks:?}");
    let bucket = TokenBucket::new(10_000, 10_000);
    let budgets = ProbeBudgets { probes: &bucket, inter_region_bytes: &bucket };
    let later = NOW + Duration::from_secs(1);
    table.candidates[0].record_report(later, &report(2, 0, 50_000));
    let probed = next_probe(&table, later, &regions, budgets).unwrap();
    assert_eq!(probed.member.region.as_ref(), "almaty");
    table.candidate(60).unwrap().record_report(later, &report(2, 14, 50_000));
    assert!(
        table.expected_wait(later, &regions, evacuated)
            > table.expected_wait(later, &AllowedRegions::All, evacuated)
    );
}

/// Guards against a change of any pick in deployments without the zone balance: the expected nodes are those that were
/// picked with these random numbers before the balance existed.
#[test_case(12, &[7, 7, 5, 11, 8, 4, 12, 9, 11, 8, 5, 10, 4, 6, 6, 5, 8, 7, 4, 2, 4, 11, 2, 6, 1, 5, 6, 1, 12, 12]; "all candidates weighed")]
#[test_case(40, &[23, 11, 8, 28, 17, 29, 1, 20, 2, 37, 5, 38, 22, 14, 40, 19, 11, 35, 23, 25, 2, 34, 5, 13, 1, 37, 28, 8, 20, 4]; "sampled")]
fn picks_without_balance_are_as_before(upstreams: u64, expected: &[u64]) {
    let place = |n: u64| [Distance::Zone, Distance::Region, Distance::Remote][n as usize % 3];
    let table = table(&(0..upstreams).map(place).collect::<Vec<_>>());
    table.state.bytes.record(500.0);
    for (candidate, n) in table.candidates.iter().zip(1..) {
        candidate.record_report(NOW, &report(1, n * 7 % 13, 60_000));
    }
    let mut rng = SmallRng::seed_from_u64(7);
    let req = PickRequest {
        now: NOW,
        excluded_nodes: &[3],
        regions: &AllowedRegions::All,
        evacuated: EvacuatedZones::none(),
        allow_remote: true,
        balance: None,
    };
    let picked: Vec<u64> = (0..300)
        .map(|_| {
            let candidate = pick(&table, req, &mut rng).unwrap().candidate;
            candidate.record_sent(NOW);
            candidate.member.node
        })
        .collect();
    assert_eq!(picked[270..], *expected);
}

/// Guards against requests that wait for a share to rise although no upstream of their own zone can run them.
#[test_case(|c| c.set_health(Health::Dead), DepartureReason::None; "none usable")]
#[test_case(|c| c.eject(NOW), DepartureReason::Ejected; "all ejected")]
fn balance_leaves_zone_without_usable_upstream_at_once(
    fail: fn(&Candidate),
    expected: DepartureReason,
) {
    let distances = [Distance::Zone, Distance::Zone, Distance::Region];
    let candidates = distances.iter().zip(1..).map(|(&distance, node)| {
        let zone = format!("{distance:?}").into();
        Arc::new(Candidate::new(MemberRecord { zone, ..member(node) }, distance, 10))
    });
    let table = ServiceTable::new("sizing".into(), candidates.collect(), Arc::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let req = PickRequest {
        now: NOW,
        excluded_nodes: &[],
        regions: &AllowedRegions::All,
        evacuated: EvacuatedZones::none(),
        allow_remote: true,
        balance: Some(BalanceTerms {
            policy: BalancePolicy::default(),
            target: Duration::from_millis(300),
        }),
    };
    assert!(pick(&table, req, &mut rng).unwrap().departure.is_none());
    table.candidates[..2].iter().for_each(|c| fail(c));
    for after_ms in [1, 60] {
        let req = PickRequest { now: NOW + Duration::from_millis(after_ms), ..req };
        let departure = pick(&table, req, &mut rng).unwrap().departure.unwrap();
        assert_eq!(departure.reason, expected, "after {after_ms} ms");
    }
}
