//! Slow callers: slow to send a request's head or body, or slow to read the response.

mod common;

use {
    bytes::Bytes,
    common::{
        WAIT_TIMEOUT, configuration, http_request, ready_host, start_host,
        start_host_with_capacity, status_code,
    },
    futures::stream::unfold,
    http_body_util::StreamBody,
    hyper::{Request, body::Frame, client::conn::http2},
    hyper_util::rt::{TokioExecutor, TokioIo},
    lab::stand_in::{Capacity, PLATFORM_REQUEST_ID, PlatformStandIn},
    serde_json::json,
    std::{
        convert::Infallible,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    test_case::test_case,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Configured header timeout of 3 s plus a margin.
const HEAD_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Time after which the node closes the connection of a caller that reads nothing, plus a margin.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// The node closes a connection whose request head is not complete within the header timeout, also
/// if bytes keep arriving.
#[test_case("", false; "the first head stalls")]
#[test_case("", true; "the first head trickles")]
#[test_case("GET /sizing/ok HTTP/1.1\r\nhost: shop.example\r\n\r\n", false; "a later head stalls")]
#[tokio::test(flavor = "multi_thread")]
async fn connection_with_incomplete_head_is_closed(earlier_request: &str, trickles: bool) {
    let host = ready_host().await;
    let (mut rx, mut tx) = TcpStream::connect(host.listen).await.unwrap().into_split();
    tx.write_all(format!("{earlier_request}GET /sizing/ok HTTP/1.1\r\nhost: ").as_bytes())
        .await
        .unwrap();
    let trickle = tokio::spawn(async move {
        // Ends once the node has closed the connection.
        while trickles && tx.write_all(b"x").await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
        std::future::pending::<()>().await;
    });
    let mut response = Vec::new();
    // Bytes sent to the closed connection cause a reset, which ends the read as well.
    let ended = timeout(HEAD_TIMEOUT, rx.read_to_end(&mut response)).await;
    assert!(ended.is_ok(), "the connection is still open");
    assert_eq!(host.upstream.executed().len(), usize::from(!earlier_request.is_empty()));
    trickle.abort();
}

/// An upload in chunks that one gate could not hand to its upstream is sent to another.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_upload_is_sent_again_after_a_refusal() {
    let serving = ready_host().await;
    let without_upstream = start_host(Arc::clone(&serving.store)).await;
    without_upstream.upstream.stop();
    let entry = start_host(Arc::clone(&serving.store)).await;
    let read = async || status_code(&entry.send_request("GET", "/sizing/ok", "a0").await) == 200;
    entry.wait_until("the first response", read).await;
    let chunk = "x".repeat(40_000);
    let body = format!("{0:x}\r\n{chunk}\r\n{0:x}\r\n{chunk}\r\n0\r\n\r\n", chunk.len());
    for n in 0..8 {
        // Each announcement makes the upstream that cannot be reached eligible again.
        assert_eq!(without_upstream.send_heartbeat("i-1", "ready", n + 1, 100).await, 200);
        let extra_headers = "connection: close\r\ntransfer-encoding: chunked\r\n";
        let head = http_request("POST", "/letters/ok", &format!("b{n}"), extra_headers);
        let response = entry.send_raw(&(head + &body)).await;
        assert_eq!(status_code(&response), 200, "{response}");
    }
    let executed = serving.upstream.executed();
    let sizes: Vec<usize> = executed.iter().map(|r| r.body.len()).filter(|&n| n > 0).collect();
    assert_eq!(sizes, [2 * chunk.len(); 8]);
}

/// A request whose body stalls is rejected without running, and its connection is closed.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_body_is_rejected() {
    let host = ready_host().await;
    let text = http_request("POST", "/orders/ok", "a1", "content-length: 4000\r\n") + "abc";
    let response = host.send_raw(&text).await;
    assert_eq!(status_code(&response), 408, "{response}");
    assert!(host.upstream.executed().is_empty());
}

