//! Callers' keys over real sockets: which requests need one, what the upstream receives, and that no key leaves the
//! node.

mod common;

use {
    common::{
        TestHost, WAIT_TIMEOUT, configuration, http_request, ready_host, start_host, status_code,
    },
    lab::stand_in::PlatformStandIn,
    serde_json::{Value, json},
    std::{
        fmt::Write as _,
        sync::{Mutex, PoisonError},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Keys of the workspaces `loom` and `mill`; the last is held by both and so identifies none.
const KEYS: [&str; 3] = ["k-loom-4711", "k-mill-0815", "k-both-1234"];

const TENANT: &str = "x-pistachiolane-tenant-id";

/// Collects all log lines of the process at all levels, with their fields.
struct LogCapture(Mutex<String>);

static LOG: LogCapture = LogCapture(Mutex::new(String::new()));

impl log::Log for LogCapture {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut text = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(text, "{}", record.args()).unwrap();
        let mut fields = Fields(&mut text);
        record.key_values().visit(&mut fields).unwrap();
    }

    fn flush(&self) {}
}

struct Fields<'a>(&'a mut String);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        writeln!(self.0, "{key}={value}").map_err(log::kv::Error::boxed)
    }
}

/// Returns a configuration in which `letters` is exempt, and `loom` holds `loom_keys`.
fn keyed(version: &str, loom_keys: &[&str]) -> Value {
    let mut value = configuration(version, "shop.example");
    value["routes"]["columns"].as_array_mut().unwrap().push(json!("auth_exempt"));
    for row in value["routes"]["rows"].as_array_mut().unwrap() {
        let is_exempt = row[0] == "letters";
        row.as_array_mut().unwrap().push(json!(is_exempt));
    }
    value["tenants"] = json!({
        "columns": ["name", "api_keys", "priority", "rate_per_s", "burst", "allowed_regions"],
        "rows": [
            ["loom", loom_keys, 0, 0, 0, null],
            ["mill", [KEYS[1], KEYS[2], ""], null, 0, 0, null],
            // A row that can't be decoded is skipped, and its warning must not quote the key.
            ["felt", KEYS[0], null, 0, 0, null],
        ],
    });
    value
}

async fn keyed_host() -> TestHost {
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", keyed("r7", &[KEYS[0], KEYS[2]]));
    let host = start_host(store).await;
    assert_eq!(host.send_heartbeat("i-1", "ready", 1, 100).await, 200);
    host.wait_until("ready", async || host.readiness().await == 200).await;
    host
}

async fn send(host: &TestHost, method: &str, path: &str, authorization: &str) -> String {
    let headers = format!("{authorization}connection: close\r\n");
    host.send_raw(&http_request(method, path, "a1", &headers)).await
}

fn bearer(key: &str) -> String {
    format!("authorization: Bearer {key}\r\n")
}

