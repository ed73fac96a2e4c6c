//! Tests of the users' platform under load: the requests that reach its upstreams, and the responses that
//! callers receive when these are full.

mod common;

use {
    common::{TestHost, http_request, ready_host_with_capacity, status_code},
    lab::stand_in::{Capacity, PLATFORM_REQUEST_ID, WhenFull},
    std::{
        collections::HashMap,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    test_case::test_case,
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Number of requests in a burst.
const BURST: usize = 120;

/// Interval between two requests of a burst, which is about twice the rate that the upstream serves.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the capacity of an upstream with four slots that is slower when it is nearly full and when other
/// tenants use its host.
fn capacity(when_full: WhenFull) -> Capacity {
    Capacity {
        slots: 4,
        queue_capacity: 2,
        base_service_time: Duration::from_millis(30),
        slowdown_percent: 150,
        max_added_slowness_percent: 80,
        when_full,
        ..Capacity::default()
    }
}

/// Sends a burst and returns the responses by request ID.
async fn send_burst(
    site: &Arc<TestHost>,
    method: &'static str,
    path: &'static str,
) -> HashMap<String, String> {
    let mut calls = JoinSet::new();
    for n in 0..BURST {
        let (site, id) = (Arc::clone(site), format!("b{n}"));
        calls.spawn(async move {
            let response =
                site.send_raw(&http_request(method, path, &id, "connection: close\r\n")).await;
            (id, response)
        });
        sleep(REQUEST_INTERVAL).await;
    }
    calls.join_all().await.into_iter().collect()
}

/// Guards against overloading an upstream and against wrong outcomes under load: the gate never exceeds the
/// upstream's capacity, each order runs at most once, and an order that was rejected as not run never runs.
#[test_case(WhenFull::Refuse; "it refuses when full")]
#[test_case(WhenFull::Reset; "it resets when full")]
#[test_case(WhenFull::Hang; "it hangs when full")]
#[tokio::test(flavor = "multi_thread")]
async fn orders_in_burst(when_full: WhenFull) {
    let site = Arc::new(ready_host_with_capacity(capacity(when_full)).await);
    let responses = send_burst(&site, "POST", "/orders/ok").await;
    let mut runs: HashMap<String, u32> = HashMap::new();
    for req in site.upstream.executed() {
        *runs.entry(req.headers[PLATFORM_REQUEST_ID].clone()).or_default() += 1;
    }
    assert_eq!(site.upstream.rejected_when_full.load(Ordering::SeqCst), 0);
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
    let mut served = 0;
    for (id, response) in &responses {
        match status_code(response) {
            200 => {
                assert!(response.ends_with(&format!("answer to {id}")), "{response}");
                served += 1;
            }
            503 => {
                assert!(!runs.contains_key(id), "{id} ran although it was rejected as not run");
                assert!(response.contains("retry-after: "), "{response}");
            }
            504 => {}
            other => panic!("unexpected status {other}: {response}"),
        }
    }
    // The upstream serves at least 4 requests in 30 * 1.5 * 1.8 = 81 ms, so 29 in the 600 ms of the burst. 16
    // are a bit over half of that.
    assert!(served >= 16, "only {served} requests served");
}

/// Connections beyond the upstream's limit are never opened.
#[tokio::test(flavor = "multi_thread")]
async fn burst_within_connection_limit() {
    let limited_capacity = Capacity { slots: 8, max_connections: 3, ..capacity(WhenFull::Refuse) };
    let site = Arc::new(ready_host_with_capacity(limited_capacity).await);
    limit_connections(&site, 3).await;
    let responses = send_burst(&site, "POST", "/orders/ok").await;
    let is_definite = |response: &&String| matches!(status_code(response), 200 | 503);
    let unknown: Vec<&String> =
        responses.values().filter(|response| !is_definite(response)).collect();
    assert!(unknown.is_empty(), "a connection was reset: {unknown:?}");
    assert!(site.upstream.peak_concurrency.load(Ordering::SeqCst) <= 3);
}

/// Activates a configuration that limits the connections to an upstream.
async fn limit_connections(site: &TestHost, max_connections: u32) {
    let mut configuration = common::configuration("r8", "shop.example");
    configuration["services"]["rows"][0][1] = max_connections.into();
    configuration["routes"]["rows"][1][1] = "limited.example".into();
    site.store.write_as_operator("config", "main", configuration);
    let raw_request =
        "GET /sizing/none HTTP/1.1\r\nhost: limited.example\r\nconnection: close\r\n\r\n";
    site.wait_until("the connection limit", async || {
        status_code(&site.send_raw(raw_request).await) == 200
    })
    .await;
    assert_eq!(site.send_heartbeat("i-1", "ready", 2, 100).await, 200);
}

/// Guards against giving away the slot of a request that a caller has left while the upstream still runs it.
#[tokio::test(flavor = "multi_thread")]
async fn left_requests_keep_their_slots() {
    let capacity = Capacity {
        queue_capacity: 0,
        notices_disconnects: false,
        max_added_slowness_percent: 0,
        ..capacity(WhenFull::Refuse)
    };
    let site = Arc::new(ready_host_with_capacity(capacity).await);
    for n in 0..4 {
        let req = http_request("GET", "/sizing/ok", &format!("w{n}"), "connection: close\r\n");
        assert_eq!(status_code(&site.send_raw(&req).await), 200);
    }
    let mut calls = JoinSet::new();
    for n in 0..BURST {
        let site = Arc::clone(&site);
        let patience = Duration::from_millis(if n % 2 == 0 { 10 } else { 2_000 });
        calls.spawn(async move {
            let req = http_request("GET", "/sizing/ok", &format!("b{n}"), "connection: close\r\n");
            timeout(patience, site.send_raw(&req)).await.is_ok()
        });
        sleep(REQUEST_INTERVAL).await;
    }
    let responses = calls.join_all().await;
    assert!(responses.contains(&true) && responses.contains(&false));
    assert_eq!(site.upstream.rejected_when_full.load(Ordering::SeqCst), 0);
}
