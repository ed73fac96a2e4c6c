//! Tests of gate admission, the wait queue, limits and budgets.

use {
    pistachiolane::{
        limits::{
            AdaptiveLimit, AdmissionDecision, AdmissionRequest, Dequeued, Gate, QueueKey,
            RefusalReason, RetryBudget, Slowness, StartDeadlines, TokenBucket, Urgency,
            WATCHERS_PER_REGION, WaitQueue, platform_budget_millicalls, platform_share_millicalls,
            retry_after,
        },
        schema::GateState,
        tick::Tick,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    rand::{SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    test_case::test_case,
};

const SECOND: Duration = Duration::from_secs(1);

fn proptest_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn gate(slots: u16) -> Gate {
    let gate = Gate::default();
    gate.announce(Tick(1), slots, false);
    gate
}

proptest! {
    #![proptest_config(proptest_config(500))]

    #[test]
    fn token_bucket_never_grants_more_than_its_allowance(
        rate in 1..2_000_u64,
        burst in 1..200_u64,
        requests in prop::collection::vec((0..50_000_u64, 1..40_u64), 1..200),
    ) {
        let bucket = TokenBucket::new(rate, burst);
        let mut now = Tick(0);
        for (gap_us, tokens) in requests {
            now = now + Duration::from_micros(gap_us);
            bucket.try_take(now, tokens);
            prop_assert!(bucket.granted() <= bucket.allowance(now.since(Tick(0))));
        }
    }

    #[test]
    fn gate_and_queue_agree_in_random_steps(
        slots in 1..6_u16,
        steps in prop::collection::vec((0..4_u8, 0..3_u8), 1..200),
    ) {
        let gate = gate(slots);
        let mut queue = WaitQueue::default();
        let mut running = 0_u32;
        let mut now = Tick(1);
        for (step, caller) in steps {
            now = now + Duration::from_millis(1);
            match step {
                0 | 1 => match gate.admit_within(SECOND, step == 1) {
                    AdmissionDecision::Run => running += 1,
                    AdmissionDecision::Queue => {
                        queue.push(queue_key(&caller.to_string()), now + Duration::from_millis(20), ());
                    }
                    AdmissionDecision::Refuse(_) => prop_assert!(running >= u32::from(slots) || !queue.is_empty()),
                },
                2 if running > 0 => {
                    gate.release_slot();
                    running -= 1;
                }
                _ => {}
            }
            while let Some(next) = queue.next(now, &gate, |()| false) {
                running += u32::from(next == Dequeued::Run(()));
            }
            prop_assert_eq!(gate.running(), running);
            prop_assert!(running <= u32::from(slots));
            prop_assert_eq!(gate.has_queue(), !queue.is_empty());
            // No attempt waits while a slot is free.
            prop_assert!(queue.is_empty() || running == u32::from(slots));
        }
    }
}

#[test_case(true, AdmissionDecision::Queue; "may queue")]
#[test_case(false, AdmissionDecision::Refuse(RefusalReason::Busy); "may not queue")]
fn full_gate_queues_or_refuses_as_busy(may_queue: bool, expected: AdmissionDecision) {
    let gate = gate(1);
    assert_eq!(gate.admit_within(SECOND, may_queue), AdmissionDecision::Run);
    assert_eq!(gate.admit_within(SECOND, may_queue), expected);
}

#[test]
fn gate_refuses_wait_longer_than_the_time_budget() {
    let gate = gate(1);
    gate.observe(Tick(1), SECOND, true);
    assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Run);
    let short = Duration::from_millis(10);
    assert_eq!(gate.admit_within(short, true), AdmissionDecision::Refuse(RefusalReason::QueueFull));
}

#[test]
fn draining_gate_refuses_and_reports_draining() {
    let gate = gate(4);
    gate.drain();
    assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Refuse(RefusalReason::Draining));
    assert_eq!(gate.next_load_report(Tick(2)).state, GateState::Draining);
}

#[test]
fn gate_reports_shedding_while_its_upstream_fails() {
    let gate = gate(4);
    let now = Tick(10_000_000);
    for _ in 0..40 {
        gate.observe(now, Duration::from_micros(100), false);
    }
    assert_eq!(gate.next_load_report(now).state, GateState::Shedding);
    assert_ne!(gate.next_load_report(now + SECOND * 3).state, GateState::Shedding);
}

