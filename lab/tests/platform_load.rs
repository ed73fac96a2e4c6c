//! Upstreams of the users' platform under load: what is sent, and what is said when they are full.

mod common;

use {
    common::{Site, request, site_with, status},
    lab::stand_in::{Capacity, PLATFORM_REQUEST_ID, WhenFull},
    std::{
        collections::HashMap,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    test_case::test_case,
    tokio::{task::JoinSet, time::sleep},
};

/// Requests of a burst.
const BURST: usize = 120;

/// Time between two requests of a burst: twice of what the upstream serves.
const PAUSE: Duration = Duration::from_millis(5);

/// Four slots, slower when nearly full and by its neighbours.
fn capacity(when_full: WhenFull) -> Capacity {
    Capacity {
        slots: 4,
        queue_capacity: 2,
        base_service_time: Duration::from_millis(30),
        slowdown_percent: 150,
        max_noise_percent: 80,
        when_full,
        ..Capacity::default()
    }
}

/// Answers to a burst by request.
async fn burst(
    site: &Arc<Site>,
    method: &'static str,
    path: &'static str,
) -> HashMap<String, String> {
    let mut calls = JoinSet::new();
    for n in 0..BURST {
        let (site, id) = (Arc::clone(site), format!("b{n}"));
        calls.spawn(async move {
            let answer = site.raw(&request(method, path, &id, "connection: close\r\n")).await;
            (id, answer)
        });
        sleep(PAUSE).await;
    }
    calls.join_all().await.into_iter().collect()
}

/// Orders beyond what an upstream takes are refused by the gate: the upstream is never overfull, each order runs at
/// most once, and one that was refused with a promise never runs.
#[test_case(WhenFull::Refuse; "it refuses when full")]
#[test_case(WhenFull::Reset; "it resets when full")]
#[test_case(WhenFull::Hang; "it hangs when full")]
#[tokio::test(flavor = "multi_thread")]
async fn burst_of_orders(when_full: WhenFull) {
    let site = Arc::new(site_with(capacity(when_full)).await);
    let answers = burst(&site, "POST", "/orders/ok").await;
    let mut runs: HashMap<String, u32> = HashMap::new();
    for req in site.upstream.executed() {
        *runs.entry(req.headers[PLATFORM_REQUEST_ID].clone()).or_default() += 1;
    }
    assert_eq!(site.upstream.rejected_when_full.load(Ordering::SeqCst), 0);
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
    let mut served = 0;
    for (id, answer) in &answers {
        match status(answer) {
            200 => {
                assert!(answer.ends_with(&format!("answer to {id}")), "{answer}");
                served += 1;
            }
            503 => {
                assert!(!runs.contains_key(id), "{id} ran and was refused");
                assert!(answer.contains("retry-after: "), "{answer}");
            }
            504 => {}
            other => panic!("{other}: {answer}"),
        }
    }
    // The upstream serves at least 4 requests in 30 * 1.5 * 1.8 ms; 40 in the 600 ms of the burst is a bit over half.
    assert!(served >= 16, "{served} served");
}

/// Connections beyond the upstream's limit are never opened.
#[tokio::test(flavor = "multi_thread")]
async fn burst_within_the_connections() {
    let few = Capacity { slots: 8, max_connections: 3, ..capacity(WhenFull::Refuse) };
    let site = Arc::new(site_with(few).await);
    limit_connections(&site, 3).await;
    let answers = burst(&site, "POST", "/orders/ok").await;
    let definite = |a: &&String| matches!(status(a), 200 | 503);
    let unknown: Vec<&String> = answers.values().filter(|a| !definite(a)).collect();
    assert!(unknown.is_empty(), "a connection was reset: {unknown:?}");
    assert!(site.upstream.peak_concurrency.load(Ordering::SeqCst) <= 3);
}

/// Puts a configuration in force that names the upstreams' connections.
async fn limit_connections(site: &Site, most: u32) {
    let mut newer = common::configuration("r8", "shop.example");
    newer["services"]["rows"][0][1] = most.into();
    newer["routes"]["rows"][1][1] = "limited.example".into();
    site.store.write_as_operator("config", "main", newer);
    let probe = "GET /sizing/none HTTP/1.1\r\nhost: limited.example\r\nconnection: close\r\n\r\n";
    site.until("the limit", async || status(&site.raw(probe).await) == 200).await;
    assert_eq!(site.beat("i-1", "ready", 2, 100).await, 200);
}
