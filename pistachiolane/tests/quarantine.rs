//! Pattern: a request that crashes each upstream that begins to run it comes again and again, among others that only
//! ran beside it.

use {
    pistachiolane::{
        recovery::{Fingerprint, QUARANTINE, Quarantine, Suspicion},
        schema::SuspectUpdate,
        tick::Tick,
    },
    std::time::Duration,
    test_case::test_case,
};

const CRASHING: Fingerprint = Fingerprint(1);
const POPULAR: Fingerprint = Fingerprint(2);
const BESIDE: Fingerprint = Fingerprint(3);

fn at(seconds: u64) -> Tick {
    Tick(0) + Duration::from_secs(seconds)
}

fn is_refused(quarantine: &Quarantine, now: Tick, fingerprint: Fingerprint) -> bool {
    matches!(quarantine.suspicion(now, fingerprint), Suspicion::Refused { .. })
}

/// Guards against a request that crashes one upstream after the other (BUDGET), and against refusing what ran beside it:
/// a popular request, answered before and after, and one that met a single crash.
#[test]
fn quarantine_refuses_the_cause_only() {
    let quarantine = Quarantine::default();
    quarantine.record_survival(at(1), POPULAR);
    quarantine.record_crash(at(2), BESIDE, 100);
    for crash in 0..3 {
        assert!(!is_refused(&quarantine, at(2 + crash), CRASHING));
        quarantine.record_crash(at(2 + crash), CRASHING, 100 + crash);
        quarantine.record_crash(at(2 + crash), POPULAR, 100 + crash);
    }
    assert!(is_refused(&quarantine, at(5), CRASHING));
    assert_eq!(quarantine.suspicion(at(5), POPULAR), Suspicion::None);
    assert_eq!(quarantine.suspicion(at(5), BESIDE), Suspicion::Suspect { may_retry: true });
}

/// Guards against many upstreams that end at once, such as those of a rack: what runs on all of them isn't the cause.
#[test]
fn quarantine_spares_what_was_answered_lately() {
    let quarantine = Quarantine::default();
    quarantine.record_survival(at(1), POPULAR);
    for crash in 0..20 {
        quarantine.record_crash(at(30), POPULAR, crash);
    }
    assert_eq!(quarantine.suspicion(at(30), POPULAR), Suspicion::None);
    for crash in 0..3 {
        quarantine.record_crash(at(200), POPULAR, crash);
    }
    assert!(is_refused(&quarantine, at(200), POPULAR));
}

/// Guards against refusing a request that an upstream answers after all, here or at another node.
#[test_case(|q| q.record_survival(at(3), CRASHING); "here")]
#[test_case(
    |q| q.apply(at(3), &SuspectUpdate { fingerprint: 1, crash: 0, remaining_s: 60, survived: true });
    "at another node"
)]
fn quarantine_ends_with_an_answer(answer: fn(&Quarantine)) {
    let quarantine = Quarantine::default();
    for crash in 0..3 {
        quarantine.record_crash(at(2), CRASHING, crash);
    }
    answer(&quarantine);
    assert_eq!(quarantine.suspicion(at(3), CRASHING), Suspicion::None);
    quarantine.record_crash(at(4), CRASHING, 9);
    assert_eq!(quarantine.suspicion(at(4), CRASHING), Suspicion::None);
    let cleared: Vec<bool> = quarantine.updates(at(4)).iter().map(|u| u.survived).collect();
    assert_eq!(cleared, [true]);
}

/// Guards against a second send of a call whose request has crashed two upstreams, one of them before the call.
#[test]
fn quarantine_stops_retries_after_two_crashes() {
    let quarantine = Quarantine::default();
    quarantine.record_crash(at(2), CRASHING, 1);
    quarantine.record_crash(at(2), CRASHING, 1);
    assert_eq!(quarantine.suspicion(at(2), CRASHING), Suspicion::Suspect { may_retry: true });
    quarantine.record_crash(at(2), CRASHING, 2);
    assert_eq!(quarantine.suspicion(at(2), CRASHING), Suspicion::Suspect { may_retry: false });
}

/// Guards against a refusal without end, and against nodes that keep it alive by telling each other.
#[test]
fn quarantine_ends_everywhere() {
    let (first, second) = (Quarantine::default(), Quarantine::default());
    for crash in 0..3 {
        first.record_crash(at(0), CRASHING, crash);
    }
    let tell = |from: &Quarantine, to: &Quarantine, now| {
        for update in from.updates(now) {
            to.apply(now, &update);
        }
    };
    let end = QUARANTINE.as_secs();
    for second_count in (0..end + 60).step_by(10) {
        let now = at(second_count);
        tell(&first, &second, now);
        tell(&second, &first, now);
        let is_over = second_count >= end;
        assert_eq!(is_refused(&first, now, CRASHING), !is_over, "{second_count}");
        assert_eq!(is_refused(&second, now, CRASHING), !is_over, "{second_count}");
    }
}

#[test_case(["other", "GET", "shop.example", "/a?b=1"], b"x", false; "calling service")]
#[test_case(["huvo", "POST", "shop.example", "/a?b=1"], b"x", false; "method")]
#[test_case(["huvo", "GET", "other.example", "/a?b=1"], b"x", false; "host")]
#[test_case(["huvo", "GET", "shop.example", "/a?b=2"], b"x", false; "query")]
#[test_case(["huvo", "GET", "shop.example", "/a?b=1"], b"y", false; "body")]
#[test_case(["huvo", "GET", "shop.example", "/a?b=1"], b"x", true; "nothing")]
fn fingerprint_depends_on(parts: [&str; 4], body: &[u8], is_same: bool) {
    let fingerprint = Fingerprint::new(["huvo", "GET", "shop.example", "/a?b=1"], b"x", 1);
    assert_eq!(Fingerprint::new(parts, body, body.len() as u64) == fingerprint, is_same);
}