fn queue_key(caller: &str) -> QueueKey {
    QueueKey { urgency: Urgency::relaxed(0), caller: Arc::from(caller) }
}

fn queue_with(gate: &Gate, items: &[(&str, u32)]) -> WaitQueue<u32> {
    let mut queue = WaitQueue::default();
    for &(caller, item) in items {
        assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Queue);
        queue.push(queue_key(caller), Tick(9_000_000), item);
    }
    queue
}

#[test]
fn queue_fair_between_callers() {
    let gate = gate(2);
    assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Run);
    assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Run);
    let mut queue = queue_with(&gate, &[("a", 1), ("a", 2), ("b", 3)]);
    let mut order = Vec::new();
    while !queue.is_empty() {
        gate.release_slot();
        if let Some(Dequeued::Run(item)) = queue.next(Tick(5), &gate, |_| false) {
            order.push(item);
        }
    }
    assert_eq!(order, [1, 3, 2]);
}

#[test]
fn queue_sheds_from_flooding_caller() {
    let gate = gate(1);
    assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Run);
    let mut queue = queue_with(&gate, &[("flood", 1), ("flood", 2), ("other", 3)]);
    assert_eq!(queue.next(Tick(5), &gate, |_| false), Some(Dequeued::Shed(2)));
    assert_eq!(queue.next(Tick(5), &gate, |_| false), None);
    assert_eq!(queue.len(), 2);
}

/// Queued attempts are refused immediately when their upstream is draining or absent, but still run when
/// only the node is shutting down.
#[test_case(|gate| gate.announce(Tick(2), 1, true), true; "the upstream is draining")]
#[test_case(Gate::mark_upstream_absent, true; "the upstream is absent")]
#[test_case(Gate::drain, false; "the node is shutting down")]
fn queued_attempts_are_refused_if_the_upstream_is_unavailable(stop: fn(&Gate), refused: bool) {
    let gate = gate(1);
    assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Run);
    let mut queue = queue_with(&gate, &[("a", 1)]);
    stop(&gate);
    gate.release_slot();
    let expected = if refused { Dequeued::UpstreamUnavailable(1) } else { Dequeued::Run(1) };
    assert_eq!(queue.next(Tick(5), &gate, |_| false), Some(expected));
    assert!(!gate.has_queue());
    assert_eq!(gate.running(), u32::from(!refused));
}

#[test]
fn queue_drops_cancelled_and_expired_attempts() {
    let gate = gate(1);
    assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Run);
    let mut queue = WaitQueue::default();
    for (item, deadline) in [(1, Tick(10)), (2, Tick(99))] {
        assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Queue);
        queue.push(queue_key(""), deadline, item);
    }
    assert_eq!(queue.next(Tick(20), &gate, |&i| i == 2), Some(Dequeued::Expired(1)));
    assert_eq!(queue.next(Tick(20), &gate, |&i| i == 2), None);
    assert!(!gate.has_queue());
}

#[test_case(1, 1; "one node")]
#[test_case(6, 2; "six nodes in two regions")]
#[test_case(4_800, 4; "4800 nodes in four regions")]
fn platform_shares_within_budget(members: u64, regions: u64) {
    let watchers = (regions * WATCHERS_PER_REGION).min(members);
    let watcher_calls = watchers * platform_share_millicalls(members, regions, true);
    let other_calls = (members - watchers) * platform_share_millicalls(members, regions, false);
    assert!(watcher_calls + other_calls <= platform_budget_millicalls());
    // A watcher renews its watch and reads the seeds every ten seconds; one call per second suffices for it.
    assert!(platform_share_millicalls(members, regions, true) >= 1_000);
}

#[test]
fn retry_budget_is_a_share_of_the_requests() {
    let budget = RetryBudget::default();
    while budget.try_withdraw() {}
    for _ in 0..100 {
        budget.deposit(10);
    }
    let retries = (0..100).filter(|_| budget.try_withdraw()).count();
    assert_eq!(retries, 10);
}

#[test]
fn adaptive_limit_ignores_latency_variance() {
    let limit = AdaptiveLimit::new(12);
    let mut now = Tick(1);
    for n in 0..20_000_u64 {
        now = now + Duration::from_millis(1);
        // From 0.5 to 30 ms, independent of the concurrency.
        let service_time = Duration::from_micros(500 + (n * 7_919) % 29_500);
        limit.observe(now, service_time, true, (n % 13) as u32);
    }
    assert_eq!(limit.get(), 12);
}

