//! Tests of nodes over real sockets: invalid input, conflicting changes, lost responses, and
//! connections that stop delivering data.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request},
    lab::{
        demo,
        fleet::Fleet,
        http::CompleteResponse,
        load::{LoadSpec, RequestOutcome, send_request},
        relay::Relay,
    },
    serde_json::{Value, json},
    std::{sync::Arc, sync::atomic::Ordering, time::Duration},
    test_case::test_case,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpStream, UdpSocket},
    },
};

async fn start_fleet() -> Fleet {
    let mut members = demo::members();
    // One upstream of each service, in different regions.
    members = vec![members.swap_remove(0), members.swap_remove(3)];
    members[1].region = "gotaland";
    Fleet::start(members, &demo::settings()).await.unwrap()
}

async fn call(fleet: &Fleet, method: Method, host: &str, body: &str) -> CompleteResponse {
    let uri = format!("http://{}/", fleet.members[0].addresses.listen);
    let body = Full::new(Bytes::from(body.to_owned()));
    let req = Request::builder().method(method).uri(uri).header("host", host).body(body);
    fleet.http.send(req.unwrap()).await.unwrap()
}

fn header<'a>(response: &'a CompleteResponse, name: &str) -> &'a str {
    response.head.headers().get(name).map_or("", |v| v.to_str().unwrap())
}

