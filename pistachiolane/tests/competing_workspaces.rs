//! Pattern: one of 72 workspaces suddenly sends seven times its usual rate at a gate, or all send more than the
//! upstream can serve. A few workspaces are large, most have less than a hundredth of the load.

use {
    pistachiolane::{
        limits::{
            AdmissionDecision, AdmissionRequest, Dequeued, Gate, QueueKey, RefusalReason, Urgency,
            WaitQueue,
        },
        tick::Tick,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
    test_case::test_case,
};

const WORKSPACES: usize = 72;

/// Slots of the upstream, service time and duration in milliseconds.
const SLOTS: u16 = 10;
const SERVICE_MS: u64 = 20;
const RUN_MS: u64 = 40_000;

/// Usual load relative to the capacity of the upstream.
const USUAL_LOAD: f64 = 0.9;

/// Requests of each workspace that were sent and served.
#[derive(Clone, Copy, Default)]
struct Counts {
    sent: f64,
    served: f64,
}

/// Usual share of a workspace in the load: three have a sixth each, the others the rest.
fn usual_share(workspace: usize) -> f64 {
    if workspace < 3 { 1.0 / 6.0 } else { 0.5 / (WORKSPACES - 3) as f64 }
}

/// Runs a gate under the usual load times `factor` of each workspace.
fn run(target_ms: u64, by_turn: bool, factor: impl Fn(usize) -> f64) -> Vec<Counts> {
    let gate = Gate::default();
    gate.announce(Tick(0), SLOTS, false);
    let capacity_per_ms = f64::from(SLOTS) / SERVICE_MS as f64;
    let mut rng = SmallRng::seed_from_u64(7);
    let mut queue = WaitQueue::<usize>::default();
    let mut counts = vec![Counts::default(); WORKSPACES];
    let mut ends: Vec<Tick> = Vec::new();
    for ms in 1..RUN_MS {
        let now = Tick(ms * 1_000);
        let end = now + Duration::from_millis(SERVICE_MS);
        for _ in ends.extract_if(.., |at| *at <= now) {
            gate.release_slot();
            gate.observe(now, Duration::from_millis(SERVICE_MS), true);
        }
        for (workspace, own) in counts.iter_mut().enumerate() {
            let rate = usual_share(workspace) * USUAL_LOAD * capacity_per_ms * factor(workspace);
            let whole = rate as usize + usize::from(rng.random::<f64>() < rate.fract());
            for _ in 0..whole {
                own.sent += 1.0;
                let req = AdmissionRequest {
                    arrived: now,
                    target: Duration::from_millis(target_ms),
                    expected_service_time: Duration::from_millis(SERVICE_MS),
                    ..AdmissionRequest::new(Duration::from_millis(target_ms * 2), true)
                };
                let decision = if by_turn { gate.admit_by_turn(&req) } else { gate.admit(&req) };
                let caller = if by_turn { format!("workspace/{workspace}") } else { "shop".into() };
                let key = QueueKey { urgency: gate.urgency(&req), caller: caller.into() };
                match decision {
                    AdmissionDecision::Run => {
                        own.served += 1.0;
                        ends.push(end);
                    }
                    AdmissionDecision::Queue => {
                        queue.push(key.clone(), req.start_deadlines(now), workspace);
                        if by_turn {
                            queue.remove_newest_if_late(now, &gate, &key);
                        }
                    }
                    AdmissionDecision::Refuse(_) => {}
                }
            }
        }
        while let Some(next) = queue.next(now, &gate, |_| false) {
            if let Dequeued::Run(workspace) = next {
                counts[workspace].served += 1.0;
                ends.push(end);
            }
        }
    }
    counts
}

/// Returns the lowest share of a workspace in what was served of it usually, apart from the one that floods.
fn lowest_kept(usual: &[Counts], flooded: &[Counts], flooding: usize) -> f64 {
    let others = (0..WORKSPACES).filter(|&w| w != flooding);
    others.map(|w| flooded[w].served / usual[w].served).fold(f64::MAX, f64::min)
}

fn served(counts: &[Counts]) -> f64 {
    counts.iter().map(|c| c.served).sum()
}

/// Returns the lowest share of requests served of any workspace, relative to that of all.
fn lowest_relative_share(counts: &[Counts]) -> f64 {
    let mean = served(counts) / counts.iter().map(|c| c.sent).sum::<f64>();
    counts.iter().map(|c| c.served / c.sent / mean).fold(f64::MAX, f64::min)
}

/// Guards against a workspace that takes the room of the others with more requests than usual. With a short target
/// latency most are refused by their expected wait, with a long one by the bound of the queue.
#[test_case(0, 60; "large, short target latency")]
#[test_case(0, 600; "large, long target latency")]
#[test_case(40, 60; "small, short target latency")]
#[test_case(40, 600; "small, long target latency")]
fn flood_of_one_workspace_leaves_the_others_their_room(flooding: usize, target_ms: u64) {
    let factor = |workspace| if workspace == flooding { 7.0 } else { 1.0 };
    let usual = run(target_ms, true, |_| 1.0);
    let flooded = run(target_ms, true, factor);
    let kept = lowest_kept(&usual, &flooded, flooding);
    assert!(kept >= 0.9, "{kept}");
    let relative = lowest_relative_share(&flooded);
    assert!(relative >= 0.25, "{relative}");
    // The room is used: what the flood may not take from others, it may take of what is free.
    let capacity = f64::from(SLOTS) / SERVICE_MS as f64 * RUN_MS as f64;
    let used = served(&flooded) / capacity;
    assert!(used >= 0.9, "{used}");
}

/// The pattern itself: in one queue for all, the flood of a large workspace takes a third of the others' room.
#[test]
fn one_queue_for_all_gives_way_to_the_flood() {
    let factor = |workspace| if workspace == 0 { 7.0 } else { 1.0 };
    let (usual, flooded) = (run(60, false, |_| 1.0), run(60, false, factor));
    assert!(lowest_kept(&usual, &flooded, 0) < 0.67);
}

/// Guards against turns that starve large workspaces: with as many starts for each, those with a sixth of the load get
/// 0.22 of the share of all.
#[test_case(60; "short target latency")]
#[test_case(600; "long target latency")]
fn overload_by_all_starves_no_workspace(target_ms: u64) {
    let relative = lowest_relative_share(&run(target_ms, true, |_| 3.0));
    assert!(relative >= 0.25, "{relative}");
}

/// Guards against a workspace that sends so steadily that it always takes the slot that becomes free.
#[test]
fn freed_slot_goes_to_the_one_that_waits() {
    let gate = Gate::default();
    gate.announce(Tick(0), 1, false);
    let req = AdmissionRequest::new(Duration::from_secs(1), true);
    assert_eq!(gate.admit_by_turn(&req), AdmissionDecision::Run);
    let mut queue = WaitQueue::default();
    let key = |name: &str| QueueKey {
        urgency: Urgency::relaxed(1),
        caller: format!("workspace/{name}").into(),
    };
    for name in ["flood", "flood", "other"] {
        assert_eq!(gate.admit_by_turn(&req), AdmissionDecision::Queue);
        queue.push(key(name), Tick(1_000_000), name);
        queue.next(Tick(1), &gate, |_| false);
    }
    gate.release_slot();
    let direct = AdmissionRequest { may_queue: false, ..req };
    assert_eq!(gate.admit_by_turn(&direct), AdmissionDecision::Refuse(RefusalReason::Busy));
    assert_eq!(queue.next(Tick(2), &gate, |_| false), Some(Dequeued::Run("flood")));
    gate.release_slot();
    assert_eq!(queue.next(Tick(2), &gate, |_| false), Some(Dequeued::Run("other")));
}