#[test]
fn adaptive_limit_decreases_when_slots_are_wrong() {
    let limit = AdaptiveLimit::new(16);
    let mut now = Tick(1);
    for n in 0..20_000_u32 {
        now = now + Duration::from_millis(1);
        let running = n % (limit.get() + 1);
        // The upstream runs only four requests concurrently, although it announced 16 slots.
        let service_time = Duration::from_millis(10) * running.max(4) / 4;
        limit.observe(now, service_time, true, running);
    }
    assert!(limit.get() < 12, "the limit is still {}", limit.get());
}

fn admission_request(remaining_ms: u64, target_ms: u64, expected_ms: u64) -> AdmissionRequest {
    let ms = Duration::from_millis;
    AdmissionRequest {
        arrived: Tick(0),
        remaining: ms(remaining_ms),
        target: ms(target_ms),
        expected_service_time: ms(expected_ms),
        priority: 0,
        may_queue: true,
        is_deferred: false,
    }
}

/// Guards against wasted slots in a burst: an attempt that can't complete before its deadline is refused
/// immediately, even if slots are free.
#[test]
fn admit_refuses_attempt_that_cannot_meet_its_deadline() {
    let gate = gate(10);
    let decision = gate.admit(&admission_request(40, 0, 100));
    assert_eq!(decision, AdmissionDecision::Refuse(RefusalReason::Expired));
    assert_eq!(gate.admit(&admission_request(60, 60, 100)), AdmissionDecision::Run);
}

/// In a burst, attempts that will miss their target latency use only part of the slots and aren't queued.
#[test]
fn admit_late_attempts_use_spare_slots_only() {
    let gate = gate(10);
    let late = admission_request(1_000, 50, 100);
    let ran = (0..10).filter(|_| gate.admit(&late) == AdmissionDecision::Run).count();
    assert_eq!(ran, 7);
    let on_time = admission_request(1_000, 500, 100);
    let ran = (0..10).filter(|_| gate.admit(&on_time) == AdmissionDecision::Run).count();
    assert_eq!(ran, 3);
}

/// In a queue during a burst, attempts that can still be on time run first and late ones last.
#[test]
fn queue_on_time_first() {
    let gate = gate(2);
    assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Run);
    assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Run);
    let mut queue = WaitQueue::default();
    for (item, on_time) in [(1, Tick(10)), (2, Tick(100)), (3, Tick(100))] {
        assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Queue);
        queue.push(
            queue_key(""),
            StartDeadlines { deadline: Tick(1_000), on_time, service_time: Duration::ZERO },
            item,
        );
    }
    let mut order = Vec::new();
    while !queue.is_empty() {
        gate.release_slot();
        if let Some(Dequeued::Run(item)) = queue.next(Tick(50), &gate, |_| false) {
            order.push(item);
        }
    }
    assert_eq!(order, [2, 3, 1]);
}

/// Under overload with several priorities, the most urgent runs first and the least urgent is shed.
#[test]
fn queue_serves_and_sheds_by_priority() {
    let gate = gate(1);
    assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Run);
    let mut queue = WaitQueue::default();
    for (item, priority) in [(1, 2), (2, 1), (3, 2)] {
        assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Queue);
        let key = QueueKey { urgency: Urgency::relaxed(priority), caller: Arc::from("") };
        queue.push(key, Tick(1_000), item);
    }
    assert_eq!(queue.next(Tick(5), &gate, |_| false), Some(Dequeued::Shed(3)));
    gate.release_slot();
    assert_eq!(queue.next(Tick(5), &gate, |_| false), Some(Dequeued::Run(2)));
}

