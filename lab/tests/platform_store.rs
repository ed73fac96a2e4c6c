//! The platform's store turns single hosts away and serves the others.

mod common;

use {
    common::{Site, configuration, start, status},
    hyper::StatusCode,
    lab::stand_in::{OutageKind, PlatformStandIn},
    std::{sync::Arc, time::Duration},
    test_case::test_case,
    tokio::time::{Instant, sleep},
};

/// Bound on the time in which a new configuration is in force everywhere.
const PROPAGATION: Duration = Duration::from_millis(2_500);

async fn pair() -> (Arc<PlatformStandIn>, Site, Site) {
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration("r7", "shop.example"));
    let first = start(Arc::clone(&store)).await;
    let second = start(Arc::clone(&store)).await;
    for site in [&first, &second] {
        site.until("ready", async || site.readiness().await == 200).await;
    }
    let both = async || first.node.shared().metrics.members.get() == 2;
    first.until("the nodes know each other", both).await;
    (store, first, second)
}

async fn is_in_force(site: &Site, host: &str) -> bool {
    let text = format!("GET /sizing/ok HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n\r\n");
    status(&site.raw(&text).await) != 404
}

/// A node that the store turns away hears of a new configuration from its neighbours, in time.
#[test_case(OutageKind::Status(StatusCode::SERVICE_UNAVAILABLE); "service unavailable")]
#[test_case(OutageKind::Status(StatusCode::TOO_MANY_REQUESTS); "too many requests")]
#[test_case(OutageKind::Disconnect; "connections cut")]
#[test_case(OutageKind::Hang; "silence")]
#[tokio::test(flavor = "multi_thread")]
async fn configuration_reaches_a_node_turned_away(kind: OutageKind) {
    let (store, _first, second) = pair().await;
    second.outage.set(Some(kind));
    sleep(Duration::from_millis(500)).await;
    store.write_as_operator("config", "main", configuration("r9", "other.example"));
    let until = Instant::now() + PROPAGATION;
    while !is_in_force(&second, "other.example").await {
        assert!(Instant::now() < until, "not in force in time");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(!is_in_force(&second, "shop.example").await);
}

/// A node that starts while the store turns it away is not ready, and says so with a definite refusal; served again,
/// it takes part.
#[tokio::test(flavor = "multi_thread")]
async fn node_starts_turned_away() {
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration("r7", "shop.example"));
    store.faults.down.store(true, std::sync::atomic::Ordering::Relaxed);
    let site = start(Arc::clone(&store)).await;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(site.readiness().await, 503);
    assert_eq!(status(&site.call("GET", "/sizing/ok", "a1").await), 503);
    store.faults.down.store(false, std::sync::atomic::Ordering::Relaxed);
    site.until("ready", async || site.readiness().await == 200).await;
}
