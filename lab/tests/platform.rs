//! Node that uses the platform's interfaces over real sockets: configuration, callers, and an
//! upstream that returns invalid responses.

mod common;

use {
    common::{
        TestHost, WAIT_TIMEOUT, configuration, http_request, ready_host, ready_host_with_capacity,
        start_host, status_code,
    },
    lab::stand_in::{Capacity, PLATFORM_REQUEST_ID, PlatformStandIn},
    serde_json::{Value, json},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    test_case::test_case,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep, timeout},
    },
};

/// Before the first configuration, requests get status 503 and not 404, since the node cannot
/// determine yet whether a route exists.
#[tokio::test(flavor = "multi_thread")]
async fn request_before_the_first_configuration_gets_503() {
    let host = start_host(PlatformStandIn::new()).await;
    assert_eq!(host.send_heartbeat("i-1", "ready", 1, 100).await, 200);
    assert_eq!(status_code(&host.send_request("GET", "/sizing/ok", "a1").await), 503);
    assert_eq!(host.readiness().await, 503);
    host.store.write_as_operator("config", "main", configuration("r1", "shop.example"));
    host.wait_until("ready", async || host.readiness().await == 200).await;
    assert_eq!(status_code(&host.send_request("GET", "/sizing/ok", "a2").await), 200);
    assert_eq!(status_code(&host.send_request("GET", "/nothing/ok", "a3").await), 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn headers_to_the_upstream_are_set_by_the_node() {
    let host = ready_host().await;
    let forged = "x-pistachiolane-caller-service: forged\r\nx-pistachiolane-expect-instance: i-9\r\n\
        x-own: kept\r\nconnection: close, x-hop\r\nx-hop: dropped\r\n";
    let response = host.send_raw(&http_request("GET", "/sizing/ok?q=1", "a1", forged)).await;
    assert_eq!(status_code(&response), 200, "{response}");
    assert!(response.contains("x-pistachiolane-response-signature: a1.s"), "{response}");
    assert!(response.ends_with("answer to a1"), "{response}");
    let executed = host.upstream.executed();
    let [received] = executed.as_slice() else { panic!("{executed:?}") };
    assert_eq!(received.line, "GET /sizing/ok?q=1");
    let header = |name: &str| received.headers.get(name).map_or("", String::as_str);
    assert_eq!(header(PLATFORM_REQUEST_ID), "a1");
    assert_eq!(header("x-pistachiolane-caller-service"), "huvo");
    assert_eq!(header("x-pistachiolane-expect-instance"), "i-1");
    assert_eq!((header("x-own"), header("x-hop")), ("kept", ""));
    assert_eq!(header("host"), "shop.example");
    let remaining_ms: u64 = header("x-pistachiolane-deadline-ms").parse().unwrap();
    assert!((1..=1_200).contains(&remaining_ms), "{remaining_ms}");
}

/// A non-idempotent request whose response is invalid or missing runs once and is not reported to
/// its caller as not run.
#[test_case("foreign"; "mismatched response")]
#[test_case("unsigned"; "response without a signature")]
#[test_case("cut"; "truncated response")]
#[test_case("reset"; "no response")]
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_with_invalid_response_runs_once(behaviour: &str) {
    let host = ready_host().await;
    let response = host.send_request("POST", &format!("/orders/{behaviour}"), "a1").await;
    assert!(matches!(status_code(&response), 502 | 504), "{response}");
    assert!(!response.contains("another's") && !response.contains("bare"), "{response}");
    assert_eq!(host.upstream.executed().len(), 1);
    // The connection of the invalid response is not reused.
    assert_eq!(status_code(&host.send_request("POST", "/orders/ok", "a2").await), 200);
    assert_eq!(host.upstream.connections.load(Ordering::SeqCst), 2);
}

/// Two bookings share the connection between two nodes. The upstream drops one without a response,
/// which must not break off the other.
#[tokio::test(flavor = "multi_thread")]
async fn lost_response_leaves_others_on_the_hop_alone() {
    let base_service_time = Duration::from_millis(600);
    let serving = ready_host_with_capacity(Capacity { base_service_time, ..Capacity::default() });
    let serving = serving.await;
    let entry = start_host(Arc::clone(&serving.store)).await;
    entry.wait_until("ready", async || entry.readiness().await == 200).await;
    let first = async || status_code(&entry.send_request("POST", "/orders/ok", "a1").await) == 200;
    entry.wait_until("the first booking", first).await;
    let later = async {
        sleep(base_service_time / 2).await;
        entry.send_request("POST", "/orders/ok", "a3").await
    };
    let (dropped, later) = tokio::join!(entry.send_request("POST", "/orders/reset", "a2"), later);
    assert!(matches!(status_code(&dropped), 502 | 504), "{dropped}");
    assert_eq!(status_code(&later), 200, "{later}");
}

/// An upstream sends bytes until the node closes the connection. The caller gets no such byte in a
/// complete response, the connection is closed in time, and later requests are served.
#[test_case("endless-head", false; "head")]
#[test_case("endless-noise", false; "no response")]
#[test_case("endless-unsigned", false; "body of a response without a signature")]
#[test_case("endless-body", false; "body of a response with a signature")]
#[test_case("endless-extra", true; "after a response")]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_cut_off(behaviour: &str, is_answered: bool) {
    let host = ready_host().await;
    let path = format!("/sizing/{behaviour}");
    // Deadline of the request of 1.2 s, one second for a response that is late, and a margin.
    let limit = Duration::from_secs(3);
    let response = timeout(limit, host.send_request("GET", &path, "a1")).await;
    let response = response.expect("still sending");
    let is_complete = status_code(&response) == 200 && response.ends_with("0\r\n\r\n");
    let is_whole = status_code(&response) == 200 && response.ends_with("answer to a1");
    assert!(!is_complete && is_whole == is_answered, "{} bytes", response.len());
    let closed = async || host.upstream.cancelled.load(Ordering::SeqCst) >= 1;
    host.wait_until("connection closed", closed).await;
    assert_eq!(status_code(&host.send_request("GET", "/sizing/ok", "a2").await), 200);
}

/// A duplicate response on a connection is never returned to the next request.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_response_is_not_returned() {
    let host = ready_host().await;
    for n in 0..5 {
        let id = format!("a{n}");
        let response = host.send_request("POST", "/orders/extra", &id).await;
        let is_own_response =
            status_code(&response) == 200 && response.ends_with(&format!("answer to {id}"));
        assert!(is_own_response || matches!(status_code(&response), 502 | 504), "{response}");
    }
    let executed: Vec<String> =
        host.upstream.executed().iter().map(|r| r.headers[PLATFORM_REQUEST_ID].clone()).collect();
    assert_eq!(executed, ["a0", "a1", "a2", "a3", "a4"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn response_without_length_is_returned() {
    let host = ready_host().await;
    let response = host.send_request("GET", "/sizing/unframed", "a1").await;
    assert_eq!(status_code(&response), 200, "{response}");
    assert!(response.contains("body"), "{response}");
}

/// A request that the upstream refuses is reported as not run, with a `Retry-After` header.
#[tokio::test(flavor = "multi_thread")]
async fn request_refused_by_the_upstream_is_not_run() {
    let host = ready_host().await;
    let response = host.send_request("POST", "/orders/shed", "a1").await;
    assert_eq!(status_code(&response), 503, "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert!(host.upstream.executed().is_empty());
}

/// An upstream that is draining or deregistered receives no requests.
#[test_case("heartbeat", json!("draining"); "heartbeat with state draining")]
#[test_case("deregister", json!("ready"); "deregistration without draining")]
#[tokio::test(flavor = "multi_thread")]
async fn stopping_upstream_receives_no_requests(announcement_type: &str, state: Value) {
    let host = ready_host().await;
    let body = json!({ "service": "huvo", "address": host.upstream_address, "zone": "a", "version": "v1",
        "slots": 10, "state": state, "warmup_left_s": 0, "seq": 2, "born": 100 });
    assert_eq!(host.send_announcement("i-1", announcement_type, &body).await, 200);
    assert_eq!(status_code(&host.send_request("POST", "/orders/ok", "a1").await), 503);
    // A heartbeat that arrives afterwards does not make it available again.
    host.send_heartbeat("i-1", "ready", 3, 100).await;
    assert_eq!(status_code(&host.send_request("GET", "/sizing/ok", "a2").await), 503);
    assert!(host.upstream.executed().is_empty());
}

/// The address of a stopped upstream was reused by another instance: the request does not run
/// there.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_run_at_a_reused_address() {
    let host = ready_host().await;
    assert_eq!(host.send_heartbeat("i-2", "ready", 1, 200).await, 200);
    let response = host.send_request("POST", "/orders/ok", "a1").await;
    assert_eq!(status_code(&response), 503, "{response}");
    assert!(host.upstream.executed().is_empty());
}

/// A configuration with an older version than the one in force is ignored, although the store
/// reports it as a newer object.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_never_reverts() {
    let host = ready_host().await;
    host.store.write_as_operator("config", "main", configuration("r9", "other.example"));
    let old_route_removed =
        async || status_code(&host.send_request("GET", "/sizing/ok", "a").await) == 404;
    host.wait_until("the newer version", old_route_removed).await;
    host.store.write_as_operator("config", "main", configuration("r8", "shop.example"));
    // Once the later version is in force, the older one was received and ignored.
    let mut later = configuration("r10", "other.example");
    later["routes"]["rows"][0][1] = json!("late.example");
    host.store.write_as_operator("config", "main", later);
    let late_request = "GET /orders/ok HTTP/1.1\r\nhost: late.example\r\nconnection: close\r\n\r\n";
    host.wait_until("the last version", async || {
        status_code(&host.send_raw(late_request).await) == 200
    })
    .await;
    assert_eq!(status_code(&host.send_request("GET", "/sizing/ok", "a").await), 404);
}

/// When the store has discarded the watched revision, the node lists the objects again.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_listed_again_after_discarded_history() {
    let host = ready_host().await;
    host.store.faults.oldest_watch_revision.store(u64::MAX, Ordering::Relaxed);
    host.store.write_as_operator("config", "main", configuration("r9", "other.example"));
    host.store.write_as_operator("config", "main", configuration("r11", "third.example"));
    let third_request =
        "GET /sizing/ok HTTP/1.1\r\nhost: third.example\r\nconnection: close\r\n\r\n";
    host.wait_until("the newest version", async || {
        status_code(&host.send_raw(third_request).await) == 200
    })
    .await;
}

/// Pipelined idempotent requests run concurrently, and their responses keep the order of the
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_idempotent_requests_run_concurrently() {
    let host = ready_host().await;
    let mut socket = TcpStream::connect(host.listen).await.unwrap();
    let slow_request = http_request("GET", "/sizing/slow", "a1", "");
    let text = slow_request
        + &http_request("GET", "/sizing/ok", "a2", "")
        + &http_request("GET", "/sizing/ok", "a3", "");
    socket.write_all(text.as_bytes()).await.unwrap();
    host.wait_until("all three at the upstream", async || host.upstream.executed().len() >= 3)
        .await;
    let mut response = Vec::new();
    while !String::from_utf8_lossy(&response).contains("answer to a3") {
        assert_ne!(
            socket.read_buf(&mut response).await.unwrap(),
            0,
            "the node closed the connection early"
        );
    }
    let text = String::from_utf8_lossy(&response).into_owned();
    assert_eq!(status_code(&text), 504, "{text}");
    assert!(text.find("answer to a2").unwrap() < text.find("answer to a3").unwrap());
}

/// A pipelined non-idempotent request does not start before the earlier requests are answered.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_non_idempotent_request_waits_for_earlier_responses() {
    let host = ready_host().await;
    let mut socket = TcpStream::connect(host.listen).await.unwrap();
    let text = http_request("GET", "/sizing/slow", "a1", "")
        + &http_request("DELETE", "/orders/ok", "a2", "");
    socket.write_all(text.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    while !String::from_utf8_lossy(&response).contains("HTTP/1.1 504") {
        assert_eq!(
            host.upstream.executed().iter().filter(|r| r.line.contains("orders")).count(),
            0
        );
        assert_ne!(
            socket.read_buf(&mut response).await.unwrap(),
            0,
            "the node closed the connection early"
        );
    }
    host.wait_until("the non-idempotent request", async || host.upstream.executed().len() >= 2)
        .await;
}

/// When a caller disconnects, its running request is cancelled, also if pipelined data follows it.
#[test_case(""; "one request")]
#[test_case("GET /sizing/ok HTTP/1.1\r\nhost: shop.example\r\n\r\n"; "with a pipelined request")]
#[test_case("GET /sizing/ok HT"; "with an incomplete pipelined request")]
#[tokio::test(flavor = "multi_thread")]
async fn request_of_a_disconnected_caller_is_cancelled(pipelined: &str) {
    let host = ready_host().await;
    let mut socket = TcpStream::connect(host.listen).await.unwrap();
    let text = http_request("GET", "/sizing/slow", "a1", "") + pipelined;
    socket.write_all(text.as_bytes()).await.unwrap();
    // A pipelined request can start first.
    let runs = || host.upstream.executed().iter().any(|r| r.line.contains("/sizing/slow"));
    host.wait_until("the request runs", async || runs()).await;
    drop(socket);
    // Shorter than the route's timeout, which would also end the request.
    let deadline = Instant::now() + Duration::from_millis(500);
    while host.upstream.cancelled.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < deadline, "the request still runs without its caller");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Process settings are reloaded without affecting requests.
#[tokio::test(flavor = "multi_thread")]
async fn process_settings_are_reloaded() {
    let host = ready_host().await;
    let mut settings = host.node.shared().settings.clone();
    settings.tunables.retry_percent = 33;
    host.node.reload("signal", &settings);
    assert_eq!(host.node.shared().tunables.load().retry_percent, 33);
    assert_eq!(status_code(&host.send_request("GET", "/sizing/ok", "a1").await), 200);
}

/// Graceful shutdown: the readiness check fails immediately, callers are served meanwhile, and no
/// request is aborted.
#[tokio::test(flavor = "multi_thread")]
async fn stop_is_graceful() {
    let host = ready_host().await;
    let TestHost { node, ready, http, listen, .. } = host;
    let running = tokio::spawn(async move {
        let mut socket = TcpStream::connect(listen).await.unwrap();
        let text = http_request("GET", "/nothing/here", "a1", "");
        socket.write_all(text.as_bytes()).await.unwrap();
        let mut response = [0; 12];
        socket.read_exact(&mut response).await.unwrap();
        String::from_utf8_lossy(&response).into_owned()
    });
    let stopping = tokio::spawn(node.stop(Duration::from_secs(5)));
    let uri = format!("http://{ready}/pistachiolane/readiness");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while http.get_status(&uri).await.unwrap() != 503 {
        assert!(Instant::now() < deadline, "the node is still ready");
    }
    assert_eq!(running.await.unwrap(), "HTTP/1.1 404");
    assert!(stopping.await.unwrap());
}

/// Callers connect until the end of a shutdown: every request that the node has read is answered
/// before the shutdown ends, so that nothing runs afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_answers_every_request_it_reads() {
    let TestHost { node, upstream, listen, .. } = ready_host().await;
    // Without open connections, the shutdown still waits for the listener, which may be about to
    // pass on an accepted connection.
    assert!(!node.shared().work.is_empty());
    let callers: Vec<_> = (0..24)
        .map(|n| {
            tokio::spawn(async move {
                // Ends once the node has closed its listener.
                while let Ok(mut socket) = TcpStream::connect(listen).await {
                    let text =
                        http_request("GET", "/sizing/ok", &n.to_string(), "connection: close\r\n");
                    let mut response = Vec::new();
                    // A connection that is closed unread gets no response; its request didn't
                    // start.
                    if socket.write_all(text.as_bytes()).await.is_ok() {
                        let _closed = socket.read_to_end(&mut response).await;
                    }
                }
            })
        })
        .collect();
    assert!(node.stop(Duration::from_secs(5)).await);
    let executed = upstream.executed().len();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(upstream.executed().len(), executed, "a request started after the shutdown");
    for caller in callers {
        caller.abort();
    }
}

