//! Test host: a node that uses the platform's interfaces over real sockets, with stand-ins of the
//! store and of the local upstream.
#![allow(dead_code, reason = "each test program uses only a part of this module")]

use {
    hyper::Method,
    lab::{
        fleet::{free_addresses, loopback},
        http::HttpClient,
        stand_in::{
            Capacity, HostOutage, PLATFORM_REQUEST_ID, PlatformStandIn, PlatformUpstream, RouteRow,
        },
    },
    pistachiolane::{
        node::{self, RunningNode},
        settings::{ProcessSettings, SettingsSource},
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep},
    },
    tokio_util::sync::CancellationToken,
};

/// Time limit of [`TestHost::wait_until`].
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Node that uses the platform's interfaces, with its local upstream and its own endpoint of the
/// store.
pub struct TestHost {
    pub store: Arc<PlatformStandIn>,
    /// Switch for a store outage that affects only this host.
    pub outage: Arc<HostOutage>,
    pub node: RunningNode,
    pub upstream: Arc<PlatformUpstream>,
    pub upstream_address: SocketAddr,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub announce: SocketAddr,
    pub admin: SocketAddr,
    pub http: HttpClient,
}

/// Returns a configuration with three routes for `host`: non-idempotent `orders`, idempotent
/// `sizing`, and `letters` for uploads.
pub fn configuration(version: &str, host: &str) -> Value {
    let route = |name: &str, route_type| RouteRow {
        name: name.to_owned(),
        host,
        route_type,
        timeout_s: 1.5,
        service: "huvo",
        max_attempts: 2,
    };
    let routes = [
        route("orders", "non_idempotent"),
        route("sizing", "idempotent"),
        route("letters", "upload"),
    ];
    lab::stand_in::configuration(version, &routes, &["huvo"])
}

/// Adds a column to one of the tables of a configuration, with the same value in each row.
pub fn add_column(configuration: &mut Value, table: &str, column: &str, value: &Value) {
    let table = &mut configuration[table];
    table["columns"].as_array_mut().unwrap().push(json!(column));
    for row in table["rows"].as_array_mut().unwrap() {
        row.as_array_mut().unwrap().push(value.clone());
    }
}

/// Starts a node with an upstream of default capacity that is not announced yet.
pub async fn start_host(store: Arc<PlatformStandIn>) -> TestHost {
    start_host_with_capacity(store, Capacity::default()).await
}

/// Starts a node with an upstream that is not announced yet.
pub async fn start_host_with_capacity(store: Arc<PlatformStandIn>, capacity: Capacity) -> TestHost {
    start_host_with(store, capacity, &[]).await
}

/// Starts a node of a region, with an upstream that is not announced yet.
pub async fn start_host_in_region(
    store: Arc<PlatformStandIn>,
    capacity: Capacity,
    region: &str,
) -> TestHost {
    start_host_with(store, capacity, &[("region", region)]).await
}

/// Starts a node of a deployment with evacuations in a zone, with an upstream that takes a while and is not announced
/// yet.
pub async fn start_host_in_zone(store: Arc<PlatformStandIn>, zone: &str) -> TestHost {
    let base_service_time = Duration::from_millis(300);
    let capacity = Capacity { base_service_time, ..Capacity::default() };
    let flags = [("zone", zone), ("evacuation-timeout", "5")];
    start_host_with(store, capacity, &flags).await
}