/// A caller that doesn't read its response occupies a slot only until the node closes its
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn unread_response_releases_its_slot() {
    let host = ready_host().await;
    let mut socket = TcpStream::connect(host.listen).await.unwrap();
    let text = http_request("GET", "/sizing/large", "a1", "");
    socket.write_all(text.as_bytes()).await.unwrap();
    host.wait_until("the request runs", async || !host.upstream.executed().is_empty()).await;
    let slot_released = async {
        while host.upstream.cancelled.load(Ordering::SeqCst) == 0
            || host.node.shared().admission.gate.running() > 0
        {
            sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(timeout(READ_TIMEOUT, slot_released).await.is_ok(), "the slot is still occupied");
    drop(socket);
}

/// Guards against a stream of an HTTP/2 connection whose task takes the notice of new bytes from the connection's, which then
/// waits for ever.
#[tokio::test(flavor = "multi_thread")]
async fn http2_streams_at_once_are_all_answered() {
    let host = ready_host().await;
    let socket = TokioIo::new(TcpStream::connect(host.listen).await.unwrap());
    let (sender, connection) = http2::handshake(TokioExecutor::new(), socket).await.unwrap();
    tokio::spawn(connection);
    let mut requests = JoinSet::new();
    for n in 0..8 {
        let request = Request::post("http://shop.example/letters/ok")
            .header(PLATFORM_REQUEST_ID, format!("stream-{n}"))
            .header("x-pistachiolane-deadline-ms", "10000");
        // Ten pieces, each some time after the one before.
        let body = unfold(0, |sent| async move {
            sleep(Duration::from_millis(20)).await;
            let piece = Frame::data(Bytes::from(vec![b'x'; 8_000]));
            (sent < 10).then_some((Ok::<_, Infallible>(piece), sent + 1))
        });
        let request = request.body(StreamBody::new(Box::pin(body))).unwrap();
        let mut sender = sender.clone();
        requests.spawn(async move {
            let response = timeout(WAIT_TIMEOUT, sender.send_request(request)).await;
            response.expect("no response").unwrap().status().as_u16()
        });
    }
    assert_eq!(requests.join_all().await, [200; 8]);
    assert!(host.upstream.executed().iter().all(|r| r.body.len() == 80_000));
}

/// Guards against an upload that stalls and keeps the slot of its upstream until its deadline while others wait for it.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_upload_leaves_its_slot() {
    let mut configuration = configuration("r7", "shop.example");
    configuration["limits"]["max_body_bytes"] = json!(4 << 20);
    for route in configuration["routes"]["rows"].as_array_mut().unwrap() {
        route[4] = json!(60); // timeout_s
    }
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration);
    let host = start_host_with_capacity(store, Capacity { slots: 1, ..Capacity::default() }).await;
    assert_eq!(host.send_heartbeat("i-1", "ready", 1, 100).await, 200);
    host.wait_until("ready", async || host.readiness().await == 200).await;
    let request = |path: &str, id: &str, length: usize| {
        http_request("POST", path, id, &format!("content-length: {length}\r\n"))
            .replace("-ms: 1200", "-ms: 60000")
    };
    let mut upload = TcpStream::connect(host.listen).await.unwrap();
    upload.write_all(request("/letters/ok", "upload", 2 << 20).as_bytes()).await.unwrap();
    upload.write_all(&vec![b'x'; 1 << 20]).await.unwrap();
    let gate = &host.node.shared().admission.gate;
    host.wait_until("the upload has the slot", async || gate.running() == 1).await;
    let order = request("/orders/ok", "order", 0).replace("-ms: 60000", "-ms: 20000");
    let response = host.send_raw(&order.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n")).await;
    assert_eq!(status_code(&response), 200, "{response}");
    let mut response = Vec::new();
    let _ended = timeout(WAIT_TIMEOUT, upload.read_to_end(&mut response)).await.expect("no end");
    let code = status_code(&String::from_utf8_lossy(&response));
    assert!(matches!(code, 0 | 502 | 504), "{code}");
    assert_eq!(host.upstream.executed().len(), 1);
}
