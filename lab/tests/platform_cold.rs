//! Tests of upstreams that are cold: they tolerate only a few requests a second.

mod common;

use {
    common::{TestHost, add_column, configuration, start_host_with_capacity, status_code},
    lab::stand_in::{Capacity, PlatformStandIn},
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Requests per second that the upstream tolerates while cold.
const WARM_UP_RATE: u64 = 20;

/// Arrivals in a second that the platform allows: `warmup_overage` times the rate, and `warmup_slack`.
const ALLOWED: usize = (WARM_UP_RATE * 3 / 2 + 8) as usize;

/// Interval between two requests, a tenth of the one that the rate allows.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

const SECOND: Duration = Duration::from_secs(1);

/// Returns a host that serves, whose upstream has a limit for the time in which it is cold.
async fn ready_host() -> Arc<TestHost> {
    let store = PlatformStandIn::new();
    let mut configuration = configuration("r7", "shop.example");
    add_column(&mut configuration, "services", "warmup_per_s", &json!(WARM_UP_RATE));
    store.write_as_operator("config", "main", configuration);
    let capacity = Capacity { base_service_time: Duration::from_millis(10), ..Capacity::default() };
    let host = start_host_with_capacity(store, capacity).await;
    assert_eq!(host.send_heartbeat("i-1", "ready", 1, 100).await, 200);
    host.wait_until("ready", async || host.readiness().await == 200).await;
    Arc::new(host)
}

/// Sends requests at a steady rate for `duration`, and returns the status codes of the responses.
async fn send_steadily(host: &Arc<TestHost>, duration: Duration) -> Vec<u16> {
    let mut calls = JoinSet::new();
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let (host, id) = (Arc::clone(host), format!("r{}", calls.len()));
        calls.spawn(async move { status_code(&host.send_request("GET", "/sizing/ok", &id).await) });
        sleep(REQUEST_INTERVAL).await;
    }
    calls.join_all().await
}

fn most_in_a_second(arrivals: &[Duration]) -> usize {
    let in_window =
        |from: &Duration| arrivals.iter().filter(|at| (*from..*from + SECOND).contains(at)).count();
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against the usual load at an upstream that restarts under the same instance id and is cold, before and after
/// late announcements from before the restart.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_restarts_cold_is_sent_what_it_tolerates() {
    let host = ready_host().await;
    let codes = send_steadily(&host, SECOND / 2).await;
    assert!(codes.iter().all(|code| *code == 200), "{codes:?}");
    let load = tokio::spawn({
        let host = Arc::clone(&host);
        async move { send_steadily(&host, SECOND * 4).await }
    });
    sleep(SECOND / 4).await;
    let restarted_at = host.upstream.age();
    host.upstream.restart(SECOND * 5);
    sleep(SECOND).await;
    // Sent before the restart, delivered late: it states that the upstream isn't cold.
    assert_eq!(host.send_heartbeat("i-1", "ready", 2, 100).await, 200);
    let codes = load.await.unwrap();
    let arrivals = host.upstream.arrivals_from(restarted_at);
    let most = most_in_a_second(&arrivals);
    assert!(most <= ALLOWED, "{most} requests in a second, {ALLOWED} allowed");
    let least = WARM_UP_RATE as usize * 3;
    assert!(arrivals.len() >= least, "{} requests, {least} expected", arrivals.len());
    assert!(codes.iter().all(|code| matches!(code, 200 | 502 | 503 | 504)), "{codes:?}");
    let is_unlimited = async || {
        let codes = send_steadily(&host, SECOND / 4).await;
        codes.iter().all(|code| *code == 200)
    };
    host.wait_until("end of the cold phase", is_unlimited).await;
}

/// Guards against an assumption that outlives its cause: connections broke, but the upstream is not cold.
#[tokio::test(flavor = "multi_thread")]
async fn assumption_ends_with_a_health_response() {
    let host = ready_host().await;
    for n in 0..5 {
        host.upstream.restart(Duration::ZERO);
        sleep(Duration::from_millis(300)).await;
        let codes = send_steadily(&host, SECOND / 4).await;
        assert!(codes.iter().all(|code| *code == 200), "after restart {n}: {codes:?}");
    }
    let metrics = &host.node.shared().metrics;
    let assumed = pistachiolane::metrics::Metrics::get(&metrics.upstream_cold, "lost-connection");
    assert!(assumed >= 4, "assumed cold {assumed} times after 5 restarts");
}
