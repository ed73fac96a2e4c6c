//! Demonstration: two regions, two services, six upstreams, ten seconds of load and two faults. The
//! faults are the graceful stop of a node and an upstream that fails all its requests.

use {
    crate::{
        fleet::{Fleet, FleetError, MemberSpec},
        load::{self, LoadResult, LoadSpec, RequestOutcome},
        report::{Check, Report},
        stand_in::UpstreamBehaviour,
    },
    hyper::Method,
    serde_json::{Value, json},
    std::{
        collections::HashMap,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(10);

/// Rate of the lookups (GET, idempotent), in requests per second.
const LOOKUP_RATE: u32 = 400;

/// Rate of the orders (POST, not idempotent), in requests per second.
const ORDER_RATE: u32 = 100;

/// Time limit of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the members of the demonstration fleet.
pub fn members() -> Vec<MemberSpec> {
    let locations =
        [("svealand", "svealand-1"), ("svealand", "svealand-2"), ("gotaland", "gotaland-1")];
    let services = [("sizing", 10), ("orders", 15)];
    services
        .iter()
        .flat_map(|&(service, mean_ms)| {
            locations.iter().map(move |&(region, zone)| MemberSpec {
                region,
                zone,
                behaviour: UpstreamBehaviour::new(service, 13, Duration::from_millis(mean_ms)),
            })
        })
        .collect()
}

/// Returns the settings of the demonstration fleet by subtree.
pub fn settings() -> Vec<(&'static str, Value)> {
    let parse = |text: &str| serde_json::from_str(text).unwrap_or_default();
    let root = parse(include_str!("../examples/demo-root.json"));
    let shop = parse(include_str!("../examples/demo-shop.json"));
    vec![("root", root), ("shop", shop)]
}

/// Runs the demonstration.
///
/// # Errors
/// Fails if the fleet does not become ready, or a node does not respond.
pub async fn run(seed: u64) -> Result<Report, FleetError> {
    let mut fleet = Fleet::start(members(), &settings()).await?;
    let entries = fleet.entries();
    let lookups = tokio::spawn(load::run(
        load_spec("sizing", Method::GET, LOOKUP_RATE),
        Arc::clone(&entries),
        seed,
    ));
    let orders = tokio::spawn(load::run(
        load_spec("orders", Method::POST, ORDER_RATE),
        Arc::clone(&entries),
        seed,
    ));
    sleep(LOAD_DURATION / 3).await;
    // Member 3 has the first upstream of `orders`.
    let stop_completed = fleet.stop_node(3, &entries, STOP_TIMEOUT).await;
    sleep(LOAD_DURATION / 6).await;
    // Member 1 has the second upstream of `sizing`.
    fleet.members[1].upstream.failing.store(true, Ordering::Relaxed);
    let (Ok(lookups), Ok(orders)) = (lookups.await, orders.await) else {
        return Err(FleetError::LoadTask("a task panicked".to_owned()));
    };
    let runs = fleet.runs();
    let mut report = Report::new("demo", seed);
    add_stream_measurements(&mut report, "lookups", &lookups);
    add_stream_measurements(&mut report, "orders", &orders);
    add_guarantee_checks(&mut report, &[&lookups, &orders], &orders, &runs, stop_completed);
    for name in [
        "attempts",
        "refused",
        "hedges",
        "hedges_won",
        "retries",
        "lost",
        "probes",
        "ejections",
        "settled",
        "remote_packet_bytes_sent",
        "packet_bytes_sent",
        "malformed",
    ] {
        report.add_measurement(name, json!(fleet.counter(name).await?));
    }
    report.add_measurement("paid_bytes_budgeted", json!(fleet.inter_region_bytes_granted().await?));
    report.add_measurement("platform", json!(fleet.platform.counts()));
    fleet.stop.cancel();
    Ok(report)
}

fn load_spec(service: &str, method: Method, rate: u32) -> LoadSpec {
    let (service, path) = (Arc::from(service), Arc::from("/"));
    LoadSpec { service, method, path, rate, duration: LOAD_DURATION }
}

/// Adds the counts and latency percentiles of one stream of requests to the report.
pub fn add_stream_measurements(report: &mut Report, name: &str, result: &LoadResult) {
    report.add_measurement(name, json!(result.counts));
    let quantiles = json!({
        "p50_ms": result.quantile_ms(0.5),
        "p99_ms": result.quantile_ms(0.99),
        "p999_ms": result.quantile_ms(0.999),
    });
    report.add_measurement(&format!("{name}_latency"), quantiles);
}

/// Adds the checks of the guarantees that must hold in every run.
///
/// `results` are those of all streams, including `orders`, the stream that is not idempotent.
/// `runs` is the number of runs of each request over all upstreams, by request id.
pub fn add_guarantee_checks(
    report: &mut Report,
    results: &[&LoadResult],
    orders: &LoadResult,
    runs: &HashMap<String, u32>,
    stop_completed: bool,
) {
    let sum = |f: fn(&LoadResult) -> u64| results.iter().map(|r| f(r)).sum::<u64>();
    let duplicate_runs =
        orders.outcomes.iter().filter(|(id, _)| runs.get(id).is_some_and(|&n| n > 1)).count();
    let false_not_run = results
        .iter()
        .flat_map(|r| &r.outcomes)
        .filter(|(id, outcome)| {
            matches!(outcome, RequestOutcome::NotRun(_)) && runs.contains_key(id)
        })
        .count();
    report.add_check(Check::at_most("doubled orders", 0.0, duplicate_runs as f64));
    report.add_check(Check::at_most("false not run", 0.0, false_not_run as f64));
    report.add_check(Check::at_most(
        "mismatched responses",
        0.0,
        sum(|r| r.counts.mismatched) as f64,
    ));
    report.add_check(Check::at_most(
        "requests without a complete response",
        0.0,
        sum(|r| r.counts.incomplete) as f64,
    ));
    report.add_check(Check::at_most("requests unknown", 0.0, sum(|r| r.counts.unknown) as f64));
    report.add_check(Check::at_least(
        "graceful stop completed",
        1.0,
        f64::from(u8::from(stop_completed)),
    ));
    let violations = pistachiolane::invariants::violations();
    report.add_check(Check::at_most("invariants violated", 0.0, violations as f64));
}
