//! Failure detection time, dissemination time and traffic of the membership by fleet size.

use {
    super::{SimulatedNetwork, control_address},
    crate::report::{Check, Report},
    pistachiolane::schema::Health,
    serde_json::json,
    std::time::Duration,
};

/// Fraction of packets that are lost.
const PACKET_LOSS_RATE: f64 = 0.01;

/// Time for all nodes to join before the measurement starts.
const JOIN_TIME: Duration = Duration::from_secs(45);

/// Duration of the measurement of the steady state.
const STEADY_TIME: Duration = Duration::from_secs(20);

/// Interval at which the dissemination of a death is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time to wait until no node has the dead node as alive.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Time after which no node may send new work to a host that stopped, in seconds.
const MAX_DETECTION_S: f64 = 3.0;

/// Maximum bytes per second of control traffic that a node may send.
const MAX_BYTES_PER_SECOND: f64 = 7_000.0;

/// Runs the experiment for each fleet size.
pub fn run(sizes: &[u16], seed: u64) -> Report {
    let mut report = Report::new("membership", seed);
    for &size in sizes {
        measure_size(&mut report, size, seed);
    }
    report
}

fn measure_size(report: &mut Report, size: u16, seed: u64) {
    let mut net = SimulatedNetwork::new(size, PACKET_LOSS_RATE, seed);
    net.run(JOIN_TIME);
    let missing = net.missing_alive_views().len();
    let (sent, bytes) = (net.packets_sent, net.bytes_sent);
    net.run(STEADY_TIME);
    let per_node = |n: u64| n as f64 / f64::from(size) / STEADY_TIME.as_secs_f64();
    let (packets, bytes) = (per_node(net.packets_sent - sent), per_node(net.bytes_sent - bytes));
    let suspected = suspect_record_count(&net);
    // A node of the larger region stops without notice.
    let victim = size / 2 - size / 2 % 4;
    net.nodes.remove(&control_address(victim));
    let died_at = net.now;
    let node = u64::from(victim) + 1;
    let mut half_s = None;
    while net.alive_view_count(node) > 0 && net.now.since(died_at) < MAX_WAIT {
        net.run(CHECK_INTERVAL);
        if half_s.is_none() && net.alive_view_count(node) <= usize::from(size) / 2 {
            half_s = Some(net.now.since(died_at).as_secs_f64());
        }
    }
    let all_s = net.now.since(died_at).as_secs_f64();
    report.add_measurement(
        &format!("{size} members"),
        json!({
            "records_missing_after_45s": missing,
            "packets_per_s": packets,
            "bytes_per_s": bytes,
            "suspected_wrongly": suspected,
            "death_known_to_half_s": half_s,
            "death_known_to_all_s": all_s,
        }),
    );
    let check =
        |label: &str, bound, value| Check::at_most(format!("{size}: {label}"), bound, value);
    report.add_check(check("dead host unusable for all, s", MAX_DETECTION_S, all_s));
    report.add_check(check("bytes/s out", MAX_BYTES_PER_SECOND, bytes));
    report.add_check(check("running nodes marked dead", 0.0, dead_record_count(&net, node) as f64));
}

/// Returns the number of records, over all nodes, in which another node is suspect. While all nodes
/// run, each of them is wrong.
fn suspect_record_count(net: &SimulatedNetwork) -> usize {
    let count = |m: &pistachiolane::membership::Members| {
        m.records().filter(|r| r.health == Health::Suspect).count()
    };
    net.nodes.values().map(count).sum()
}

/// Returns the number of records, over all nodes, in which a node other than `victim` is dead.
fn dead_record_count(net: &SimulatedNetwork, victim: u64) -> usize {
    let count = |m: &pistachiolane::membership::Members| {
        m.records().filter(|r| r.health == Health::Dead && r.node != victim).count()
    };
    net.nodes.values().map(count).sum()
}
