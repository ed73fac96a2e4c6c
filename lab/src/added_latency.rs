//! Measures the latency that entry and gate add to a call. One run sends requests alternately to an
//! upstream directly and through an entry.

use {
    crate::{
        fleet::{Fleet, FleetError, MemberSpec},
        http::HttpClient,
        load::{LoadSpec, RequestOutcome, send_request},
        report::{Check, Report},
        stand_in::UpstreamBehaviour,
    },
    hdrhistogram::Histogram,
    hyper::Method,
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep_until},
    tokio_util::task::TaskTracker,
};

/// Request rates at which both targets are measured, in requests per second to each target.
const RATES: [u32; 3] = [200, 1_000, 3_000];

/// Duration of the load at each rate.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// Service time of the upstream. Zero, because timers only have a resolution of one millisecond.
const SERVICE_TIME: Duration = Duration::ZERO;

/// Largest allowed difference between the 99th percentiles, in milliseconds.
const MAX_ADDED_P99_MS: f64 = 1.0;

/// Runs the experiment.
///
/// # Errors
/// Fails if the fleet does not become ready, or a node does not respond.
pub async fn run(seed: u64) -> Result<Report, FleetError> {
    let member = |zone| MemberSpec {
        region: "svealand",
        zone,
        behaviour: UpstreamBehaviour {
            fixed_service_time: true,
            ..UpstreamBehaviour::new("sizing", 260, SERVICE_TIME)
        },
    };
    // Each node has an upstream of the only service, so about half of the calls take the hop to the
    // other node's gate. The results also include the latency that the entry adds without a hop.
    // Measuring an entry without a local upstream of the service would require a second service.
    let specs = vec![member("svealand-1"), member("svealand-2")];
    let root = json!({ "teams": { "shop": { "services": ["sizing"] } } });
    let shop = json!({ "services": { "sizing": { "hedge": false } } });
    let fleet = Fleet::start(specs, &[("root", root), ("shop", shop)]).await?;
    let upstream_address = fleet.members[1].upstream.address();
    let entry_address = fleet.members[0].addresses.listen;
    let mut report = Report::new("added-latency", seed);
    for rate in RATES {
        let [direct, through] = measure(rate, [upstream_address, entry_address], seed).await;
        let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1_000.0;
        let quantiles = |h: &Histogram<u64>| json!({ "p50_ms": ms(h, 0.5), "p99_ms": ms(h, 0.99), "p999_ms": ms(h, 0.999), "answers": h.len() });
        report.add_measurement(&format!("{rate}/s direct"), quantiles(&direct));
        report.add_measurement(&format!("{rate}/s through"), quantiles(&through));
        let added = ms(&through, 0.99) - ms(&direct, 0.99);
        report.add_check(Check::at_most(
            format!("{rate}/s: p99 added, ms"),
            MAX_ADDED_P99_MS,
            added,
        ));
        let answer_difference = direct.len().abs_diff(through.len());
        report.add_check(Check::at_most(
            format!("{rate}/s: answers lost"),
            0.0,
            answer_difference as f64,
        ));
    }
    report.add_measurement("refused", json!(fleet.counter("refused").await?));
    fleet.stop.cancel();
    Ok(report)
}

/// Sends requests to the two targets alternately. Returns a histogram of the latencies of each, in
/// microseconds.
async fn measure(rate: u32, targets: [SocketAddr; 2], seed: u64) -> [Histogram<u64>; 2] {
    let empty_histogram = || {
        Histogram::new_with_bounds(1, 60_000_000, 3)
            .unwrap_or_else(|_e| unreachable!("the histogram bounds are valid"))
    };
    let histograms = Arc::new(Mutex::new([empty_histogram(), empty_histogram()]));
    let clients = [HttpClient::new(), HttpClient::new()];
    let spec = LoadSpec {
        service: Arc::from("sizing"),
        method: Method::GET,
        path: Arc::from("/"),
        rate,
        duration: LOAD_DURATION,
    };
    let tasks = TaskTracker::new();
    let start = Instant::now();
    let period = Duration::from_secs(1) / (rate * 2);
    let total = rate * 2 * LOAD_DURATION.as_secs() as u32;
    for n in 0..total {
        let scheduled = start + period * n;
        sleep_until(scheduled).await;
        // Latency counts from here and not from the scheduled time, which would include the
        // inaccuracy of the timer. Each request runs in its own task, so that a slow target does
        // not delay the next request.
        let sent = Instant::now();
        let target_index = (n % 2) as usize;
        let (http, spec, target) =
            (clients[target_index].clone(), spec.clone(), targets[target_index]);
        let histograms = Arc::clone(&histograms);
        // Requests of the first second are not measured: they open the connections and warm up
        // both targets.
        let measured = n >= rate * 2;
        tasks.spawn(async move {
            let outcome = send_request(&http, &spec, target, &format!("{seed}-{n}")).await;
            let latency_us = sent.elapsed().as_micros() as u64;
            if measured && outcome == RequestOutcome::Answer {
                let mut histograms = histograms.lock().unwrap_or_else(PoisonError::into_inner);
                histograms[target_index].saturating_record(latency_us);
            }
        });
    }
    tasks.close();
    tasks.wait().await;
    let mut histograms = histograms.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::replace(&mut histograms, [empty_histogram(), empty_histogram()])
}
