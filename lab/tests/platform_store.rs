//! Store outages that affect only some hosts.

mod common;

use {
    common::{TestHost, configuration, start_host, status_code},
    hyper::StatusCode,
    lab::stand_in::{OutageKind, PlatformStandIn},
    std::{sync::Arc, time::Duration},
    test_case::test_case,
    tokio::time::{Instant, sleep},
};

/// Time limit within which a new configuration must be in force on all nodes.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(2_500);

/// Starts two ready nodes that are members of the same fleet.
async fn start_pair() -> (Arc<PlatformStandIn>, TestHost, TestHost) {
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration("r7", "shop.example"));
    let first = start_host(Arc::clone(&store)).await;
    let second = start_host(Arc::clone(&store)).await;
    for host in [&first, &second] {
        host.wait_until("ready", async || host.readiness().await == 200).await;
    }
    let both_are_members = async || first.node.shared().metrics.members.get() == 2;
    first.wait_until("both nodes in the member list", both_are_members).await;
    (store, first, second)
}

/// Whether the configuration in force on a host has routes for a host name.
async fn is_in_force(host: &TestHost, host_name: &str) -> bool {
    let text = format!("GET /sizing/ok HTTP/1.1\r\nhost: {host_name}\r\nconnection: close\r\n\r\n");
    status_code(&host.send_raw(&text).await) != 404
}

/// A node whose store calls fail receives a new configuration from its peers, within the time
/// limit.
#[test_case(OutageKind::Status(StatusCode::SERVICE_UNAVAILABLE); "service unavailable")]
#[test_case(OutageKind::Status(StatusCode::TOO_MANY_REQUESTS); "too many requests")]
#[test_case(OutageKind::Disconnect; "connections closed")]
#[test_case(OutageKind::Hang; "no responses")]
#[tokio::test(flavor = "multi_thread")]
async fn configuration_reaches_node_without_store(kind: OutageKind) {
    let (store, _first, second) = start_pair().await;
    second.outage.set(Some(kind));
    sleep(Duration::from_millis(500)).await;
    store.write_as_operator("config", "main", configuration("r9", "other.example"));
    let deadline = Instant::now() + PROPAGATION_LIMIT;
    while !is_in_force(&second, "other.example").await {
        assert!(Instant::now() < deadline, "not in force in time");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(!is_in_force(&second, "shop.example").await);
}

/// A node that starts during a store outage is not ready and rejects requests with status 503,
/// which means that they did not run. It becomes ready once the store is available again.
#[tokio::test(flavor = "multi_thread")]
async fn node_started_during_store_outage_is_not_ready() {
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration("r7", "shop.example"));
    store.faults.down.store(true, std::sync::atomic::Ordering::Relaxed);
    let host = start_host(Arc::clone(&store)).await;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(host.readiness().await, 503);
    assert_eq!(status_code(&host.send_request("GET", "/sizing/ok", "a1").await), 503);
    store.faults.down.store(false, std::sync::atomic::Ordering::Relaxed);
    host.wait_until("ready", async || host.readiness().await == 200).await;
}
