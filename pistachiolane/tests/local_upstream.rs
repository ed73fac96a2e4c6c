//! The upstream beside the node: incarnations, late announcements, draining that is final.

use {
    pistachiolane::{
        membership::{LocalUpstream, UpstreamChange, UpstreamEvent},
        schema::Announcement,
        tick::Tick,
    },
    std::time::Duration,
    test_case::test_case,
};

fn announced(instance: &str, started_ms: u64, sequence: u64, draining: bool) -> Announcement {
    Announcement {
        service: "sizing".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: 10,
        connections: 0,
        draining,
        instance: instance.to_owned(),
        started_ms,
        sequence,
        cold_ms: 0,
    }
}

fn take(upstream: &mut LocalUpstream, news: Announcement) -> UpstreamChange {
    upstream.apply(Tick(0), UpstreamEvent::Announced(news))
}

fn leaving(instance: &str, started_ms: u64) -> UpstreamEvent {
    UpstreamEvent::Deregistered { instance: instance.to_owned(), started_ms }
}

#[test_case(announced("a", 100, 2, false), UpstreamChange::Outdated; "late by its sequence")]
#[test_case(announced("a", 100, 3, false), UpstreamChange::Outdated; "repeated")]
#[test_case(announced("a", 100, 4, false), UpstreamChange::Unchanged; "next")]
#[test_case(announced("a", 100, 4, true), UpstreamChange::Changed; "drains")]
#[test_case(announced("a", 90, 9, false), UpstreamChange::Outdated; "same name, earlier start")]
#[test_case(announced("b", 90, 9, false), UpstreamChange::Outdated; "other name, earlier start")]
#[test_case(announced("a", 110, 1, false), UpstreamChange::Changed; "same name, later start")]
#[test_case(announced("b", 110, 1, false), UpstreamChange::Changed; "other name, later start")]
fn announcement_after_another(next: Announcement, effect: UpstreamChange) {
    let mut upstream = LocalUpstream::new();
    assert_eq!(take(&mut upstream, announced("a", 100, 3, false)), UpstreamChange::Changed);
    assert_eq!(take(&mut upstream, next), effect);
}

#[test]
fn draining_is_final() {
    let mut upstream = LocalUpstream::new();
    take(&mut upstream, announced("a", 100, 1, true));
    take(&mut upstream, announced("a", 100, 2, false));
    assert!(upstream.current().unwrap().draining);
    take(&mut upstream, announced("a", 200, 1, false));
    assert!(!upstream.current().unwrap().draining);
}

/// An announcement that a partition held back arrives after its sender, which drained, was forgotten.
#[test]
fn draining_is_final_after_silence() {
    let mut upstream = LocalUpstream::new();
    take(&mut upstream, announced("a", 100, 3, true));
    assert!(upstream.expire(Tick(0) + Duration::from_secs(3), Duration::from_secs(3)));
    assert_eq!(take(&mut upstream, announced("a", 100, 2, false)), UpstreamChange::Outdated);
    assert!(upstream.current().is_none());
    assert_eq!(take(&mut upstream, announced("a", 200, 1, false)), UpstreamChange::Changed);
}

#[test]
fn leaving_is_final_for_the_incarnation() {
    let mut upstream = LocalUpstream::new();
    take(&mut upstream, announced("a", 100, 1, false));
    assert_eq!(upstream.apply(Tick(0), leaving("a", 100)), UpstreamChange::Changed);
    assert_eq!(take(&mut upstream, announced("a", 100, 2, false)), UpstreamChange::Outdated);
    assert!(upstream.current().unwrap().draining);
    assert_eq!(take(&mut upstream, announced("a", 101, 1, false)), UpstreamChange::Changed);
}

/// A farewell that overtakes the first announcement, as after a restart of the node.
#[test]
fn leaving_before_it_was_known() {
    let mut upstream = LocalUpstream::new();
    assert_eq!(upstream.apply(Tick(0), leaving("a", 100)), UpstreamChange::Outdated);
    assert_eq!(take(&mut upstream, announced("a", 100, 2, false)), UpstreamChange::Outdated);
    assert!(upstream.current().is_none());
}

#[test]
fn silence_ends_it() {
    let second = Duration::from_secs(1);
    let mut upstream = LocalUpstream::new();
    take(&mut upstream, announced("a", 100, 1, false));
    assert!(!upstream.expire(Tick(0) + second, second * 2));
    assert!(upstream.expire(Tick(0) + second * 2, second * 2));
    assert!(upstream.current().is_none());
    assert_eq!(take(&mut upstream, announced("a", 100, 2, false)), UpstreamChange::Changed);
}