/// Starts a node with additional flags and an upstream that is not announced yet.
async fn start_host_with(
    store: Arc<PlatformStandIn>,
    capacity: Capacity,
    flags: &[(&str, &str)],
) -> TestHost {
    let outage = Arc::<HostOutage>::default();
    let stop = CancellationToken::new();
    let store_address = store.start_for_host(loopback(0), stop, Arc::clone(&outage)).await.unwrap();
    let (upstream, upstream_address) =
        PlatformUpstream::start_with_capacity("i-1", capacity).await.unwrap();
    let node_addresses = free_addresses().await.unwrap();
    let service_addresses = free_addresses().await.unwrap();
    let flag = |name: &str| {
        Some(match name {
            "interface" => "platform".to_owned(),
            "listen" => node_addresses.listen.to_string(),
            "gate-listen" => node_addresses.gate.to_string(),
            "control-listen" => node_addresses.control.to_string(),
            "admin-listen" => node_addresses.admin.to_string(),
            "ready-listen" => service_addresses.listen.to_string(),
            "announce-listen" => service_addresses.gate.to_string(),
            "platform" => format!("http://{store_address}"),
            "service" => "huvo".to_owned(),
            "heartbeat" => "60".to_owned(),
            "entry-throttle" => "true".to_owned(),
            other => return flags.iter().find(|(n, _)| *n == other).map(|(_, v)| (*v).to_owned()),
        })
    };
    let source = SettingsSource { flag: &flag, env: &|_| None, derived: &|_| None };
    let settings = ProcessSettings::new(&source).unwrap();
    let integration = platform::platform_integration(&settings);
    let node = node::run(settings, integration).await.unwrap();
    TestHost {
        store,
        outage,
        node,
        upstream,
        upstream_address,
        listen: node_addresses.listen,
        ready: service_addresses.listen,
        announce: service_addresses.gate,
        admin: node_addresses.admin,
        http: HttpClient::new(),
    }
}

/// Starts a node and waits until it is ready, with a configuration and an announced upstream of
/// default capacity.
pub async fn ready_host() -> TestHost {
    ready_host_with_capacity(Capacity::default()).await
}

/// Starts a node and waits until it is ready, with a configuration and an announced upstream.
pub async fn ready_host_with_capacity(capacity: Capacity) -> TestHost {
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration("r7", "shop.example"));
    let host = start_host_with_capacity(store, capacity).await;
    assert_eq!(host.send_heartbeat("i-1", "ready", 1, 100).await, 200);
    host.wait_until("ready", async || host.readiness().await == 200).await;
    host
}

impl TestHost {
    /// Polls a condition until it holds, and panics after [`WAIT_TIMEOUT`].
    pub async fn wait_until(&self, description: &str, mut condition: impl AsyncFnMut() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition().await {
            assert!(Instant::now() < deadline, "timed out while waiting for: {description}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the status code of the readiness check.
    pub async fn readiness(&self) -> u16 {
        let uri = format!("http://{}/pistachiolane/readiness", self.ready);
        self.http.get_status(&uri).await.unwrap()
    }

    /// Announces the upstream's address under an instance ID and returns the status code.
    pub async fn send_heartbeat(&self, instance: &str, state: &str, seq: u64, born: u64) -> u16 {
        let body = json!({ "service": "huvo", "address": self.upstream_address, "zone": "a",
            "version": "v1", "slots": self.upstream.capacity.slots, "state": state, "warmup_left_s": 0, "seq": seq, "born": born });
        self.send_announcement(instance, "heartbeat", &body).await
    }

    /// Posts an announcement and returns the status code; `announcement_type` is the last segment
    /// of the path.
    pub async fn send_announcement(
        &self,
        instance: &str,
        announcement_type: &str,
        body: &Value,
    ) -> u16 {
        let uri = format!(
            "http://{}/pistachiolane/instances/{instance}/{announcement_type}",
            self.announce
        );
        self.http.send_json(Method::POST, &uri, body).await.unwrap().head.status().as_u16()
    }

    /// Sends raw bytes on a new connection and returns everything received until it closes.
    pub async fn send_raw(&self, bytes: &str) -> String {
        let mut socket = TcpStream::connect(self.listen).await.unwrap();
        socket.write_all(bytes.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        // A truncated response ends with an error; the bytes before it are still returned.
        let _truncated = socket.read_to_end(&mut response).await;
        String::from_utf8_lossy(&response).into_owned()
    }

    /// Sends a request on a new connection and returns the response.
    pub async fn send_request(&self, method: &str, path: &str, id: &str) -> String {
        self.send_raw(&http_request(method, path, id, "connection: close\r\n")).await
    }
}

/// Returns a request in HTTP/1.1 format; each extra header ends with CRLF.
pub fn http_request(method: &str, path: &str, id: &str, extra_headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\n{PLATFORM_REQUEST_ID}: {id}\r\n\
         x-pistachiolane-deadline-ms: 1200\r\n{extra_headers}\r\n"
    )
}

/// Returns the status code of a response, or 0 if there is none.
pub fn status_code(response: &str) -> u16 {
    response.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}
