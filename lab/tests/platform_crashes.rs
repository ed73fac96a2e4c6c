//! Tests of requests that crash the upstreams that run them.

mod common;

use {
    common::{TestHost, configuration, start_host, start_host_with_capacity, status_code},
    lab::stand_in::{Capacity, PlatformStandIn},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Number of hosts, more than a request may crash.
const HOSTS: usize = 9;

/// Number of upstreams that a request crashes before it counts as the cause.
const CRASHES: usize = 3;

/// Time after the last of these crashes within which all nodes refuse the request.
const PROPAGATION: Duration = Duration::from_secs(4);

/// Arrivals at upstreams that the platform allows after that time.
const ALLOWED_LATER: usize = 3;

/// Path of a request that crashes the upstream that runs it.
const CRASHING_PATH: &str = "/sizing/crash";

/// Starts hosts that form a fleet, and waits until each of them is ready and serves requests.
async fn start_fleet() -> Vec<TestHost> {
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration("r7", "shop.example"));
    let mut hosts = Vec::new();
    for _ in 0..HOSTS {
        let capacity =
            Capacity { base_service_time: Duration::from_millis(20), ..Capacity::default() };
        let host = start_host_with_capacity(Arc::clone(&store), capacity).await;
        assert_eq!(host.send_heartbeat("i-1", "ready", 1, 100).await, 200);
        hosts.push(host);
    }
    for host in &hosts {
        host.wait_until("ready", async || host.readiness().await == 200).await;
        let sees_all =
            async || usize::try_from(host.node.shared().metrics.members.get()) == Ok(HOSTS);
        host.wait_until("all members", sees_all).await;
    }
    hosts
}

fn crashed(hosts: &[TestHost]) -> usize {
    hosts.iter().filter(|host| host.upstream.is_stopped()).count()
}

/// Sends the crashing request to one host after the other, and returns once it crashed `count` upstreams.
async fn crash(hosts: &[TestHost], count: usize) {
    let deadline = Instant::now() + PROPAGATION;
    for (n, host) in hosts.iter().cycle().enumerate() {
        assert!(Instant::now() < deadline, "{} upstreams crashed", crashed(hosts));
        host.send_request("GET", CRASHING_PATH, &format!("c{n}")).await;
        if crashed(hosts) >= count {
            return;
        }
    }
}

/// Sends the crashing request to every host, and returns the status codes.
async fn repeat_at_all(hosts: &[TestHost]) -> Vec<u16> {
    let mut codes = Vec::new();
    for (n, host) in hosts.iter().enumerate() {
        codes.push(status_code(&host.send_request("GET", CRASHING_PATH, &format!("d{n}")).await));
    }
    codes
}

/// Guards against a request that ends one upstream after the other (BUDGET): after three, no node sends it on, its callers
/// are told at once that it has not run, and all other requests are served.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashed_three_upstreams_is_refused_everywhere() {
    let hosts = start_fleet().await;
    crash(&hosts, CRASHES).await;
    sleep(PROPAGATION).await;
    let before = crashed(&hosts);
    let codes = repeat_at_all(&hosts).await;
    let later = crashed(&hosts) - before;
    assert!(later <= ALLOWED_LATER, "{later} upstreams crashed later, {codes:?}");
    assert!(codes.iter().all(|code| *code == 503), "{codes:?}");
    for (n, host) in hosts.iter().enumerate() {
        let response = host.send_request("GET", "/sizing/ok", &format!("e{n}")).await;
        assert_eq!(status_code(&response), 200, "{response}");
    }
}

/// Guards against a node that starts later and sends on what the others refuse (BUDGET).
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashed_three_upstreams_is_refused_by_a_new_node() {
    let hosts = start_fleet().await;
    crash(&hosts, CRASHES).await;
    sleep(PROPAGATION).await;
    let before = crashed(&hosts);
    let new = start_host(Arc::clone(&hosts[0].store)).await;
    new.wait_until("ready", async || new.readiness().await == 200).await;
    for n in 0..HOSTS {
        let response = new.send_request("GET", CRASHING_PATH, &format!("d{n}")).await;
        assert_eq!(status_code(&response), 503, "{response}");
    }
    assert_eq!(crashed(&hosts), before);
}
