//! Tests of what an upstream states about itself in its responses: the rate of requests that it accepts, and that
//! it is leaving.

mod common;

use {
    common::{TestHost, add_column, configuration, ready_host, start_host, status_code},
    lab::stand_in::PlatformStandIn,
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Limit that the upstream states, in requests per second.
const STATED_LIMIT: u64 = 10;

/// Span in which the arrivals at the upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Arrivals that the platform allows in a window: one and a half times the stated limit, and five requests.
const ALLOWED: usize = (STATED_LIMIT * WINDOW.as_secs() * 3 / 2 + 5) as usize;

/// Time after the first response with a limit from which the limit binds.
const GRACE: Duration = Duration::from_millis(500);

/// Interval between two requests, far below the one that the limit allows.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the largest number of requests that arrived within [`WINDOW`], not counting those before `from`.
fn most_in_window(host: &TestHost, from: Duration) -> usize {
    let arrivals: Vec<Duration> =
        host.upstream.executed().iter().map(|r| r.at).filter(|at| *at >= from).collect();
    let in_window = |start: &Duration| {
        arrivals.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or(0)
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

/// Guards against sending an upstream more requests a second than it states to accept (LIMIT), and against leaving
/// it idle or limited once it states a limit no longer.
#[tokio::test(flavor = "multi_thread")]
async fn stated_limit_bounds_requests_until_it_ends() {
    let host = Arc::new(ready_host().await);
    host.upstream.state(&format!("server-limit: {STATED_LIMIT}.0"));
    assert_eq!(status_code(&host.send_request("GET", "/sizing/ok", "first").await), 200);
    let from = host.upstream.age() + GRACE;
    let codes = send_steadily(&host, GRACE + WINDOW + WINDOW / 2).await;
    assert!(codes.iter().all(|code| matches!(code, 200 | 503)), "{codes:?}");
    let most = most_in_window(&host, from);
    assert!(most <= ALLOWED, "{most} requests in {WINDOW:?}, {ALLOWED} allowed");
    let least = STATED_LIMIT * WINDOW.as_secs() / 2;
    assert!(most as u64 >= least, "only {most} requests in {WINDOW:?}");
    host.upstream.state("");
    let is_unlimited = async || {
        let codes = send_steadily(&host, Duration::from_millis(500)).await;
        codes.iter().all(|code| *code == 200)
    };
    host.wait_until("no limit", is_unlimited).await;
}

/// Guards against new work for an upstream that states to be leaving, before or without an announcement (DRAIN).
/// Its later announcements as ready don't bring work back; its next incarnation does.
#[tokio::test(flavor = "multi_thread")]
async fn stated_leaving_ends_new_requests() {
    let host = ready_host().await;
    host.upstream.state("server-leaving: 1");
    assert_eq!(status_code(&host.send_request("POST", "/orders/ok", "a1").await), 200);
    for n in 2..5 {
        assert_eq!(
            status_code(&host.send_request("POST", "/orders/ok", &format!("a{n}")).await),
            503
        );
    }
    assert_eq!(host.send_heartbeat("i-1", "ready", 2, 100).await, 200);
    assert_eq!(status_code(&host.send_request("GET", "/sizing/ok", "a5").await), 503);
    assert_eq!(host.upstream.executed().len(), 1);
    host.upstream.state("");
    assert_eq!(host.send_heartbeat("i-1", "ready", 1, 200).await, 200);
    let is_served =
        async || status_code(&host.send_request("GET", "/sizing/ok", "a6").await) == 200;
    host.wait_until("work for the next incarnation", is_served).await;
}

/// Guards against new work for a leaving upstream after the node beside it was restarted and has seen no response of
/// it yet (DRAIN).
#[tokio::test(flavor = "multi_thread")]
async fn stated_leaving_is_read_before_the_first_request() {
    let running = ready_host().await;
    let host = start_host(Arc::clone(&running.store)).await;
    host.wait_until("ready", async || host.readiness().await == 200).await;
    host.upstream.state("server-leaving: 1");
    assert_eq!(host.send_heartbeat("i-1", "ready", 1, 100).await, 200);
    for n in 0..5 {
        host.send_request("GET", "/sizing/ok", &format!("a{n}")).await;
    }
    assert_eq!(host.upstream.executed().len(), 0);
}

/// Guards against the usual load at an upstream that restarts under the same instance id and is cold, also after a late
/// announcement from before the restart, and against a limit without a cold phase or after it. A second may have
/// `warmup_overage` 1.5 times the rate and `warmup_slack` 8 arrivals, health checks included.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_restarts_cold_is_sent_what_it_tolerates() {
    const RATE: usize = 20;
    let second = Duration::from_secs(1);
    let store = PlatformStandIn::new();
    let mut configuration = configuration("r7", "shop.example");
    add_column(&mut configuration, "services", "warmup_per_s", &json!(RATE));
    store.write_as_operator("config", "main", configuration);
    let host = Arc::new(start_host(store).await);
    assert_eq!(host.send_heartbeat("i-1", "ready", 1, 100).await, 200);
    host.wait_until("ready", async || host.readiness().await == 200).await;
    send_steadily(&host, second / 4).await;
    host.upstream.restart(Duration::ZERO);
    let is_unlimited = async || send_steadily(&host, second / 4).await.iter().all(|c| *c == 200);
    host.wait_until("end of the assumption", is_unlimited).await;
    let restarted_at = host.upstream.age();
    host.upstream.restart(second * 5);
    let mut codes = send_steadily(&host, second).await;
    assert_eq!(host.send_heartbeat("i-1", "ready", 2, 100).await, 200);
    codes.extend(send_steadily(&host, second * 2).await);
    let arrivals = host.upstream.arrivals_from(restarted_at);
    let in_second =
        |from: &Duration| arrivals.iter().filter(|at| (*from..*from + second).contains(at)).count();
    let most = arrivals.iter().map(in_second).max().unwrap_or(0);
    assert!(most <= RATE * 3 / 2 + 8, "{most} requests in a second");
    assert!(arrivals.len() >= RATE * 2, "only {} requests in 3 s", arrivals.len());
    assert!(codes.iter().all(|code| matches!(code, 200 | 502 | 503 | 504)), "{codes:?}");
    host.wait_until("end of the cold phase", is_unlimited).await;
}
