//! The upstream beside the node: incarnations, late announcements, draining that is final.

use {
    pistachiolane::{
        membership::{LocalUpstream, NewsEffect, UpstreamNews},
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

fn take(upstream: &mut LocalUpstream, news: Announcement) -> NewsEffect {
    upstream.take(Tick(0), UpstreamNews::Announced(news))
}

fn leaving(instance: &str, started_ms: u64) -> UpstreamNews {
    UpstreamNews::Leaving { instance: instance.to_owned(), started_ms }
}

#[test_case(announced("a", 100, 2, false), NewsEffect::Outdated; "late by its sequence")]
#[test_case(announced("a", 100, 3, false), NewsEffect::Outdated; "repeated")]
#[test_case(announced("a", 100, 4, false), NewsEffect::Unchanged; "next")]
#[test_case(announced("a", 100, 4, true), NewsEffect::Changed; "drains")]
#[test_case(announced("a", 90, 9, false), NewsEffect::Outdated; "same name, earlier start")]
#[test_case(announced("b", 90, 9, false), NewsEffect::Outdated; "other name, earlier start")]
#[test_case(announced("a", 110, 1, false), NewsEffect::Changed; "same name, later start")]
#[test_case(announced("b", 110, 1, false), NewsEffect::Changed; "other name, later start")]
fn announcement_after_another(next: Announcement, effect: NewsEffect) {
    let mut upstream = LocalUpstream::new();
    assert_eq!(take(&mut upstream, announced("a", 100, 3, false)), NewsEffect::Changed);
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
    assert_eq!(take(&mut upstream, announced("a", 100, 2, false)), NewsEffect::Outdated);
    assert!(upstream.current().is_none());
    assert_eq!(take(&mut upstream, announced("a", 200, 1, false)), NewsEffect::Changed);
}

#[test]
fn leaving_is_final_for_the_incarnation() {
    let mut upstream = LocalUpstream::new();
    take(&mut upstream, announced("a", 100, 1, false));
    assert_eq!(upstream.take(Tick(0), leaving("a", 100)), NewsEffect::Changed);
    assert_eq!(take(&mut upstream, announced("a", 100, 2, false)), NewsEffect::Outdated);
    assert!(upstream.current().unwrap().draining);
    assert_eq!(take(&mut upstream, announced("a", 101, 1, false)), NewsEffect::Changed);
}

/// A farewell that overtakes the first announcement, as after a restart of the node.
#[test]
fn leaving_before_it_was_known() {
    let mut upstream = LocalUpstream::new();
    assert_eq!(upstream.take(Tick(0), leaving("a", 100)), NewsEffect::Outdated);
    assert_eq!(take(&mut upstream, announced("a", 100, 2, false)), NewsEffect::Outdated);
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
    assert_eq!(take(&mut upstream, announced("a", 100, 2, false)), NewsEffect::Changed);
}
