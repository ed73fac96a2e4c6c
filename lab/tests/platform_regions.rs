//! Tests of routes whose requests may run only in some regions.

mod common;

use {
    common::{TestHost, add_column, configuration, start_host_in_region, status_code},
    lab::stand_in::{Capacity, PlatformStandIn},
    serde_json::json,
    std::{sync::Arc, time::Duration},
    test_case::test_case,
    tokio::task::JoinSet,
};

/// Regions of the hosts; only the first may run requests.
const REGIONS: [&str; 3] = ["svealand", "svealand", "almaty"];

/// Time after which the entry no longer counts refusals, with a margin.
const THROTTLE_WINDOW: Duration = Duration::from_millis(1_200);

async fn start_fleet() -> Vec<Arc<TestHost>> {
    let store = PlatformStandIn::new();
    let mut configuration = configuration("r7", "shop.example");
    add_column(&mut configuration, "routes", "allowed_regions", &json!([REGIONS[0]]));
    store.write_as_operator("config", "main", configuration);
    let mut hosts = Vec::new();
    for region in REGIONS {
        let host = start_host_in_region(Arc::clone(&store), Capacity::default(), region).await;
        assert_eq!(host.send_heartbeat("i-1", "ready", 1, 100).await, 200);
        hosts.push(Arc::new(host));
    }
    for host in &hosts {
        host.wait_until("ready", async || host.readiness().await == 200).await;
        let sees_all =
            async || usize::try_from(host.node.shared().metrics.members.get()) == Ok(REGIONS.len());
        host.wait_until("all members", sees_all).await;
    }
    hosts
}

/// Sends a hundred requests to the entry of a host, twenty at once, and returns the status codes: the retry budget and the
/// delay of hedges need some traffic.
async fn send_many(host: &Arc<TestHost>, method: &'static str, path: &'static str) -> Vec<u16> {
    let mut codes = Vec::new();
    for batch in 0..5 {
        let mut calls = JoinSet::new();
        for n in 0..20 {
            let (host, id) = (Arc::clone(host), format!("{batch}-{n}"));
            calls.spawn(async move { status_code(&host.send_request(method, path, &id).await) });
        }
        codes.extend(calls.join_all().await);
    }
    codes
}

/// Guards against a request in a region that is not allowed, on its first attempt, a retry, a hedge or after the region's
/// upstreams have left, from an entry in an allowed region and from one outside.
#[test_case(0; "entry in the allowed region")]
#[test_case(2; "entry in another region")]
#[tokio::test(flavor = "multi_thread")]
async fn limited_route_stays_in_its_region(entry: usize) {
    let hosts = start_fleet().await;
    for (method, path) in [("GET", "/sizing/ok"), ("POST", "/orders/ok")] {
        let codes = send_many(&hosts[entry], method, path).await;
        assert!(codes.contains(&200), "{codes:?}");
    }
    // A slow upstream makes a hedge due, a reset a retry; a shed request is tried elsewhere. Retries would spend the budget
    // that hedges need.
    for path in ["/sizing/slow", "/sizing/reset", "/sizing/shed"] {
        // The entry rejects calls for a second after upstreams have shed most of them.
        tokio::time::sleep(THROTTLE_WINDOW).await;
        let codes = send_many(&hosts[entry], "GET", path).await;
        assert!(codes.iter().all(|code| *code >= 500), "{path}: {codes:?}");
    }
    let metrics = &hosts[entry].node.shared().metrics;
    let (retries, hedges) = (metrics.retries.get(), metrics.hedges.get());
    assert!(retries > 0 && hedges > 0, "{retries} retries, {hedges} hedges");
    assert!(hosts[..2].iter().all(|host| !host.upstream.executed().is_empty()));
    for host in &hosts[..2] {
        host.send_heartbeat("i-1", "draining", 2, 100).await;
    }
    tokio::time::sleep(THROTTLE_WINDOW).await;
    let response = hosts[entry].send_request("POST", "/orders/ok", "last").await;
    assert_eq!(status_code(&response), 503, "{response}");
    assert!(response.contains("no-upstream") && response.contains("retry-after: "), "{response}");
    assert!(hosts[2].upstream.executed().is_empty());
}
