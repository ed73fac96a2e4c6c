//! Evacuation of availability zones by objects in the platform's store.

mod common;

use {
    common::{TestHost, configuration, start_host_in_zone, status_code},
    lab::stand_in::{Capacity, OutageKind, PlatformStandIn},
    pistachiolane::limits::ZoneEvacuation,
    serde_json::{Value, json},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Time after the acknowledgement of an evacuation from which on it must hold.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

/// Service time, long enough that a request runs while its zone is evacuated.
const SERVICE_TIME: Duration = Duration::from_millis(300);

async fn start_in_zone(store: &Arc<PlatformStandIn>, zone: &str) -> TestHost {
    let capacity = Capacity { base_service_time: SERVICE_TIME, ..Capacity::default() };
    let host = start_host_in_zone(Arc::clone(store), zone, capacity).await;
    assert_eq!(host.send_heartbeat("i-1", "ready", 1, 100).await, 200);
    host.wait_until("ready", async || host.readiness().await == 200).await;
    host
}

/// Starts a host in each of the zones `a` and `b`, both of which serve.
async fn start_pair() -> (Arc<PlatformStandIn>, TestHost, TestHost) {
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration("r7", "shop.example"));
    let (a, b) = (start_in_zone(&store, "a").await, start_in_zone(&store, "b").await);
    for host in [&a, &b] {
        host.wait_until("both upstreams known", async || {
            status(host).await["services"]["huvo"]["upstreams"] == json!(2)
        })
        .await;
        host.wait_until("zone in service", async || serves(host).await).await;
    }
    (store, a, b)
}

async fn status(host: &TestHost) -> Value {
    let text = host.http.get(&format!("http://{}/status", host.admin)).await.unwrap();
    serde_json::from_str(&text).unwrap()
}

async fn zones(host: &TestHost) -> Value {
    status(host).await["evacuations"]["zones"].clone()
}

/// Whether a request sent to a host reaches the host's own upstream.
async fn serves(host: &TestHost) -> bool {
    let before = host.upstream.executed().len();
    host.send_request("GET", "/sizing/ok", "s").await;
    host.upstream.executed().len() > before
}

