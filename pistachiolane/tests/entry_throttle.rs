//! Throttle of an entry.

use pistachiolane::{
    limits::{CallUrgency, EntryThrottle, WindowCounter},
    tick::Tick,
};

const NOW: Tick = Tick(5_000_000);

/// Returns the probability of a rejection in thousandths.
fn permille(throttle: &EntryThrottle, now: Tick, urgency: CallUrgency) -> u32 {
    (throttle.state(now, urgency).probability * 1_000.0).round() as u32
}

/// Guards against rejections at light load: a few refused calls among accepted ones.
#[test]
fn few_refusals_reject_nothing() {
    let throttle = EntryThrottle::default();
    (0..20).for_each(|_| throttle.record_accepted(NOW, CallUrgency::Normal));
    throttle.record_refused(NOW, CallUrgency::Normal);
    assert_eq!(permille(&throttle, NOW, CallUrgency::Normal), 0);
}

/// Guards against urgent and nested calls being rejected while less urgent ones are sent.
#[test]
fn less_urgent_calls_are_rejected_first() {
    let throttle = EntryThrottle::default();
    for urgency in [CallUrgency::Nested, CallUrgency::High, CallUrgency::Normal, CallUrgency::Low] {
        (0..5).for_each(|_| throttle.record_accepted(NOW, urgency));
        (0..5).for_each(|_| throttle.record_refused(NOW, urgency));
    }
    // 22 of 40 may be sent: 10 nested, 10 urgent, 2 normal, and one of the least urgent to find out about room.
    let all = [CallUrgency::Nested, CallUrgency::High, CallUrgency::Normal, CallUrgency::Low];
    assert_eq!(all.map(|urgency| permille(&throttle, NOW, urgency)), [0, 0, 800, 900]);
}

/// Guards against a service that stays shut: calls are still sent now and then, and nothing is rejected once the refusals
/// have left the window.
#[test]
fn throttle_ends_after_the_window() {
    let throttle = EntryThrottle::default();
    (0..100).for_each(|_| throttle.record_refused(NOW, CallUrgency::High));
    assert_eq!(permille(&throttle, NOW, CallUrgency::High), 990);
    assert_eq!(permille(&throttle, NOW + WindowCounter::WINDOW, CallUrgency::High), 0);
}
