//! State of the local upstream: incarnations, delayed announcements, and draining that is final.

use {
    pistachiolane::{
        membership::{LocalUpstream, UpstreamChange, UpstreamEvent},
        schema::Announcement,
        tick::Tick,
    },
    std::time::Duration,
    test_case::test_case,
};

fn announcement(instance: &str, started_ms: u64, sequence: u64, draining: bool) -> Announcement {
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

fn announce(upstream: &mut LocalUpstream, announcement: Announcement) -> UpstreamChange {
    upstream.apply(Tick(0), UpstreamEvent::Announced(announcement))
}

fn stopping(instance: &str, started_ms: u64) -> UpstreamEvent {
    UpstreamEvent::Stopping { instance: instance.to_owned(), started_ms }
}

#[test_case(announcement("a", 100, 2, false), UpstreamChange::Outdated; "lower sequence")]
#[test_case(announcement("a", 100, 3, false), UpstreamChange::Outdated; "same sequence")]
#[test_case(announcement("a", 100, 4, false), UpstreamChange::Unchanged; "next sequence")]
#[test_case(announcement("a", 100, 4, true), UpstreamChange::Changed; "starts to drain")]
#[test_case(announcement("a", 90, 9, false), UpstreamChange::Outdated; "same name, earlier start")]
#[test_case(announcement("b", 90, 9, false), UpstreamChange::Outdated; "other name, earlier start")]
#[test_case(announcement("a", 110, 1, false), UpstreamChange::Changed; "same name, later start")]
#[test_case(announcement("b", 110, 1, false), UpstreamChange::Changed; "other name, later start")]
fn announcement_after_another(next: Announcement, expected: UpstreamChange) {
    let mut upstream = LocalUpstream::new();
    assert_eq!(announce(&mut upstream, announcement("a", 100, 3, false)), UpstreamChange::Changed);
    assert_eq!(announce(&mut upstream, next), expected);
}

#[test]
fn draining_is_final() {
    let mut upstream = LocalUpstream::new();
    announce(&mut upstream, announcement("a", 100, 1, true));
    announce(&mut upstream, announcement("a", 100, 2, false));
    assert!(upstream.current().unwrap().draining);
    announce(&mut upstream, announcement("a", 200, 1, false));
    assert!(!upstream.current().unwrap().draining);
}

/// Guards against reviving a drained upstream: an announcement from before the draining, delayed by
/// a partition, arrives after the upstream has expired.
#[test]
fn draining_is_final_after_expiry() {
    let mut upstream = LocalUpstream::new();
    announce(&mut upstream, announcement("a", 100, 3, true));
    assert!(upstream.expire(Tick(0) + Duration::from_secs(3), Duration::from_secs(3)));
    assert_eq!(announce(&mut upstream, announcement("a", 100, 2, false)), UpstreamChange::Outdated);
    assert!(upstream.current().is_none());
    assert_eq!(announce(&mut upstream, announcement("a", 200, 1, false)), UpstreamChange::Changed);
}

#[test]
fn stop_is_final_for_the_incarnation() {
    let mut upstream = LocalUpstream::new();
    announce(&mut upstream, announcement("a", 100, 1, false));
    assert_eq!(upstream.apply(Tick(0), stopping("a", 100)), UpstreamChange::Changed);
    assert_eq!(announce(&mut upstream, announcement("a", 100, 2, false)), UpstreamChange::Outdated);
    assert!(upstream.current().unwrap().draining);
    assert_eq!(announce(&mut upstream, announcement("a", 101, 1, false)), UpstreamChange::Changed);
}

/// Guards against accepting an upstream that has already announced its stop: after a restart of the
/// node, that event can arrive before the first announcement.
#[test]
fn stop_before_the_first_announcement() {
    let mut upstream = LocalUpstream::new();
    assert_eq!(upstream.apply(Tick(0), stopping("a", 100)), UpstreamChange::Outdated);
    assert_eq!(announce(&mut upstream, announcement("a", 100, 2, false)), UpstreamChange::Outdated);
    assert!(upstream.current().is_none());
}

#[test]
fn upstream_without_announcements_expires() {
    let second = Duration::from_secs(1);
    let mut upstream = LocalUpstream::new();
    announce(&mut upstream, announcement("a", 100, 1, false));
    assert!(!upstream.expire(Tick(0) + second, second * 2));
    assert!(upstream.expire(Tick(0) + second * 2, second * 2));
    assert!(upstream.current().is_none());
    assert_eq!(announce(&mut upstream, announcement("a", 100, 2, false)), UpstreamChange::Changed);
}
