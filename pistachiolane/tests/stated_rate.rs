//! Pattern: an upstream in need states the rate of requests that it accepts, far below the one that arrives.

use {
    pistachiolane::{
        limits::{
            AdmissionDecision, AdmissionRequest, Dequeued, Gate, QueueKey, StatedRate, WaitQueue,
        },
        tick::Tick,
    },
    std::time::Duration,
    test_case::test_case,
};

const MS: u64 = 1_000;

/// Span in which starts are counted.
const WINDOW_MS: u64 = 4_000;

/// Duration of a run, in milliseconds.
const RUN_MS: u64 = 20_000;

/// Interval between two checks of the queue, in milliseconds.
const QUEUE_CHECK_MS: u64 = 5;

const SERVICE_TIME_MS: u64 = 80;
const TARGET: Duration = Duration::from_millis(400);

/// Returns the start times in milliseconds of requests that arrive every `arrival_ms` at a gate whose upstream
/// states `rate` from the start on, and the longest wait of one that was queued.
fn starts(rate: f64, arrival_ms: u64) -> (Vec<u64>, Duration) {
    let gate = Gate::default();
    gate.announce(Tick(0), 13, false);
    gate.stated_rate.set(Some(rate));
    let mut queue = WaitQueue::default();
    let (mut running, mut starts, mut longest_wait) = (Vec::new(), Vec::new(), Duration::ZERO);
    for ms in 1..RUN_MS {
        let now = Tick(ms * MS);
        for _ended in running.extract_if(.., |started| *started + SERVICE_TIME_MS <= ms) {
            gate.release_slot();
            gate.observe(now, Duration::from_millis(SERVICE_TIME_MS), true);
        }
        let arriving = AdmissionRequest {
            arrived: now,
            target: TARGET,
            expected_service_time: Duration::from_millis(SERVICE_TIME_MS),
            ..AdmissionRequest::new(TARGET * 2, true)
        };
        if ms % arrival_ms == 0 {
            match gate.admit(&arriving) {
                AdmissionDecision::Run => {
                    starts.push(ms);
                    running.push(ms);
                }
                AdmissionDecision::Queue => {
                    let key = QueueKey { urgency: gate.urgency(&arriving), caller: "shop".into() };
                    queue.push(key, arriving.start_deadlines(now), now);
                }
                AdmissionDecision::Refuse(_) => {}
            }
        }
        while ms % QUEUE_CHECK_MS == 0
            && let Some(Dequeued::Run(arrived)) = queue.next(now, &gate, |_| false)
        {
            longest_wait = longest_wait.max(now.since(arrived));
            starts.push(ms);
            running.push(ms);
        }
    }
    (starts, longest_wait)
}

/// Guards against more starts than an upstream states to accept, and against leaving a part of what it accepts
/// unused while requests are refused, and against queueing requests that then miss their target latency.
#[test_case(0.0, 20; "none")]
#[test_case(0.7, 20; "less than one a second")]
#[test_case(17.4, 20; "a third of the arrivals")]
#[test_case(40.0, 5; "most of the arrivals")]
fn stated_rate_is_kept_and_used(rate: f64, arrival_ms: u64) {
    let (starts, longest_wait) = starts(rate, arrival_ms);
    let in_window =
        |from: u64| starts.iter().filter(|s| (from..from + WINDOW_MS).contains(s)).count();
    let most = (0..RUN_MS - WINDOW_MS).map(in_window).max().unwrap_or(0) as f64;
    let window_s = WINDOW_MS as f64 / 1_000.0;
    assert!(most <= rate * window_s * 1.5 + 5.0, "{most}");
    let expected = rate * RUN_MS as f64 / 1_000.0;
    assert!(starts.len() as f64 >= expected * 0.9 - 1.0, "{} of {expected}", starts.len());
    let service_time = Duration::from_millis(SERVICE_TIME_MS);
    assert!(longest_wait + service_time <= TARGET, "{longest_wait:?}");
}

/// Guards against a limit that outlives its statement: without one, the slots are the only limit again.
#[test]
fn stated_rate_end_frees_all_slots() {
    let gate = Gate::default();
    gate.announce(Tick(0), 13, false);
    gate.stated_rate.set(Some(1.0));
    let starts = |now| (0..20).filter(|_| gate.try_start(now)).count();
    assert_eq!(starts(Tick(MS)), 1);
    gate.stated_rate.set(None);
    assert_eq!(starts(Tick(2 * MS)), 12);
}

/// Guards against entries that pick a limited upstream by its free slots: its reports show what the rate keeps busy.
#[test]
fn stated_rate_lowers_reported_slots() {
    let gate = Gate::default();
    gate.announce(Tick(0), 13, false);
    for _ in 0..50 {
        gate.observe(Tick(MS), Duration::from_millis(100), true);
    }
    assert_eq!(gate.next_load_report(Tick(MS)).slots, 13);
    gate.stated_rate.set(Some(15.0));
    assert_eq!(gate.next_load_report(Tick(MS)).slots, 2);
}

#[test]
fn stated_rate_wait_follows_the_rate() {
    let rate = StatedRate::default();
    assert_eq!(rate.wait(Tick(0), 5), Duration::ZERO);
    rate.set(Some(2.0));
    assert!(rate.try_take(Tick(0)));
    assert!(!rate.try_take(Tick(0)));
    assert_eq!(rate.wait(Tick(0), 1), Duration::from_millis(500));
    assert_eq!(rate.wait(Tick(0), 3), Duration::from_millis(1_500));
}
