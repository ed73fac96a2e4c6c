//! A rolling graceful stop of every node under load, long downloads included.

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

/// Time for which requests are sent.
const DURATION: Duration = Duration::from_secs(30);

/// Longest graceful stop.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Time between two stops, for the replacement to be found.
const PAUSE: Duration = Duration::from_millis(700);

/// Runs the experiment.
///
/// # Errors
/// Fails when the fleet does not come up.
pub async fn run(seed: u64) -> Result<Report, FleetError> {
    let mut fleet = Fleet::start(demo::members(), &demo::settings()).await?;
    let entries = fleet.entries();
    let spec = |service: &str, method, path: &str, rate| LoadSpec {
        service: Arc::from(service),
        method,
        path: Arc::from(path),
        rate,
        duration: DURATION,
    };
    let streams = [
        ("lookups", spec("sizing", Method::GET, "/", 300)),
        ("orders", spec("orders", Method::POST, "/", 100)),
        ("downloads", spec("sizing", Method::GET, "/long", 3)),
    ];
    let loads = streams
        .map(|(name, spec)| (name, tokio::spawn(load::run(spec, Arc::clone(&entries), seed))));
    let mut whole = true;
    let count = fleet.members.len();
    for at in 0..count {
        sleep(PAUSE).await;
        whole &= replace(&mut fleet, at, &entries).await?;
    }
    let mut report = Report::new("drain", seed);
    let mut results = Vec::new();
    for (name, load) in loads {
        let result = load.await.map_err(|e| FleetError::NotReady(e.to_string()))?;
        demo::add_stream_measurements(&mut report, name, &result);
        results.push(result);
    }
    let runs = fleet.runs();
    let all: Vec<_> = results.iter().collect();
    demo::add_guarantee_checks(&mut report, &all, &results[1], &runs, whole);
    let failed: u64 = results.iter().map(|r| r.counts.sent - r.counts.answers).sum();
    report.add_check(Check::at_most("requests without an answer", 0.0, failed as f64));
    report.add_measurement("nodes_stopped", json!(count));
    fleet.stop.cancel();
    Ok(report)
}

/// Starts a new node with its upstream, then stops an old one.
async fn replace(
    fleet: &mut Fleet,
    at: usize,
    entries: &load::Entries,
) -> Result<bool, FleetError> {
    let spec = fleet.members[at].spec.clone();
    fleet.add_member(spec).await?;
    fleet.wait_until_ready().await?;
    if let Some(member) = fleet.members.last() {
        let listen = member.addresses.listen;
        entries.write().unwrap_or_else(PoisonError::into_inner).push(listen);
    }
    Ok(fleet.stop_node(at, entries, STOP_LIMIT).await)
}