/// The reason of a refusal is the same in the response and in the metrics.
#[test_case("POST", "/orders/shed", 1_200, true, 503, "service-full"; "refused by the upstream")]
#[test_case("GET", "/sizing/ok", 0, true, 503, "expired"; "no remaining time")]
#[test_case("GET", "/sizing/ok", 1_200, false, 503, "no-upstream"; "service without an upstream")]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_reason_is_in_response_and_metrics(
    method: &str,
    path: &str,
    deadline_ms: u32,
    announced: bool,
    code: u16,
    reason: &str,
) {
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration("r7", "shop.example"));
    let host = start_host(store).await;
    if announced {
        assert_eq!(host.send_heartbeat("i-1", "ready", 1, 100).await, 200);
    }
    host.wait_until("ready", async || host.readiness().await == 200).await;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-pistachiolane-deadline-ms: {deadline_ms}\r\n\
         connection: close\r\n\r\n"
    );
    let response = host.send_raw(&text).await;
    assert_eq!(status_code(&response), code, "{response}");
    assert!(response.contains(&format!("pistachiolane-reason: {reason}")), "{response}");
    let metrics = host.http.get(&format!("http://{}/metrics", host.admin)).await.unwrap();
    let series = format!("outcome=\"not-run\",reason=\"{reason}\"}} 1");
    assert!(metrics.contains(&series), "{reason} not in {metrics}");
}

