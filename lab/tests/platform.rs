//! A node on the users' platform, over real sockets: configuration, callers, and an upstream that misbehaves.

mod common;

use {
    common::{PATIENCE, Site, configuration, request, site, start, status},
    lab::stand_in::{PLATFORM_REQUEST_ID, PlatformStandIn},
    serde_json::{Value, json},
    std::{sync::atomic::Ordering, time::Duration},
    test_case::test_case,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep},
    },
};

/// A node that knows no configuration yet can't tell that a route is missing.
#[tokio::test(flavor = "multi_thread")]
async fn request_before_the_first_configuration() {
    let site = start(PlatformStandIn::new()).await;
    assert_eq!(site.beat("i-1", "ready", 1, 100).await, 200);
    assert_eq!(status(&site.call("GET", "/sizing/ok", "a1").await), 503);
    assert_eq!(site.readiness().await, 503);
    site.store.write_as_operator("config", "main", configuration("r1", "shop.example"));
    site.until("ready", async || site.readiness().await == 200).await;
    assert_eq!(status(&site.call("GET", "/sizing/ok", "a2").await), 200);
    assert_eq!(status(&site.call("GET", "/nothing/ok", "a3").await), 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_headers() {
    let site = site().await;
    let forged = "x-pistachiolane-caller-service: forged\r\nx-pistachiolane-expect-instance: i-9\r\n\
        x-own: kept\r\nconnection: close, x-hop\r\nx-hop: dropped\r\n";
    let answer = site.raw(&request("GET", "/sizing/ok?q=1", "a1", forged)).await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.contains("x-pistachiolane-response-signature: a1.s"), "{answer}");
    assert!(answer.ends_with("answer to a1"), "{answer}");
    let ran = site.upstream.executed();
    let [one] = ran.as_slice() else { panic!("{ran:?}") };
    assert_eq!(one.line, "GET /sizing/ok?q=1");
    let header = |name: &str| one.headers.get(name).map_or("", String::as_str);
    assert_eq!(header(PLATFORM_REQUEST_ID), "a1");
    assert_eq!(header("x-pistachiolane-caller-service"), "huvo");
    assert_eq!(header("x-pistachiolane-expect-instance"), "i-1");
    assert_eq!((header("x-own"), header("x-hop")), ("kept", ""));
    assert_eq!(header("host"), "shop.example");
    let left: u64 = header("x-pistachiolane-deadline-ms").parse().unwrap();
    assert!((1..=1_200).contains(&left), "{left}");
}

/// Work that must not repeat: whatever becomes of its answer, it ran once, and nobody is told that it did not.
#[test_case("foreign"; "an answer to another request")]
#[test_case("unsigned"; "an answer without a signature")]
#[test_case("cut"; "an answer cut short")]
#[test_case("reset"; "no answer")]
#[tokio::test(flavor = "multi_thread")]
async fn order_with_a_bad_answer(action: &str) {
    let site = site().await;
    let answer = site.call("POST", &format!("/orders/{action}"), "a1").await;
    assert!(matches!(status(&answer), 502 | 504), "{answer}");
    assert!(!answer.contains("another's") && !answer.contains("bare"), "{answer}");
    assert_eq!(site.upstream.executed().len(), 1);
    // The connection that carried it is not used again.
    assert_eq!(status(&site.call("POST", "/orders/ok", "a2").await), 200);
    assert_eq!(site.upstream.connections.load(Ordering::SeqCst), 2);
}

/// A second answer meets no request.
#[tokio::test(flavor = "multi_thread")]
async fn answer_given_twice() {
    let site = site().await;
    for n in 0..5 {
        let id = format!("a{n}");
        let answer = site.call("POST", "/orders/extra", &id).await;
        let own = status(&answer) == 200 && answer.ends_with(&format!("answer to {id}"));
        assert!(own || matches!(status(&answer), 502 | 504), "{answer}");
    }
    let ran: Vec<String> =
        site.upstream.executed().iter().map(|r| r.headers[PLATFORM_REQUEST_ID].clone()).collect();
    assert_eq!(ran, ["a0", "a1", "a2", "a3", "a4"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_without_length() {
    let site = site().await;
    let answer = site.call("GET", "/sizing/unframed", "a1").await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.contains("body"), "{answer}");
}

/// An upstream that turns work away: it did not run, and the caller hears when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn order_shed_by_the_upstream() {
    let site = site().await;
    let answer = site.call("POST", "/orders/shed", "a1").await;
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert!(site.upstream.executed().is_empty());
}

#[test_case("heartbeat", json!("draining"); "it says that it drains")]
#[test_case("deregister", json!("ready"); "it says farewell without draining")]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_gets_nothing(what: &str, state: Value) {
    let site = site().await;
    let body = json!({ "service": "huvo", "address": site.upstream_address, "zone": "a", "version": "v1",
        "slots": 10, "state": state, "warmup_left_s": 0, "seq": 2, "born": 100 });
    assert_eq!(site.tell("i-1", what, &body).await, 200);
    assert_eq!(status(&site.call("POST", "/orders/ok", "a1").await), 503);
    // A heartbeat that was on its way does not bring it back.
    site.beat("i-1", "ready", 3, 100).await;
    assert_eq!(status(&site.call("GET", "/sizing/ok", "a2").await), 503);
    assert!(site.upstream.executed().is_empty());
}

/// Another upstream has the address of one that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn address_of_another_upstream() {
    let site = site().await;
    assert_eq!(site.beat("i-2", "ready", 1, 200).await, 200);
    let answer = site.call("POST", "/orders/ok", "a1").await;
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(site.upstream.executed().is_empty());
}

