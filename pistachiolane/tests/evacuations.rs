//! Tests of evacuated zones: what a watcher publishes, and what a gate admits.

use {
    pistachiolane::{
        config::{ActiveSubtrees, ApplyResult, WatchedEvacuations},
        limits::{
            AdmissionDecision, AdmissionRequest, Dequeued, Gate, QueueKey, RefusalReason, Urgency,
            WaitQueue, ZoneEvacuation,
        },
        schema::GateState,
        store::{Listing, Object, Position},
        tick::Tick,
    },
    serde_json::json,
    std::{sync::Arc, time::Duration},
    test_case::test_case,
};

const SECOND: Duration = Duration::from_secs(1);

/// Longest pause after which a gate still knows its zone.
const MAX_GAP: Duration = Duration::from_millis(1_250);

fn listing(era: u64, revision: u64, present: &[&str], removed: &[&str]) -> Listing {
    let object = |name: &&str| Object { name: (*name).into(), revision, value: json!({}) };
    let items = present.iter().map(object).collect();
    let removed = removed.iter().map(|name| Arc::from(*name)).collect();
    Listing { position: Position { era, revision }, items, removed }
}

/// Publishes what a watcher knows to a node; returns the zones that are then in force there.
fn publish(watched: &WatchedEvacuations, node: &mut ActiveSubtrees) -> Vec<String> {
    if let Some(subtree) = watched.publication(node.get("evacuations")) {
        assert_eq!(node.apply(subtree), ApplyResult::Newer);
    }
    let tree = node.compile();
    tree.evacuations().unwrap().zones.iter().map(ToString::to_string).collect()
}

/// Guards against lost changes, and against a gate that never opens because an empty set is never published.
#[test]
fn zones_follow_the_store() {
    let (mut watched, mut node) = (WatchedEvacuations::default(), ActiveSubtrees::default());
    assert!(watched.publication(None).is_none(), "published before the first listing");
    watched.replace(&listing(0, 0, &[], &[]));
    assert!(publish(&watched, &mut node).is_empty());
    watched.update(&listing(0, 4, &["b", "a"], &[]));
    assert_eq!(publish(&watched, &mut node), ["a", "b"]);
    let version = node.version("evacuations");
    watched.update(&listing(0, 9, &["b"], &[]));
    publish(&watched, &mut node);
    assert_eq!(node.version("evacuations"), version, "the same set was published again");
    watched.update(&listing(0, 11, &["c"], &["a"]));
    assert_eq!(publish(&watched, &mut node), ["b", "c"]);
}

/// Guards against a set that stays reverted: a watcher that saw only the removal publishes it after another one saw the
/// zone set again, and both hold the earlier evacuation in force. A store from an older copy counts as newer although
/// its revisions are lower.
#[test]
fn latest_set_wins_over_a_watcher_that_is_behind() {
    let (mut ahead, mut behind) = (WatchedEvacuations::default(), WatchedEvacuations::default());
    let mut node = ActiveSubtrees::default();
    for watcher in [&mut ahead, &mut behind] {
        watcher.replace(&listing(0, 5, &["a"], &[]));
    }
    publish(&ahead, &mut node);
    ahead.update(&listing(0, 7, &["a"], &[]));
    behind.update(&listing(0, 6, &[], &["a"]));
    assert_eq!(publish(&ahead, &mut node), ["a"]);
    assert!(publish(&behind, &mut node).is_empty());
    assert_eq!(publish(&ahead, &mut node), ["a"]);
    assert_eq!(publish(&behind, &mut node), ["a"]);
    ahead.replace(&listing(1, 3, &["b"], &[]));
    behind.update(&listing(0, 950, &["c"], &[]));
    for watcher in [&ahead, &behind] {
        assert_eq!(publish(watcher, &mut node), ["b"]);
    }
}

/// Returns a gate with one slot that knows that its zone is in service.
fn gate() -> Gate {
    let gate = Gate::default();
    gate.announce(Tick(1), 1, false);
    gate.zone.require(MAX_GAP);
    assert!(gate.zone.confirm(Tick(1)));
    assert!(gate.zone.reopen());
    gate
}

fn admit(gate: &Gate, now: Tick) -> AdmissionDecision {
    gate.admit(&AdmissionRequest { arrived: now, ..AdmissionRequest::new(SECOND, true) })
}

/// Guards against new work for an upstream of an evacuated zone, from the queue as well, against an end of what runs,
/// and against work after the evacuation before the state of the upstream is read.
#[test]
fn evacuated_gate_admits_nothing_until_it_reopens() {
    let gate = gate();
    assert_eq!(admit(&gate, Tick(2)), AdmissionDecision::Run);
    assert_eq!(admit(&gate, Tick(3)), AdmissionDecision::Queue);
    let mut queue = WaitQueue::default();
    queue.push(QueueKey { urgency: Urgency::relaxed(0), caller: "a".into() }, Tick(0) + SECOND, ());
    gate.zone.evacuate();
    let refused = AdmissionDecision::Refuse(RefusalReason::Evacuated);
    assert_eq!(admit(&gate, Tick(4)), refused);
    assert_eq!(queue.next(Tick(5), &gate, |()| false), Some(Dequeued::UpstreamUnavailable(())));
    assert_eq!(gate.queue_refusal(Tick(5)), RefusalReason::Evacuated);
    assert_eq!((gate.running(), gate.next_load_report(Tick(5)).state), (1, GateState::Draining));
    gate.release_slot();
    assert!(gate.zone.end());
    assert_eq!(admit(&gate, Tick(6)), refused);
    gate.zone.evacuate();
    assert!(!gate.zone.reopen(), "reopened although the zone was evacuated again");
    assert!(gate.zone.end());
    assert!(gate.zone.reopen());
    assert_eq!(admit(&gate, Tick(7)), AdmissionDecision::Run);
}

/// Guards against work that a gate admits by a set from before its pause.
#[test_case(MAX_GAP, true; "short pause")]
#[test_case(MAX_GAP + Duration::from_millis(1), false; "long pause")]
fn gate_knows_its_zone_after_a_pause(pause: Duration, is_known: bool) {
    let gate = gate();
    let before = Tick(0) + SECOND;
    assert_eq!(gate.zone.observe(before), ZoneEvacuation::None);
    let after = before + pause;
    let refused = AdmissionDecision::Refuse(RefusalReason::NotHere);
    assert_eq!(admit(&gate, after), if is_known { AdmissionDecision::Run } else { refused });
    // A response to a request from before the pause may be as old as the pause.
    assert!(!gate.zone.confirm(before));
    assert_eq!(gate.zone.confirm(after), !is_known);
}