/// Reads one response from a connection that stays open.
async fn read_response(socket: &mut TcpStream, marker: &str) -> String {
    let mut response = Vec::new();
    while !String::from_utf8_lossy(&response).contains(marker) {
        let read = timeout(WAIT_TIMEOUT, socket.read_buf(&mut response)).await.unwrap().unwrap();
        assert_ne!(read, 0, "{}", String::from_utf8_lossy(&response));
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against a request that runs without a key, and against a valid form of the header that is refused.
#[tokio::test(flavor = "multi_thread")]
async fn request_needs_exactly_one_known_key() {
    let host = keyed_host().await;
    let [key, other, shared] = KEYS;
    let refused = [
        String::new(),
        bearer(key) + &bearer(key),
        bearer(key) + &bearer(other),
        format!("authorization: Basic {key}\r\n"),
        format!("authorization: {key}\r\n"),
        format!("authorization: Bearer{key}\r\n"),
        format!("authorization: Bearer\t{key}\r\n"),
        "authorization:\r\n".to_owned(),
        "authorization: Bearer\r\n".to_owned(),
        "authorization: Bearer  \r\n".to_owned(),
        bearer(&format!("{key} x")),
        bearer(&format!("{key}, Bearer {key}")),
        bearer("k-nobody"),
        bearer(&key.to_uppercase()),
        bearer(&key[..key.len() - 1]),
        bearer(shared),
        format!("proxy-authorization: Bearer {key}\r\n"),
    ];
    for headers in refused {
        let response = send(&host, "GET", "/sizing/ok", &headers).await;
        assert_eq!(status_code(&response), 401, "{headers}{response}");
        assert!(response.contains("www-authenticate: Bearer"), "{response}");
        assert!(response.contains("pistachiolane-reason: unauthorized"), "{response}");
        assert!(KEYS.iter().all(|key| !response.contains(key)), "{response}");
        // Without a route nothing is known about keys.
        assert_eq!(status_code(&send(&host, "GET", "/nothing/ok", &headers).await), 404);
    }
    assert!(host.upstream.executed().is_empty());
    let accepted = [
        bearer(key),
        format!("Authorization: bEARER {key}\r\n"),
        bearer(&format!("  {key}")),
        bearer(&format!("{key} \t")),
    ];
    for headers in accepted {
        assert_eq!(
            status_code(&send(&host, "GET", "/sizing/ok", &headers).await),
            200,
            "{headers}"
        );
    }
    // An exempt route needs no key, and ignores one that is unknown.
    for headers in [String::new(), bearer("k-nobody"), bearer(key) + &bearer(key)] {
        assert_eq!(status_code(&send(&host, "POST", "/letters/ok", &headers).await), 200);
    }
    let tenants: Vec<Option<String>> =
        host.upstream.executed().iter().map(|r| r.headers.get(TENANT).cloned()).collect();
    assert_eq!(tenants[..4], vec![Some("loom".to_owned()); 4]);
    assert_eq!(tenants[4..], [None, None, None]);
}

/// Guards against a key or a forged name of a workspace that reaches the upstream, also in pipelined requests, whose
/// calls start early, and in an upload in chunks with trailers.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_receives_the_workspace_and_no_key() {
    let host = keyed_host().await;
    let forged = format!("{TENANT}: mill\r\n{TENANT}: felt\r\n");
    let with_key = bearer(KEYS[0]) + &forged;
    let mut socket = TcpStream::connect(host.listen).await.unwrap();
    let text = http_request("GET", "/sizing/a", "a1", &with_key)
        + &http_request("GET", "/sizing/b", "a2", &with_key)
        + &http_request("GET", "/sizing/c", "a3", &bearer("k-nobody"))
        + &http_request("GET", "/sizing/d", "a4", &bearer(KEYS[1]));
    socket.write_all(text.as_bytes()).await.unwrap();
    let responses = read_response(&mut socket, "answer to a4").await;
    let place = |text: &str| responses.find(text).unwrap_or_else(|| panic!("{text}: {responses}"));
    let places = ["answer to a2", "HTTP/1.1 401", "answer to a4"].map(place);
    assert!(places.is_sorted(), "{responses}");
    let chunk = "x".repeat(90_000);
    let upload = forged.clone()
        + &bearer(KEYS[0])
        + "transfer-encoding: chunked\r\ntrailer: authorization\r\nconnection: close\r\n";
    let body = format!("{:x}\r\n{chunk}\r\n0\r\n{}\r\n", chunk.len(), bearer(KEYS[0]));
    let response =
        host.send_raw(&(http_request("POST", "/letters/e", "a5", &upload) + &body)).await;
    assert_eq!(status_code(&response), 200, "{response}");
    assert_eq!(status_code(&send(&host, "POST", "/letters/f", &forged).await), 200);
    let mut received: Vec<(String, Option<String>)> = host
        .upstream
        .executed()
        .iter()
        .inspect(|r| assert!(KEYS.iter().all(|key| !format!("{r:?}").contains(key)), "{r:?}"))
        .inspect(|r| assert!(!r.headers.contains_key("authorization")))
        .map(|r| (r.line.clone(), r.headers.get(TENANT).cloned()))
        .collect();
    received.sort();
    let expected = [
        ("GET /sizing/a", Some("loom")),
        ("GET /sizing/b", Some("loom")),
        ("GET /sizing/d", Some("mill")),
        ("POST /letters/e", Some("loom")),
        ("POST /letters/f", None),
    ];
    assert_eq!(received, expected.map(|(line, name)| (line.to_owned(), name.map(str::to_owned))));
}

/// Guards against a key that stays valid on a connection that was open when it was removed, and against an older
/// configuration that brings it back.
#[tokio::test(flavor = "multi_thread")]
async fn removed_key_is_refused_on_a_kept_connection() {
    let host = keyed_host().await;
    let mut socket = TcpStream::connect(host.listen).await.unwrap();
    let request = |id: &str, key: &str| http_request("GET", "/sizing/ok", id, &bearer(key));
    socket.write_all(request("a1", KEYS[0]).as_bytes()).await.unwrap();
    read_response(&mut socket, "answer to a1").await;
    let version = || host.node.shared().settings_tree.load().routes_version();
    host.store.write_as_operator("config", "main", keyed("r8", &["k-new"]));
    host.wait_until("version 8", async || version() == 8).await;
    let pipelined = request("a2", KEYS[0]) + &request("a3", "k-new") + &request("a4", KEYS[0]);
    socket.write_all(pipelined.as_bytes()).await.unwrap();
    let mut responses = read_response(&mut socket, "answer to a3").await;
    while responses.matches("unknown key").count() < 2 {
        responses += &read_response(&mut socket, "unknown key").await;
    }
    assert!(responses.starts_with("HTTP/1.1 401"), "{responses}");
    host.store.write_as_operator("config", "main", keyed("r7", &[KEYS[0]]));
    host.store.write_as_operator("config", "main", keyed("r9", &[]));
    host.wait_until("version 9", async || version() == 9).await;
    socket.write_all(request("a5", "k-new").as_bytes()).await.unwrap();
    let response = read_response(&mut socket, "unknown key").await;
    assert_eq!(status_code(&response), 401, "{response}");
    assert_eq!(host.upstream.executed().len(), 2);
}

/// Without workspaces a key means nothing here, and before the first configuration no request is unauthorized.
#[tokio::test(flavor = "multi_thread")]
async fn keys_mean_nothing_without_workspaces() {
    let host = ready_host().await;
    assert_eq!(status_code(&send(&host, "GET", "/sizing/ok", &bearer("k-own")).await), 200);
    let executed = host.upstream.executed();
    assert_eq!(executed[0].headers.get("authorization").map(String::as_str), Some("Bearer k-own"));
    let unconfigured = start_host(PlatformStandIn::new()).await;
    assert_eq!(status_code(&send(&unconfigured, "GET", "/sizing/ok", "").await), 503);
}

/// Guards against keys in logs of any level, metrics, dumps and settings, also with rows that can't be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn keys_occur_in_no_log_line_and_no_dump() {
    // Fails only if another test of this program has installed the same logger.
    let _installed = log::set_logger(&LOG);
    log::set_max_level(log::LevelFilter::Trace);
    let host = keyed_host().await;
    for headers in [bearer(KEYS[0]), bearer(KEYS[2]), bearer(KEYS[0]) + &bearer(KEYS[1])] {
        send(&host, "GET", "/sizing/ok", &headers).await;
        send(&host, "POST", "/orders/reset", &headers).await;
        send(&host, "POST", "/letters/ok", &headers).await;
    }
    let mut malformed = keyed("r8", &[]);
    malformed["tenants"] = json!({ "columns": ["name"], "rows": KEYS });
    host.store.write_as_operator("config", "main", malformed);
    let log = || LOG.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
    host.wait_until("the malformed one is skipped", async || log().contains("`tenants`")).await;
    let mut texts = vec![log()];
    for path in ["status", "dump", "metrics", "settings", "settings/routes"] {
        texts.push(host.http.get(&format!("http://{}/{path}", host.admin)).await.unwrap());
    }
    assert!(texts[0].contains("workspace=loom"), "{}", texts[0]);
    assert!(texts[0].contains("keys of more than one workspace identify none"), "{}", texts[0]);
    assert!(texts[0].contains("tenant in row 2 skipped"), "{}", texts[0]);
    assert!(texts[3].contains(r#"workspace_calls_total{workspace="loom",outcome="answer"}"#));
    for (text, key) in texts.iter().flat_map(|text| KEYS.map(|key| (text, key))) {
        assert!(!text.contains(key), "{key} in {text}");
    }
}
