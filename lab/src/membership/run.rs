//! Detection, spread and cost of the membership by the fleet's size.

use {
    super::{SimulatedNetwork, control_address},
    crate::report::{Check, Report},
    pistachiolane::schema::Health,
    serde_json::json,
    std::time::Duration,
};

/// Share of packets lost.
const LOSS: f64 = 0.01;

/// Time for all to join before anything is measured.
const SETTLE: Duration = Duration::from_secs(45);

/// Time over which the steady state is measured.
const STEADY: Duration = Duration::from_secs(20);

/// Step at which the spread of a death is looked at.
const LOOK: Duration = Duration::from_millis(100);

/// Longest wait for a death to be known.
const LONGEST: Duration = Duration::from_secs(20);

/// Time after which a host that left gets no new work, from any node.
const MAX_DETECTION_S: f64 = 3.0;

/// Bytes a second that control may cost a node.
const MAX_BYTES_PER_SECOND: f64 = 7_000.0;

/// Runs the experiment at each size.
pub fn run(sizes: &[u16], seed: u64) -> Report {
    let mut report = Report::new("membership", seed);
    for &size in sizes {
        measure(&mut report, size, seed);
    }
    report
}

fn measure(report: &mut Report, size: u16, seed: u64) {
    let mut net = SimulatedNetwork::new(size, LOSS, seed);
    net.run(SETTLE);
    let unknown = net.missing_alive_views().len();
    let (sent, bytes) = (net.packets_sent, net.bytes_sent);
    net.run(STEADY);
    let per_node = |n: u64| n as f64 / f64::from(size) / STEADY.as_secs_f64();
    let (packets, bytes) = (per_node(net.packets_sent - sent), per_node(net.bytes_sent - bytes));
    let suspected = suspected(&net);
    // A node of the larger region dies without a word.
    let victim = size / 2 - size / 2 % 4;
    net.nodes.remove(&control_address(victim));
    let died = net.now;
    let node = u64::from(victim) + 1;
    let mut half = None;
    while net.alive_view_count(node) > 0 && net.now.since(died) < LONGEST {
        net.run(LOOK);
        if half.is_none() && net.alive_view_count(node) <= usize::from(size) / 2 {
            half = Some(net.now.since(died).as_secs_f64());
        }
    }
    let all = net.now.since(died).as_secs_f64();
    report.figure(
        &format!("{size} members"),
        json!({
            "records_missing_after_45s": unknown,
            "packets_per_s": packets,
            "bytes_per_s": bytes,
            "suspected_wrongly": suspected,
            "death_known_to_half_s": half,
            "death_known_to_all_s": all,
        }),
    );
    let check =
        |what: &str, bound, figure| Check::at_most(format!("{size}: {what}"), bound, figure);
    report.check(check("dead host unusable for all, s", MAX_DETECTION_S, all));
    report.check(check("bytes/s out", MAX_BYTES_PER_SECOND, bytes));
    report.check(check("living taken for dead", 0.0, dead(&net, node) as f64));
}

/// Pairs in which a living node is suspected.
fn suspected(net: &SimulatedNetwork) -> usize {
    let count = |m: &pistachiolane::membership::Members| {
        m.records().filter(|r| r.health == Health::Suspect).count()
    };
    net.nodes.values().map(count).sum()
}

/// Pairs in which a living node is taken for dead.
fn dead(net: &SimulatedNetwork, victim: u64) -> usize {
    let count = |m: &pistachiolane::membership::Members| {
        m.records().filter(|r| r.health == Health::Dead && r.node != victim).count()
    };
    net.nodes.values().map(count).sum()
}