/// The reason of a rejection is the same in the response and in the metrics, and nothing runs.
#[test_case("GET /nowhere/x HTTP/1.1", "", 404, "unknown-service"; "no route")]
#[test_case("POST /orders/ok HTTP/1.1", "content-length: 200000\r\n", 413, "body-too-large"; "body too large")]
#[test_case("POST /orders/ok HTTP/1.1", "content-length: 4000\r\n", 408, "body-late"; "the body stalls")]
#[test_case("GET /sizing/ok HTTP/1.1", "pistachiolane-depth: 16\r\n", 508, "too-deep"; "nested too deep")]
#[tokio::test(flavor = "multi_thread")]
async fn rejection_reason_is_in_response_and_metrics(
    request_line: &str,
    extra_headers: &str,
    code: u16,
    reason: &str,
) {
    let host = ready_host().await;
    let text = format!(
        "{request_line}\r\nhost: shop.example\r\nx-pistachiolane-deadline-ms: 600\r\nconnection: close\r\n{extra_headers}\r\n"
    );
    assert_rejected(&host, &text, code, reason).await;
}

/// A node without a configuration rejects requests as not ready, with a `Retry-After` header.
#[tokio::test(flavor = "multi_thread")]
async fn request_before_the_first_configuration_is_rejected_as_not_ready() {
    let host = start_host(PlatformStandIn::new()).await;
    let response = assert_rejected(
        &host,
        &http_request("GET", "/sizing/ok", "a1", "connection: close\r\n"),
        503,
        "not-ready",
    )
    .await;
    assert!(response.contains("retry-after: "), "{response}");
}

/// Sends a request that the node must reject with a status code and reason, and returns the
/// response.
async fn assert_rejected(host: &TestHost, text: &str, code: u16, reason: &str) -> String {
    let response = host.send_raw(text).await;
    assert_eq!(status_code(&response), code, "{response}");
    assert!(response.contains(&format!("pistachiolane-reason: {reason}")), "{response}");
    let metrics = host.http.get(&format!("http://{}/metrics", host.admin)).await.unwrap();
    let series = format!("outcome=\"rejected\",reason=\"{reason}\"}} 1");
    assert!(metrics.contains(&series), "{reason} not in {metrics}");
    assert!(host.upstream.executed().is_empty());
    response
}
