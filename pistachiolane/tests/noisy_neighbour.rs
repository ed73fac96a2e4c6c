//! Pattern: other tenants of the host slow the upstream down for a fraction of a second at a time, and a
//! request takes as long as the host lets it at its start.

use {
    pistachiolane::{
        limits::{
            AdmissionDecision, AdmissionRequest, Dequeued, Gate, QueueKey, RefusalReason, WaitQueue,
        },
        tick::Tick,
    },
    std::time::Duration,
    test_case::test_case,
};

const MS: u64 = 1_000;

/// Duration of a slow phase, and time between the starts of two, in milliseconds.
const SLOW_MS: u64 = 300;
const PERIOD_MS: u64 = 1_200;

/// Slowness in a slow phase in percent.
const SLOW_PERCENT: u32 = 400;

/// Time between two observations of the slowness, and between two arrivals, in milliseconds.
const OBSERVATION_MS: u64 = 40;
const ARRIVAL_MS: u64 = 90;

const TARGET: Duration = Duration::from_millis(1_500);

/// Request that waits or runs, with the times of its arrival and its end.
#[derive(Clone, Copy)]
struct Request {
    arrived: Tick,
    ends: Tick,
}

fn slowness_percent(ms: u64) -> u32 {
    if ms % PERIOD_MS < SLOW_MS { SLOW_PERCENT } else { 100 }
}

/// Returns the response times of a steady load on a gate that knows the slowness or doesn't.
fn response_times(work: Duration, knows_slowness: bool) -> Vec<Duration> {
    let gate = Gate::default();
    gate.announce(Tick(0), 14, false);
    let mut queue = WaitQueue::default();
    let (mut running, mut response_times) = (Vec::<Request>::new(), Vec::new());
    for ms in 1..30_000 {
        let now = Tick(ms * MS);
        if knows_slowness && ms % OBSERVATION_MS == 0 {
            gate.slowness.observe(now, slowness_percent(ms));
        }
        for request in running.extract_if(.., |r| r.ends <= now) {
            gate.release_slot();
            response_times.push(now.since(request.arrived));
        }
        let start = |arrived| Request { arrived, ends: now + work * slowness_percent(ms) / 100 };
        if ms % ARRIVAL_MS == 0 {
            let req = AdmissionRequest {
                target: TARGET,
                expected_service_time: work,
                is_deferred: gate.slowness.defers(now, work),
                ..AdmissionRequest::new(TARGET * 2, true)
            };
            match gate.admit(&req) {
                AdmissionDecision::Run => running.push(start(now)),
                AdmissionDecision::Queue => {
                    let key = QueueKey { urgency: gate.urgency(&req), caller: "shop".into() };
                    queue.push(key, req.start_deadlines(now), now);
                }
                AdmissionDecision::Refuse(_) => {}
            }
        }
        while let Some(Dequeued::Run(arrived)) = queue.next(now, &gate, |_| false) {
            running.push(start(arrived));
        }
    }
    response_times
}

fn mean(times: &[Duration]) -> Duration {
    times.iter().sum::<Duration>() / times.len() as u32
}

#[test]
fn long_requests_start_after_the_slow_phase() {
    let work = Duration::from_millis(400);
    let (informed, blind) = (response_times(work, true), response_times(work, false));
    let late = |times: &[Duration]| times.iter().filter(|t| **t > TARGET).count();
    assert!(informed.len() >= blind.len(), "{} of {}", informed.len(), blind.len());
    assert!(mean(&informed) * 4 < mean(&blind) * 3, "{:?} {:?}", mean(&informed), mean(&blind));
    assert!(late(&informed) * 4 < late(&blind), "{} {}", late(&informed), late(&blind));
}

/// A short request would wait longer for the end of the slow phase than the phase adds to it.
#[test]
fn short_requests_are_not_deferred() {
    let work = Duration::from_millis(20);
    assert!(mean(&response_times(work, true)) <= mean(&response_times(work, false)));
}

#[test_case(100, 0, false; "usual service time")]
#[test_case(400, 0, true; "slow phase")]
#[test_case(400, 140, true; "observed a moment ago")]
#[test_case(400, 200, false; "outdated observation")]
fn attempt_that_may_not_queue_is_sent_elsewhere(percent: u32, age_ms: u64, elsewhere: bool) {
    let gate = Gate::default();
    gate.announce(Tick(0), 14, false);
    gate.slowness.observe(Tick(MS), percent);
    let now = Tick(MS + age_ms * MS);
    let work = Duration::from_millis(400);
    let req = AdmissionRequest {
        expected_service_time: work,
        is_deferred: gate.slowness.defers(now, work),
        ..AdmissionRequest::new(TARGET, false)
    };
    let refused = AdmissionDecision::Refuse(RefusalReason::Busy);
    assert_eq!(gate.admit(&req) == refused, elsewhere);
}

/// An upstream that stays slow is slow as such: nothing is deferred for long.
#[test]
fn lasting_slowness_defers_nothing() {
    let gate = Gate::default();
    let work = Duration::from_millis(400);
    for ms in 1..2_000 {
        gate.slowness.observe(Tick(ms * MS), 500);
    }
    assert!(!gate.slowness.defers(Tick(2_000 * MS), work));
}