/// A version that is older than the one in force changes nothing, whoever brings it.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_never_reverts() {
    let site = site().await;
    site.store.write_as_operator("config", "main", configuration("r9", "other.example"));
    let gone = async || status(&site.call("GET", "/sizing/ok", "a").await) == 404;
    site.until("the newer version", gone).await;
    site.store.write_as_operator("config", "main", configuration("r8", "shop.example"));
    // A later version shows that the older one has been seen and passed over.
    let mut later = configuration("r10", "other.example");
    later["routes"]["rows"][0][1] = json!("late.example");
    site.store.write_as_operator("config", "main", later);
    let late = "GET /orders/ok HTTP/1.1\r\nhost: late.example\r\nconnection: close\r\n\r\n";
    site.until("the last version", async || status(&site.raw(late).await) == 200).await;
    assert_eq!(status(&site.call("GET", "/sizing/ok", "a").await), 404);
}

/// The store forgets its history, and the node lists again.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_after_lost_history() {
    let site = site().await;
    site.store.faults.oldest_watch_revision.store(u64::MAX, Ordering::Relaxed);
    site.store.write_as_operator("config", "main", configuration("r9", "other.example"));
    site.store.write_as_operator("config", "main", configuration("r11", "third.example"));
    let third = "GET /sizing/ok HTTP/1.1\r\nhost: third.example\r\nconnection: close\r\n\r\n";
    site.until("the newest version", async || status(&site.raw(third).await) == 200).await;
}

/// Requests behind the one in service begin at once, and their answers keep the order.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_lookups_run_together() {
    let site = site().await;
    let mut socket = TcpStream::connect(site.listen).await.unwrap();
    let slow = request("GET", "/sizing/slow", "a1", "");
    let text =
        slow + &request("GET", "/sizing/ok", "a2", "") + &request("GET", "/sizing/ok", "a3", "");
    socket.write_all(text.as_bytes()).await.unwrap();
    site.until("all three at the upstream", async || site.upstream.executed().len() >= 3).await;
    let mut answer = Vec::new();
    while !String::from_utf8_lossy(&answer).contains("answer to a3") {
        assert_ne!(socket.read_buf(&mut answer).await.unwrap(), 0, "closed early");
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    assert_eq!(status(&text), 504, "{text}");
    assert!(text.find("answer to a2").unwrap() < text.find("answer to a3").unwrap());
}