async fn send_raw(fleet: &Fleet, text: &str) -> String {
    let mut socket = TcpStream::connect(fleet.members[0].addresses.listen).await.unwrap();
    socket.write_all(text.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let mut buf = [0; 1024];
    // Reads until the response headers are complete or the node closes the connection.
    while !response.windows(4).any(|w| w == b"\r\n\r\n") {
        match socket.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(n) => response.extend_from_slice(&buf[..n]),
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// A call to a node with the only upstream of the service runs on that upstream without a hop.
#[tokio::test(flavor = "multi_thread")]
async fn order_to_only_local_upstream_is_answered() {
    let fleet =
        Fleet::start(vec![demo::members().swap_remove(3)], &demo::settings()).await.unwrap();
    let response = call(&fleet, Method::POST, "orders", "one").await;
    assert_eq!(response.head.status(), 200, "{}", header(&response, "pistachiolane-reason"));
    assert_eq!(fleet.counter("refused").await.unwrap(), 0);
}

/// A request body that exceeds the buffer limit is streamed.
#[tokio::test(flavor = "multi_thread")]
async fn request_large_body_is_streamed() {
    let fleet = start_fleet().await;
    let response = call(&fleet, Method::POST, "orders", &"x".repeat(600_000)).await;
    assert_eq!(response.head.status(), 200);
}

/// One upstream announces more slots than it has and sheds load. Calls must go to the other one:
/// the first must not attract load by failing fast.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_sheds_does_not_attract_load() {
    let mut members = vec![demo::members().swap_remove(0), demo::members().swap_remove(1)];
    members[0].behaviour.slots = 1;
    members[0].behaviour.max_waiting = 1;
    members[0].behaviour.announced_slots = 100;
    let fleet = Fleet::start(members, &demo::settings()).await.unwrap();
    let spec = LoadSpec {
        service: Arc::from("sizing"),
        method: Method::GET,
        path: Arc::from("/"),
        rate: 200,
        duration: Duration::from_secs(3),
    };
    let result = lab::load::run(spec, fleet.entries(), 1).await;
    assert_eq!(result.counts.mismatched + result.counts.incomplete, 0);
    let answered = result.counts.answers as f64 / result.counts.sent as f64;
    println!("answered {answered}");
    assert!(answered > 0.5, "failing fast attracts load: {:?}", result.counts);
}

/// When a caller disconnects, its download is cancelled at the upstream and the slot is released.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_disconnected_caller_is_cancelled() {
    let fleet = start_fleet().await;
    let head = "GET /long HTTP/1.1\r\nhost: sizing\r\n\r\n";
    assert!(send_raw(&fleet, head).await.starts_with("HTTP/1.1 200"));
    // Longer than the download would take. `send_raw` has closed the connection.
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(fleet.members[0].upstream.completed_downloads.load(Ordering::SeqCst), 0);
    let dump = fleet.http.get(&format!("http://{}/dump", fleet.members[0].addresses.admin)).await;
    let dump: Value = serde_json::from_str(&dump.unwrap()).unwrap();
    assert_eq!(dump["gate"]["running"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_to_unknown_service_is_rejected() {
    let fleet = start_fleet().await;
    let response = call(&fleet, Method::GET, "nothing.example", "").await;
    assert_eq!(response.head.status(), 404);
    assert_eq!(header(&response, "pistachiolane-outcome"), "not-run");
    assert_eq!(header(&response, "pistachiolane-reason"), "unknown-service");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_too_large_body_is_rejected() {
    let fleet = start_fleet().await;
    let response = call(&fleet, Method::POST, "orders", &"x".repeat(2_000_000)).await;
    assert_eq!(response.head.status(), 413);
    assert_eq!(header(&response, "pistachiolane-outcome"), "not-run");
    assert!(fleet.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_invalid_or_too_large_head_is_rejected() {
    let fleet = start_fleet().await;
    assert!(send_raw(&fleet, "GET\r\n\r\n").await.starts_with("HTTP/1.1 400"));
    let head = format!("GET / HTTP/1.1\r\nhost: sizing\r\nx: {}\r\n\r\n", "y".repeat(100_000));
    assert!(send_raw(&fleet, &head).await.starts_with("HTTP/1.1 431"));
    assert_eq!(call(&fleet, Method::GET, "sizing", "").await.head.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_reserved_headers_are_ignored() {
    let fleet = start_fleet().await;
    let uri = format!("http://{}/", fleet.members[0].addresses.listen);
    let req = Request::get(uri)
        .header("host", "sizing")
        .header("pistachiolane-attempt", "AAAA")
        .header("pistachiolane-refused", "busy")
        .body(Full::new(Bytes::new()));
    let response = fleet.http.send(req.unwrap()).await.unwrap();
    assert_eq!(response.head.status(), 200);
    assert_eq!(header(&response, "pistachiolane-refused"), "");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_data_on_node_ports_is_counted() {
    let fleet = start_fleet().await;
    let addresses = fleet.members[0].addresses;
    let udp = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    udp.send_to(&[7; 300], addresses.control).await.unwrap();
    for address in [addresses.control, addresses.gate] {
        let mut tcp = TcpStream::connect(address).await.unwrap();
        let mut invalid = vec![0, 0, 0, 60];
        invalid.extend([7; 60]);
        tcp.write_all(&invalid).await.unwrap();
        let mut rest = Vec::new();
        // The node must close the connection, with an end of stream or a reset.
        let closed = tokio::time::timeout(Duration::from_secs(10), tcp.read_to_end(&mut rest));
        assert!(closed.await.is_ok(), "the node keeps a connection that sent invalid data");
    }
    for _ in 0..1_000 {
        if fleet.counter("malformed").await.unwrap() >= 3 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(fleet.counter("malformed").await.unwrap() >= 3);
    assert_eq!(call(&fleet, Method::GET, "sizing", "").await.head.status(), 200);
}

#[test_case("shop/services/orders/timeout_ms", json!(0); "out of range")]
#[test_case("shop/services/orders/colour", json!("red"); "unknown field")]
#[test_case("shop/services/secret", json!({}); "service not declared for the team")]
#[tokio::test(flavor = "multi_thread")]
async fn settings_rejection_names_the_path(path: &str, value: Value) {
    let fleet = start_fleet().await;
    let writes = fleet.platform.counts().writes;
    let uri = format!("http://{}/settings/{path}", fleet.members[0].addresses.admin);
    let response = fleet.http.send_json(Method::PUT, &uri, &value).await.unwrap();
    assert_eq!(response.head.status(), 422);
    let body: Value = serde_json::from_slice(&response.body).unwrap();
    let fault_path = body["faults"][0]["path"].as_str().unwrap();
    assert!(path.starts_with(fault_path.trim_end_matches("/colour")), "{body}");
    let writes_after = fleet.platform.counts().writes;
    assert_eq!(writes_after, writes, "nothing was written");
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_write_with_outdated_version_conflicts() {
    let fleet = start_fleet().await;
    let admin = fleet.members[1].addresses.admin;
    let uri = format!("http://{admin}/settings/shop/services/orders/timeout_ms");
    let current = fleet.http.get(&format!("http://{admin}/settings/shop")).await.unwrap();
    let current: Value = serde_json::from_str(&current).unwrap();
    let change = |value: u32| {
        let req = Request::put(&uri)
            .header("if-version", current["version"].to_string())
            .body(Full::new(Bytes::from(value.to_string())));
        fleet.http.send(req.unwrap())
    };
    assert_eq!(change(1_000).await.unwrap().head.status(), 200);
    let second = change(2_000).await.unwrap();
    assert_eq!(second.head.status(), 409);
    let body: Value = serde_json::from_slice(&second.body).unwrap();
    assert_eq!(body["current"]["services"]["orders"]["timeout_ms"], 1_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_write_with_lost_response_is_accepted() {
    let fleet = start_fleet().await;
    let admin = fleet.members[0].addresses.admin;
    let uri = format!("http://{admin}/settings/shop/services/orders/timeout_ms");
    fleet.platform.faults.lost_write_responses.store(1, Ordering::SeqCst);
    let response = fleet.http.send_json(Method::PUT, &uri, &json!(1_234)).await.unwrap();
    assert_eq!(response.head.status(), 200, "{:?}", response.body);
    let other = fleet.members[1].addresses.admin;
    let uri = format!("http://{other}/settings/shop/services/orders/timeout_ms");
    let current: Value = serde_json::from_str(&fleet.http.get(&uri).await.unwrap()).unwrap();
    assert_eq!(current["value"], 1_234, "accepted means in force in the other region");
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_write_is_rejected_while_platform_is_down() {
    let fleet = start_fleet().await;
    fleet.platform.faults.down.store(true, Ordering::SeqCst);
    let uri = format!("http://{}/settings/shop/services/orders", fleet.members[0].addresses.admin);
    let response = fleet.http.send_json(Method::PUT, &uri, &json!({})).await.unwrap();
    assert_eq!(response.head.status(), 503);
    assert_eq!(call(&fleet, Method::GET, "sizing", "").await.head.status(), 200);
}

/// An existing connection between nodes stops delivering data without being closed, while new
/// connections work.
#[tokio::test(flavor = "multi_thread")]
async fn attempt_on_silent_connection_is_settled() {
    let members = demo::members();
    let (lookup, order) = (members[0].clone(), members[3].clone());
    let mut fleet = Fleet::start(vec![lookup], &demo::settings()).await.unwrap();
    let relay = Relay::start().await.unwrap();
    fleet.add_member_behind(order, &relay).await.unwrap();
    fleet.wait_until_joined().await.unwrap();
    fleet.wait_until_ready().await.unwrap();
    let entry = fleet.members[0].addresses.listen;
    let spec = LoadSpec {
        service: Arc::from("orders"),
        method: Method::POST,
        path: Arc::from("/"),
        rate: 1,
        duration: Duration::ZERO,
    };
    assert_eq!(send_request(&fleet.http, &spec, entry, "first").await, RequestOutcome::Answer);
    relay.silence_open_connections();
    // The attempt on the silent connection never arrives. It is settled as not run, and the call can
    // run over another connection. The outcome must agree with the runs at the upstream.
    let outcome = send_request(&fleet.http, &spec, entry, "second").await;
    let runs = fleet.runs().get("second").copied().unwrap_or(0);
    let is_consistent = match outcome {
        RequestOutcome::Answer => runs == 1,
        RequestOutcome::NotRun(_) => runs == 0,
        RequestOutcome::Unknown => runs <= 1,
        _ => false,
    };
    assert!(is_consistent, "outcome {outcome:?}, {runs} runs");
    assert!(fleet.counter("settled").await.unwrap() >= 1);
    // The gate can be reached again over a new connection.
    assert_eq!(send_request(&fleet.http, &spec, entry, "third").await, RequestOutcome::Answer);
}
