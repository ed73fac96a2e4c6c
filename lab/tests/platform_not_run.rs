//! Non-idempotent requests that did not run are answered as such at their deadline, with `Retry-After`, so that their
//! callers may send them again.

mod common;

use {
    common::{
        TestHost, http_request, ready_host, ready_host_with_capacity, start_host, status_code,
    },
    lab::stand_in::Capacity,
    pistachiolane::{routing::RoutingTable, schema::MemberRecord},
    serde_json::json,
    std::{sync::Arc, time::Duration},
    test_case::test_case,
    tokio::{
        io::AsyncWriteExt,
        net::{TcpSocket, TcpStream},
        time::{Instant, sleep},
    },
};

/// Time budget of the requests, and the latest end of their responses: the budget plus the grace for a gate's refusal
/// and a margin for a busy machine.
const BUDGET: Duration = Duration::from_millis(300);
const LATEST: Duration = Duration::from_millis(450);

async fn send_order(host: &TestHost, id: &str) -> (String, Duration) {
    let head = http_request("POST", "/orders/ok", id, "connection: close\r\n");
    let head = head.replace("-ms: 1200", &format!("-ms: {}", BUDGET.as_millis()));
    let sent = Instant::now();
    (host.send_raw(&head).await, sent.elapsed())
}

fn assert_not_run((response, elapsed): &(String, Duration)) {
    assert_eq!(status_code(response), 503, "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert!(response.contains("pistachiolane-outcome: not-run"), "{response}");
    assert!(*elapsed < LATEST, "{elapsed:?}");
}

/// Returns the address of a listener that accepts no connection, so that connecting to it takes long.
async fn full_listener() -> (std::net::SocketAddr, Vec<TcpStream>, tokio::net::TcpListener) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut open = Vec::new();
    let limit = Duration::from_millis(100);
    while let Ok(Ok(stream)) = tokio::time::timeout(limit, TcpStream::connect(address)).await {
        open.push(stream);
    }
    (address, open, listener)
}

/// Guards against 504 for requests that waited in the queue of a gate until their deadline.
#[test_case(true; "at the local gate")]
#[test_case(false; "at the gate of another node")]
#[tokio::test(flavor = "multi_thread")]
async fn order_that_waits_until_its_deadline_is_not_run(is_local: bool) {
    let serving = ready_host_with_capacity(Capacity { slots: 1, ..Capacity::default() }).await;
    let other = start_host(Arc::clone(&serving.store)).await;
    let entry = if is_local { &serving } else { &other };
    let read = async || status_code(&entry.send_request("GET", "/sizing/ok", "a0").await) == 200;
    entry.wait_until("the first response", read).await;
    let ran_before = serving.upstream.executed().len();
    let mut slow = TcpStream::connect(serving.listen).await.unwrap();
    slow.write_all(http_request("GET", "/sizing/slow", "a1", "").as_bytes()).await.unwrap();
    let runs = || serving.upstream.executed().len() > ran_before;
    serving.wait_until("the slow request runs", async || runs()).await;
    let orders = ["b1", "b2"].map(|id| send_order(entry, id));
    for result in futures::future::join_all(orders).await {
        assert_not_run(&result);
    }
    sleep(Duration::from_millis(100)).await;
    assert_eq!(serving.upstream.executed().len(), ran_before + 1);
}

/// Guards against 504 for a request whose gate could not connect to the upstream by the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn order_without_a_connection_to_the_upstream_is_not_run() {
    let host = ready_host().await;
    let (address, _open, _listener) = full_listener().await;
    let announcement = json!({ "service": "huvo", "address": address, "zone": "a", "version": "v1", "slots": 10,
        "state": "ready", "warmup_left_s": 0, "seq": 2, "born": 100 });
    assert_eq!(host.send_announcement("i-1", "heartbeat", &announcement).await, 200);
    assert_not_run(&send_order(&host, "b1").await);
    assert!(host.upstream.executed().is_empty());
}

/// Guards against 504 for a request that waited for a connection to a gate until its deadline: the gate's address
/// accepts no connection.
#[tokio::test(flavor = "multi_thread")]
async fn order_without_a_connection_to_the_gate_is_not_run() {
    let serving = ready_host().await;
    let entry = start_host(Arc::clone(&serving.store)).await;
    let read = async || status_code(&entry.send_request("GET", "/sizing/ok", "a0").await) == 200;
    entry.wait_until("the first response", read).await;
    let ran_before = serving.upstream.executed().len();
    let (gate, _open, _listener) = full_listener().await;
    let shared = entry.node.shared();
    let table = shared.routing_table.load().service("huvo").map(Arc::clone).unwrap();
    // Another member with the address of the listener takes the place of the one that serves.
    let serving_member = &table.candidates[0].member;
    let member = MemberRecord { node: serving_member.node ^ 1, gate, ..serving_member.clone() };
    let table = RoutingTable::new(&RoutingTable::default(), &member, std::iter::once(&member));
    shared.routing_table.store(Arc::new(table));
    assert_not_run(&send_order(&entry, "b1").await);
    assert_eq!(serving.upstream.executed().len(), ran_before);
}