/// Orders are not begun before their turn.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_order_waits_for_its_turn() {
    let site = site().await;
    let mut socket = TcpStream::connect(site.listen).await.unwrap();
    let text =
        request("GET", "/sizing/slow", "a1", "") + &request("DELETE", "/orders/ok", "a2", "");
    socket.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while !String::from_utf8_lossy(&answer).contains("HTTP/1.1 504") {
        assert_eq!(
            site.upstream.executed().iter().filter(|r| r.line.contains("orders")).count(),
            0
        );
        assert_ne!(socket.read_buf(&mut answer).await.unwrap(), 0, "closed early");
    }
    site.until("the order", async || site.upstream.executed().len() >= 2).await;
}

/// A caller that leaves cancels its work, also with another request behind it.
#[test_case(""; "one request")]
#[test_case("GET /sizing/ok HTTP/1.1\r\nhost: shop.example\r\n\r\n"; "a request behind it")]
#[test_case("GET /sizing/ok HT"; "half a request behind it")]
#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves(behind: &str) {
    let site = site().await;
    let mut socket = TcpStream::connect(site.listen).await.unwrap();
    let text = request("GET", "/sizing/slow", "a1", "") + behind;
    socket.write_all(text.as_bytes()).await.unwrap();
    site.until("it runs", async || !site.upstream.executed().is_empty()).await;
    drop(socket);
    // The route's own timeout would end it later than this.
    let until = Instant::now() + Duration::from_millis(500);
    while site.upstream.cancelled.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < until, "work goes on without its caller");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Settings are taken anew without touching a request.
#[tokio::test(flavor = "multi_thread")]
async fn settings_reloaded() {
    let site = site().await;
    let mut settings = site.node.shared().settings.clone();
    settings.tunables.retry_percent = 33;
    site.node.reload("signal", &settings);
    assert_eq!(site.node.shared().tunables.load().retry_percent, 33);
    assert_eq!(status(&site.call("GET", "/sizing/ok", "a1").await), 200);
}

/// A planned stop: not ready at once, callers served meanwhile, nothing cut.
#[tokio::test(flavor = "multi_thread")]
async fn stop_is_graceful() {
    let site = site().await;
    let Site { node, ready, http, listen, .. } = site;
    let running = tokio::spawn(async move {
        let mut socket = TcpStream::connect(listen).await.unwrap();
        let text = request("GET", "/nothing/here", "a1", "");
        socket.write_all(text.as_bytes()).await.unwrap();
        let mut answer = [0; 12];
        socket.read_exact(&mut answer).await.unwrap();
        String::from_utf8_lossy(&answer).into_owned()
    });
    let stopping = tokio::spawn(node.stop(Duration::from_secs(5)));
    let uri = format!("http://{ready}/pistachiolane/readiness");
    let until = Instant::now() + PATIENCE;
    while http.get_status(&uri).await.unwrap() != 503 {
        assert!(Instant::now() < until, "still ready");
    }
    assert_eq!(running.await.unwrap(), "HTTP/1.1 404");
    assert!(stopping.await.unwrap());
}

/// Callers that connect up to the end of a stop: what the node has read is answered before it is gone, so nothing
/// runs after the end.
#[tokio::test(flavor = "multi_thread")]
async fn stop_takes_nothing_it_does_not_answer() {
    let Site { node, upstream, listen, .. } = site().await;
    // Without a single connection there is still the listener to wait for: it may have one in hand.
    assert!(!node.shared().work.is_empty());
    let callers: Vec<_> = (0..24)
        .map(|n| {
            tokio::spawn(async move {
                // Ends when the node no longer listens.
                while let Ok(mut socket) = TcpStream::connect(listen).await {
                    let text =
                        request("GET", "/sizing/ok", &n.to_string(), "connection: close\r\n");
                    let mut answer = Vec::new();
                    // A connection that is closed unread is no answer, and not work begun.
                    if socket.write_all(text.as_bytes()).await.is_ok() {
                        let _closed = socket.read_to_end(&mut answer).await;
                    }
                }
            })
        })
        .collect();
    assert!(node.stop(Duration::from_secs(5)).await);
    let ran = upstream.executed().len();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(upstream.executed().len(), ran, "work began after the stop had ended");
    for caller in callers {
        caller.abort();
    }
}