/// Waits until a set of zones is in force on all hosts, within the limit.
async fn wait_until_in_force(hosts: &[&TestHost], expected: &[&str]) {
    let deadline = Instant::now() + EVACUATION_LIMIT;
    for host in hosts {
        while zones(host).await != json!(expected) {
            assert!(Instant::now() < deadline, "{:?} instead of {expected:?}", zones(host).await);
            sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Sends requests to both hosts and checks that all are answered and none reaches the upstream of `evacuated`.
async fn assert_evacuated(evacuated: &TestHost, other: &TestHost) {
    let before = evacuated.upstream.executed().len();
    for host in [evacuated, other] {
        for (method, path) in [("GET", "/sizing/ok"), ("POST", "/orders/ok")] {
            assert_eq!(status_code(&host.send_request(method, path, "e").await), 200);
        }
    }
    assert_eq!(evacuated.upstream.executed().len(), before);
}

/// Guards against new requests in an evacuated zone, a cut of running ones, a return of the zone before its upstream's
/// state is read, and a missed change when a zone is set, removed and set again.
#[tokio::test(flavor = "multi_thread")]
async fn zone_is_evacuated_and_returned() {
    let (store, a, b) = start_pair().await;
    let evacuate = async {
        a.wait_until("running", async || a.node.shared().admission.gate.running() > 0).await;
        store.write_as_operator("evacuations", "a", json!({}));
    };
    let requests = (0..6).map(|n| {
        let a = &a;
        async move { status_code(&a.send_request("POST", "/orders/ok", &format!("r{n}")).await) }
    });
    let (codes, ()) = tokio::join!(futures::future::join_all(requests), evacuate);
    assert_eq!(codes, [200; 6]);
    wait_until_in_force(&[&a, &b], &["a"]).await;
    assert_evacuated(&a, &b).await;
    assert_eq!(status(&a).await["gate"], json!({ "zone": "evacuated", "running": 0 }));

    let health_checks = a.upstream.health_checks.load(Ordering::SeqCst);
    store.delete_as_operator("evacuations", "a");
    wait_until_in_force(&[&a, &b], &[]).await;
    a.wait_until("zone in service", async || serves(&a).await).await;
    assert!(a.upstream.health_checks.load(Ordering::SeqCst) > health_checks);

    store.write_as_operator("evacuations", "a", json!({}));
    store.delete_as_operator("evacuations", "a");
    store.write_as_operator("evacuations", "a", json!({}));
    wait_until_in_force(&[&a, &b], &["a"]).await;
    sleep(Duration::from_millis(500)).await;
    assert_evacuated(&a, &b).await;

    store.write_as_operator("evacuations", "b", json!({}));
    wait_until_in_force(&[&a, &b], &["a", "b"]).await;
    let started = Instant::now();
    let refused = a.send_request("POST", "/orders/ok", "n1").await;
    assert_eq!(status_code(&refused), 503);
    assert!(refused.to_ascii_lowercase().contains("retry-after"), "{refused}");
    assert!(started.elapsed() < SERVICE_TIME, "not answered at once");
}

/// Guards against a zone that returns to service, or takes requests on a node that starts, without the store.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_holds_without_the_store() {
    let (store, a, b) = start_pair().await;
    a.outage.set(Some(OutageKind::Hang));
    store.write_as_operator("evacuations", "a", json!({}));
    wait_until_in_force(&[&a, &b], &["a"]).await;
    assert_evacuated(&a, &b).await;
    let started = start_in_zone(&store, "a").await;
    assert_evacuated(&started, &b).await;
    assert_eq!(started.upstream.executed().len(), 0);
    store.faults.down.store(true, Ordering::Relaxed);
    sleep(Duration::from_secs(1)).await;
    assert_evacuated(&a, &b).await;
}

/// Guards against a node that admits requests before it knows the evacuated zones.
#[tokio::test(flavor = "multi_thread")]
async fn gate_admits_nothing_before_it_knows_the_zones() {
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration("r7", "shop.example"));
    store.faults.down.store(true, Ordering::Relaxed);
    let host = start_host_in_zone(Arc::clone(&store), "a", Capacity::default()).await;
    assert_eq!(host.send_heartbeat("i-1", "ready", 1, 100).await, 200);
    assert!(!serves(&host).await);
    assert_eq!(status(&host).await["gate"]["zone"], json!("unknown"));
    store.faults.down.store(false, Ordering::Relaxed);
    host.wait_until("zone in service", async || serves(&host).await).await;
}

/// Guards against a gate that stays closed after a pause or a partition although a peer, or else the store, can confirm
/// that its zone is in service.
#[tokio::test(flavor = "multi_thread")]
async fn gate_that_missed_changes_asks_a_peer_or_the_store() {
    let (store, a, b) = start_pair().await;
    let lose_touch = |host: &TestHost| {
        let shared = host.node.shared();
        shared.admission.gate.zone.forget(shared.now());
        assert_eq!(shared.admission.gate.zone.get(), ZoneEvacuation::Unknown);
    };
    store.faults.down.store(true, Ordering::Relaxed);
    lose_touch(&a);
    a.wait_until("confirmed by the peer", async || serves(&a).await).await;
    store.faults.down.store(false, Ordering::Relaxed);
    assert!(b.node.stop(Duration::from_secs(5)).await);
    lose_touch(&a);
    a.wait_until("confirmed by the store", async || serves(&a).await).await;
}

/// Guards against an older set from before a store's return from an older copy: what the copy holds counts as newer, and
/// later changes as newer again.
#[tokio::test(flavor = "multi_thread")]
async fn store_from_an_older_copy_lists_the_zones_again() {
    let (store, a, b) = start_pair().await;
    store.write_as_operator("evacuations", "b", json!({}));
    wait_until_in_force(&[&a, &b], &["b"]).await;
    let copy = store.copy();
    store.delete_as_operator("evacuations", "b");
    store.write_as_operator("evacuations", "a", json!({}));
    wait_until_in_force(&[&a, &b], &["a"]).await;
    store.restore(copy);
    wait_until_in_force(&[&a, &b], &["b"]).await;
    assert_evacuated(&b, &a).await;
    store.write_as_operator("evacuations", "a", json!({}));
    wait_until_in_force(&[&a, &b], &["a", "b"]).await;
}