/// Pattern: uploads fill the queue beside short urgent reads. Guards against a refusal of an urgent request for a wait
/// that only less urgent ones have.
#[test]
fn admit_expects_no_wait_behind_less_urgent_attempts() {
    let gate = gate(4);
    for _ in 0..4 {
        assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Run);
        gate.observe(Tick(0), Duration::from_millis(100), true);
    }
    let mut queue = WaitQueue::default();
    let upload = AdmissionRequest { priority: 2, ..admission_request(5_000, 2_000, 190) };
    for item in 0..6 {
        assert_eq!(gate.admit(&upload), AdmissionDecision::Queue);
        queue.push(queue_key_of(&gate, &upload), Tick(5_000_000), item);
    }
    assert_eq!(queue.next(Tick(5), &gate, |_| false), None);
    let read = AdmissionRequest { priority: 0, ..admission_request(1_200, 164, 64) };
    assert_eq!(gate.admit(&read), AdmissionDecision::Queue);
    queue.push(queue_key_of(&gate, &read), Tick(1_200_000), 9);
    gate.release_slot();
    assert_eq!(queue.next(Tick(5), &gate, |_| false), Some(Dequeued::Run(9)));
}

/// Pattern: requests that run make calls of the same priority as the requests that wait. Guards against running
/// requests that fail because their short calls wait behind long ones, which can wait.
#[test]
fn queue_serves_tight_attempts_before_others_of_their_priority() {
    let gate = gate(2);
    for _ in 0..2 {
        assert_eq!(gate.admit_within(SECOND, true), AdmissionDecision::Run);
        gate.observe(Tick(0), Duration::from_millis(100), true);
    }
    let mut queue = WaitQueue::default();
    let submission = AdmissionRequest { priority: 1, ..admission_request(2_500, 800, 210) };
    let lookup = AdmissionRequest { priority: 1, ..admission_request(400, 140, 40) };
    for (item, req) in [(1, submission), (2, submission), (3, lookup)] {
        assert_eq!(gate.admit(&req), AdmissionDecision::Queue);
        queue.push(queue_key_of(&gate, &req), Tick(2_500_000), item);
        assert_eq!(queue.next(Tick(5), &gate, |_| false), None);
    }
    gate.release_slot();
    assert_eq!(queue.next(Tick(5), &gate, |_| false), Some(Dequeued::Run(3)));
}

fn queue_key_of(gate: &Gate, req: &AdmissionRequest) -> QueueKey {
    QueueKey { urgency: gate.urgency(req), caller: Arc::from("") }
}

/// The slowness that other tenants cause is relative to its average and expires soon, and each change
/// causes one unsolicited load report.
#[test]
fn slowness_relative_to_its_average() {
    let slowness = Slowness::default();
    let at = |ms: u64| Tick(ms * 1_000);
    assert_eq!(slowness.relative_percent(at(0)), 100);
    for ms in 0..100 {
        slowness.observe(at(ms), 100);
    }
    assert!((95..=105).contains(&slowness.relative_percent(at(100))));
    assert!(
        !slowness.claim_unsolicited_report(at(100)) || !slowness.claim_unsolicited_report(at(200))
    );
    slowness.observe(at(300), 400);
    assert!(slowness.relative_percent(at(300)) > 200);
    assert!(slowness.claim_unsolicited_report(at(300)));
    assert!(!slowness.claim_unsolicited_report(at(360)));
    assert_eq!(slowness.relative_percent(at(700)), 100);
}

/// Retries of callers rejected in one burst are spread over the time of the backlog.
#[test]
fn retry_after_is_spread() {
    let mut rng = SmallRng::seed_from_u64(1);
    let expected_wait = Duration::from_millis(400);
    let mut delays: Vec<Duration> =
        (0..1_000).map(|_| retry_after(&mut rng, expected_wait)).collect();
    delays.sort_unstable();
    assert!(delays[0] >= Duration::from_millis(200) && delays[999] <= Duration::from_millis(600));
    // About a tenth of the callers retry in the first tenth of the time.
    let first_tenth = delays.iter().filter(|delay| **delay < Duration::from_millis(240)).count();
    assert!((70..=130).contains(&first_tenth), "{first_tenth} retries of 1000");
    assert!(retry_after(&mut rng, Duration::ZERO) >= Duration::from_millis(80));
}

/// The latest start times follow from the remaining time and the expected service time.
#[test]
fn admission_request_start_deadlines() {
    let ms = Duration::from_millis;
    let on_time = admission_request(1_000, 300, 100).start_deadlines(Tick(0));
    assert_eq!((on_time.deadline, on_time.on_time), (Tick(0) + ms(950), Tick(0) + ms(200)));
    let late = admission_request(1_000, 50, 100).start_deadlines(Tick(0));
    assert_eq!((late.deadline, late.on_time), (Tick(0) + ms(950), Tick(0)));
}