/// Each kind of refusal is told to the caller and stands in the metrics under the same reason.
#[test_case("POST", "/orders/shed", 1_200, true, 503, "service-full"; "the upstream turns it away")]
#[test_case("GET", "/sizing/ok", 0, true, 503, "expired"; "no time left")]
#[test_case("GET", "/sizing/ok", 1_200, false, 503, "no-upstream"; "nobody announces the service")]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_reasons(
    method: &str,
    path: &str,
    deadline_ms: u32,
    announced: bool,
    code: u16,
    reason: &str,
) {
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration("r7", "shop.example"));
    let site = start(store).await;
    if announced {
        assert_eq!(site.beat("i-1", "ready", 1, 100).await, 200);
    }
    site.until("ready", async || site.readiness().await == 200).await;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-pistachiolane-deadline-ms: {deadline_ms}\r\n\
         connection: close\r\n\r\n"
    );
    let answer = site.raw(&text).await;
    assert_eq!(status(&answer), code, "{answer}");
    assert!(answer.contains(&format!("pistachiolane-reason: {reason}")), "{answer}");
    let metrics = site.http.get(&format!("http://{}/metrics", site.admin)).await.unwrap();
    let series = format!("outcome=\"not-run\",reason=\"{reason}\"}} 1");
    assert!(metrics.contains(&series), "{reason} not in {metrics}");
}

/// Each kind of rejection is told to the caller and stands in the metrics under the same reason; nothing runs.
#[test_case("GET /nowhere/x HTTP/1.1", "", 404, "unknown-service"; "no route")]
#[test_case("POST /orders/ok HTTP/1.1", "content-length: 200000\r\n", 413, "body-too-large"; "too large")]
#[test_case("POST /orders/ok HTTP/1.1", "content-length: 4000\r\n", 408, "body-late"; "the body stalls")]
#[test_case("GET /sizing/ok HTTP/1.1", "pistachiolane-depth: 16\r\n", 508, "too-deep"; "nested too deep")]
#[tokio::test(flavor = "multi_thread")]
async fn rejection_reasons(line: &str, more: &str, code: u16, reason: &str) {
    let site = site().await;
    let text = format!(
        "{line}\r\nhost: shop.example\r\nx-pistachiolane-deadline-ms: 600\r\nconnection: close\r\n{more}\r\n"
    );
    rejected(&site, &text, code, reason).await;
}

/// A node without a configuration says so, and when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn rejection_before_the_first_configuration() {
    let site = start(PlatformStandIn::new()).await;
    let answer = rejected(
        &site,
        &request("GET", "/sizing/ok", "a1", "connection: close\r\n"),
        503,
        "not-ready",
    )
    .await;
    assert!(answer.contains("retry-after: "), "{answer}");
}

async fn rejected(site: &Site, text: &str, code: u16, reason: &str) -> String {
    let answer = site.raw(text).await;
    assert_eq!(status(&answer), code, "{answer}");
    assert!(answer.contains(&format!("pistachiolane-reason: {reason}")), "{answer}");
    let metrics = site.http.get(&format!("http://{}/metrics", site.admin)).await.unwrap();
    let series = format!("outcome=\"rejected\",reason=\"{reason}\"}} 1");
    assert!(metrics.contains(&series), "{reason} not in {metrics}");
    assert!(site.upstream.executed().is_empty());
    answer
}
