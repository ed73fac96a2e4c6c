//! Replaces every node in turn and stops the old one gracefully. The load includes long downloads.

use {
    crate::{
        demo,
        fleet::{Fleet, FleetError},
        load::{self, LoadSpec},
        report::{Check, Report},
    },
    hyper::Method,
    serde_json::json,
    std::{
        sync::{Arc, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(30);

/// Time limit of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause before each replacement, in which the nodes discover the previous new member.
const REPLACEMENT_PAUSE: Duration = Duration::from_millis(700);

/// Runs the experiment.
///
/// # Errors
/// Fails if the fleet or a replacement does not become ready, or a load task panics.
pub async fn run(seed: u64) -> Result<Report, FleetError> {
    let mut fleet = Fleet::start(demo::members(), &demo::settings()).await?;
    let entries = fleet.entries();
    let spec = |service: &str, method, path: &str, rate| LoadSpec {
        service: Arc::from(service),
        method,
        path: Arc::from(path),
        rate,
        duration: LOAD_DURATION,
    };
    let streams = [
        ("lookups", spec("sizing", Method::GET, "/", 300)),
        ("orders", spec("orders", Method::POST, "/", 100)),
        ("downloads", spec("sizing", Method::GET, "/long", 3)),
    ];
    let loads = streams
        .map(|(name, spec)| (name, tokio::spawn(load::run(spec, Arc::clone(&entries), seed))));
    let mut stops_completed = true;
    let count = fleet.members.len();
    for index in 0..count {
        sleep(REPLACEMENT_PAUSE).await;
        stops_completed &= replace_member(&mut fleet, index, &entries).await?;
    }
    let mut report = Report::new("drain", seed);
    let mut results = Vec::new();
    for (name, load) in loads {
        let result = load.await.map_err(|e| FleetError::LoadTask(e.to_string()))?;
        demo::add_stream_measurements(&mut report, name, &result);
        results.push(result);
    }
    let runs = fleet.runs();
    let all: Vec<_> = results.iter().collect();
    // The second stream is that of the orders.
    demo::add_guarantee_checks(&mut report, &all, &results[1], &runs, stops_completed);
    let unanswered: u64 = results.iter().map(|r| r.counts.sent - r.counts.answers).sum();
    report.add_check(Check::at_most("requests without an answer", 0.0, unanswered as f64));
    report.add_measurement("nodes_stopped", json!(count));
    fleet.stop.cancel();
    Ok(report)
}

/// Adds a member with the specification of the one at `index`, then stops the node of the latter.
/// Returns whether all work of that node ended within `STOP_TIMEOUT`.
async fn replace_member(
    fleet: &mut Fleet,
    index: usize,
    entries: &load::Entries,
) -> Result<bool, FleetError> {
    let spec = fleet.members[index].spec.clone();
    fleet.add_member(spec).await?;
    fleet.wait_until_ready().await?;
    if let Some(member) = fleet.members.last() {
        let listen = member.addresses.listen;
        entries.write().unwrap_or_else(PoisonError::into_inner).push(listen);
    }
    Ok(fleet.stop_node(index, entries, STOP_TIMEOUT).await)
}
