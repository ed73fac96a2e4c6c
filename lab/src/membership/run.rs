//! Failure detection time, dissemination time and traffic of the membership by fleet size.

use {
    super::{SimulatedNetwork, control_address},
    crate::report::{Check, Report},
    pistachiolane::schema::Health,
    serde_json::json,
    std::time::Duration,
};

/// Fraction of packets lost.
const LOSS: f64 = 0.01;

/// Time for all nodes to join before the measurement starts.
const JOIN_TIME: Duration = Duration::from_secs(45);

/// Duration of the measurement of the steady state.
const STEADY_TIME: Duration = Duration::from_secs(20);

/// Interval at which the dissemination of a death is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time to wait until a death is known to all nodes.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Maximum time until a host that stopped gets no new work from any node, in seconds.
const MAX_DETECTION_S: f64 = 3.0;

/// Maximum bytes per second of control traffic that a node may send.
const MAX_BYTES_PER_SECOND: f64 = 7_000.0;

/// Runs the experiment at each size.
pub fn run(sizes: &[u16], seed: u64) -> Report {
    let mut report = Report::new("membership", seed);
    for &size in sizes {
        measure_size(&mut report, size, seed);
    }
    report
}

fn measure_size(report: &mut Report, size: u16, seed: u64) {
    let mut net = SimulatedNetwork::new(size, LOSS, seed);
    net.run(JOIN_TIME);
    let missing = net.missing_alive_views().len();
    let (sent, bytes) = (net.packets_sent, net.bytes_sent);
    net.run(STEADY_TIME);
    let per_node = |n: u64| n as f64 / f64::from(size) / STEADY_TIME.as_secs_f64();
    let (packets, bytes) = (per_node(net.packets_sent - sent), per_node(net.bytes_sent - bytes));
    let suspected = suspect_pairs(&net);
    // A node of the larger region stops without notice.
    let victim = size / 2 - size / 2 % 4;
    net.nodes.remove(&control_address(victim));
    let died_at = net.now;
    let node = u64::from(victim) + 1;
    let mut half = None;
    while net.alive_view_count(node) > 0 && net.now.since(died_at) < MAX_WAIT {
        net.run(CHECK_INTERVAL);
        if half.is_none() && net.alive_view_count(node) <= usize::from(size) / 2 {
            half = Some(net.now.since(died_at).as_secs_f64());
        }
    }
    let all = net.now.since(died_at).as_secs_f64();
    report.add_measurement(
        &format!("{size} members"),
        json!({
            "records_missing_after_45s": missing,
            "packets_per_s": packets,
            "bytes_per_s": bytes,
            "suspected_wrongly": suspected,
            "death_known_to_half_s": half,
            "death_known_to_all_s": all,
        }),
    );
    let check = |what: &str, bound, value| Check::at_most(format!("{size}: {what}"), bound, value);
    report.add_check(check("dead host unusable for all, s", MAX_DETECTION_S, all));
    report.add_check(check("bytes/s out", MAX_BYTES_PER_SECOND, bytes));
    report.add_check(check("living taken for dead", 0.0, dead_pairs(&net, node) as f64));
}

/// Returns the number of pairs of nodes in which one considers the other, a running node,
/// suspect.
fn suspect_pairs(net: &SimulatedNetwork) -> usize {
    let count = |m: &pistachiolane::membership::Members| {
        m.records().filter(|r| r.health == Health::Suspect).count()
    };
    net.nodes.values().map(count).sum()
}

/// Returns the number of pairs of nodes in which one considers the other, a running node,
/// dead.
fn dead_pairs(net: &SimulatedNetwork, victim: u64) -> usize {
    let count = |m: &pistachiolane::membership::Members| {
        m.records().filter(|r| r.health == Health::Dead && r.node != victim).count()
    };
    net.nodes.values().map(count).sum()
}
