//! Latency that entry and gate add to a call: direct and through the system, alternating in one run.

use {
    crate::{
        fleet::{Fleet, FleetError, MemberSpec},
        http::HttpClient,
        load::{LoadSpec, Told, one},
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

/// Rates at which both ways are measured, in requests a second.
const RATES: [u32; 3] = [200, 1_000, 3_000];

/// Time for each rate.
const DURATION: Duration = Duration::from_secs(8);

/// Service time of the upstream; none, as timers have a grain of a millisecond.
const SERVICE_TIME: Duration = Duration::ZERO;

/// Largest difference of the 99th percentiles in milliseconds.
const BOUND_MS: f64 = 1.0;

/// Runs the experiment.
///
/// # Errors
/// Fails when the fleet does not come up.
pub async fn run(seed: u64) -> Result<Report, FleetError> {
    let member = |zone| MemberSpec {
        region: "svealand",
        zone,
        behaviour: UpstreamBehaviour {
            fixed_service_time: true,
            ..UpstreamBehaviour::new("sizing", 260, SERVICE_TIME)
        },
    };
    // An entry beside no upstream of the service would need another service; two upstreams make half of
    // the calls hop, and the entry's own share is measured with them.
    let specs = vec![member("svealand-1"), member("svealand-2")];
    let root = json!({ "teams": { "shop": { "services": ["sizing"] } } });
    let shop = json!({ "services": { "sizing": { "hedge": false } } });
    let fleet = Fleet::start(specs, &[("root", root), ("shop", shop)]).await?;
    let direct = fleet.members[1].upstream.address();
    let through = fleet.members[0].addresses.listen;
    let mut report = Report::new("added-latency", seed);
    for rate in RATES {
        let [direct, through] = measure(rate, [direct, through], seed).await;
        let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1_000.0;
        let quantiles = |h: &Histogram<u64>| json!({ "p50_ms": ms(h, 0.5), "p99_ms": ms(h, 0.99), "p999_ms": ms(h, 0.999), "answers": h.len() });
        report.figure(&format!("{rate}/s direct"), quantiles(&direct));
        report.figure(&format!("{rate}/s through"), quantiles(&through));
        let added = ms(&through, 0.99) - ms(&direct, 0.99);
        report.check(Check::at_most(format!("{rate}/s: p99 added, ms"), BOUND_MS, added));
        let lost = direct.len().abs_diff(through.len());
        report.check(Check::at_most(format!("{rate}/s: answers lost"), 0.0, lost as f64));
    }
    report.figure("refused", json!(fleet.counter("refused").await?));
    fleet.stop.cancel();
    Ok(report)
}

/// Sends requests to the two targets in turn.
async fn measure(rate: u32, targets: [SocketAddr; 2], seed: u64) -> [Histogram<u64>; 2] {
    let empty = || {
        Histogram::new_with_bounds(1, 60_000_000, 3)
            .unwrap_or_else(|_e| unreachable!("the bounds are valid"))
    };
    let histograms = Arc::new(Mutex::new([empty(), empty()]));
    let https = [HttpClient::new(), HttpClient::new()];
    let spec = LoadSpec {
        service: Arc::from("sizing"),
        method: Method::GET,
        path: Arc::from("/"),
        rate,
        duration: DURATION,
    };
    let tasks = TaskTracker::new();
    let start = Instant::now();
    let period = Duration::from_secs(1) / (rate * 2);
    let total = rate * 2 * DURATION.as_secs() as u32;
    for n in 0..total {
        let scheduled = start + period * n;
        sleep_until(scheduled).await;
        // The timer's grain is not the targets' doing; a late target does not hold the next request back.
        let sent = Instant::now();
        let at = (n % 2) as usize;
        let (http, spec, target) = (https[at].clone(), spec.clone(), targets[at]);
        let histograms = Arc::clone(&histograms);
        // The first second opens connections and warms both ways up.
        let measured = n >= rate * 2;
        tasks.spawn(async move {
            let told = one(&http, &spec, target, &format!("{seed}-{n}")).await;
            let us = sent.elapsed().as_micros() as u64;
            if measured && told == Told::Answer {
                let mut histograms = histograms.lock().unwrap_or_else(PoisonError::into_inner);
                histograms[at].saturating_record(us);
            }
        });
    }
    tasks.close();
    tasks.wait().await;
    let mut histograms = histograms.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::replace(&mut histograms, [empty(), empty()])
}
