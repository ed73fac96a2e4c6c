//! Goodput and hops of a service under more load than it can serve, and after that load has ended.

use {
    lab::overload::{Second, capacity, run},
    std::{ops::Range, time::Duration},
};

/// Processor time for a message of 0.3 ms, on nodes with a tenth of a core.
const MESSAGE_COST: Duration = Duration::from_millis(3);

/// Processor time for a message with which an overload outlasts the load if each call asks several full gates.
const SLOW_MESSAGE_COST: Duration = Duration::from_millis(4);

const SEED: u64 = 7;

/// Seconds at the start that are not measured: budgets and estimates are not settled yet.
const WARM_UP: usize = 4;

fn sum(seconds: &[Second], range: Range<usize>, count: impl Fn(&Second) -> u64) -> f64 {
    seconds[range].iter().map(count).sum::<u64>() as f64
}

/// Guards against the collapse of goodput above the capacity, when the nodes spend their time on refusals, and against
/// a throttle that rejects calls below it.
#[test]
fn goodput_holds_above_capacity() {
    let measured = WARM_UP..WARM_UP + 8;
    let mut best: f64 = 0.0;
    let mut misses = Vec::new();
    for load in [0.5, 0.7, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 3.0] {
        let seconds = run(&vec![load; measured.end], MESSAGE_COST, SEED);
        let goodput = sum(&seconds, measured.clone(), |s| s.in_time) / measured.len() as f64;
        let offered = sum(&seconds, measured.clone(), |s| s.offered) / measured.len() as f64;
        let hops = sum(&seconds, measured.clone(), |s| s.attempts)
            / sum(&seconds, measured.clone(), |s| s.ran);
        let latency = sum(&seconds, measured.clone(), |s| s.latency_ms)
            / sum(&seconds, measured.clone(), |s| s.in_time);
        let throttled = sum(&seconds, 0..measured.end, |s| s.throttled);
        best = best.max(goodput);
        let figures = format!(
            "load {load}: {offered}/s offered, {goodput}/s in time, {hops:.2} hops, {latency:.0} ms, {throttled} throttled"
        );
        println!("{figures}");
        let is_light = load <= 0.9;
        let holds = if is_light {
            throttled < 1.0 && goodput >= 0.99 * offered
        } else {
            goodput >= 0.9 * best
        };
        if hops > 1.3 || !holds {
            misses.push(figures);
        }
    }
    assert!(misses.is_empty(), "capacity {}/s, best {best}/s: {misses:#?}", capacity());
}

/// Guards against a state of overload that lasts after the load has returned to what the service can do.
#[test]
fn goodput_returns_after_overload() {
    let loads: Vec<f64> = (0..26).map(|s| if (8..16).contains(&s) { 3.0 } else { 0.8 }).collect();
    let seconds = run(&loads, SLOW_MESSAGE_COST, SEED);
    let share = |range: Range<usize>| {
        sum(&seconds, range.clone(), |s| s.in_time) / sum(&seconds, range, |s| s.offered)
    };
    let (before, after) = (share(WARM_UP..8), share(18..26));
    for (second, counts) in seconds.iter().enumerate() {
        println!("{second}: {counts:?}");
    }
    assert!(after >= 0.99 * before, "{after:.3} of the requests in time, {before:.3} before");
    let first = share(18..19);
    assert!(first >= 0.95 * before, "{first:.3} in the third second, {before:.3} before");
}
