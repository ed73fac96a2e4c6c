//! A node on the users' platform, over real sockets, and what stands around it.
#![allow(dead_code, reason = "each test program uses a part")]

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

/// Time for a state to come about.
pub const PATIENCE: Duration = Duration::from_secs(15);

/// A node on the platform's interfaces, with the upstream beside it.
pub struct Site {
    pub store: Arc<PlatformStandIn>,
    /// Turns this node away from the store.
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

/// A configuration with a route for each kind of work.
pub fn configuration(version: &str, host: &str) -> Value {
    let row = |name: &str, route_type| RouteRow {
        name: name.to_owned(),
        host,
        route_type,
        timeout_s: 1.5,
        service: "huvo",
        max_attempts: 2,
    };
    let routes = [row("orders", "non_idempotent"), row("sizing", "idempotent")];
    lab::stand_in::configuration(version, &routes, &["huvo"])
}

/// A node beside an upstream of the usual capacity.
pub async fn start(store: Arc<PlatformStandIn>) -> Site {
    start_with(store, Capacity::default()).await
}

/// A node beside an upstream; nobody has announced the upstream yet.
pub async fn start_with(store: Arc<PlatformStandIn>, capacity: Capacity) -> Site {
    let outage = Arc::<HostOutage>::default();
    let stop = CancellationToken::new();
    let store_address = store.start_for_host(loopback(0), stop, Arc::clone(&outage)).await.unwrap();
    let (upstream, upstream_address) =
        PlatformUpstream::start_with_capacity("i-1", capacity).await.unwrap();
    let own = free_addresses().await.unwrap();
    let more = free_addresses().await.unwrap();
    let flag = |name: &str| {
        Some(match name {
            "interface" => "platform".to_owned(),
            "listen" => own.listen.to_string(),
            "gate-listen" => own.gate.to_string(),
            "control-listen" => own.control.to_string(),
            "admin-listen" => own.admin.to_string(),
            "ready-listen" => more.listen.to_string(),
            "announce-listen" => more.gate.to_string(),
            "platform" => format!("http://{store_address}"),
            "service" => "huvo".to_owned(),
            "heartbeat" => "60".to_owned(),
            _ => return None,
        })
    };
    let source = SettingsSource { flag: &flag, env: &|_| None, derived: &|_| None };
    let settings = ProcessSettings::new(&source).unwrap();
    let integration = platform::integration(&settings);
    let node = node::run(settings, integration).await.unwrap();
    Site {
        store,
        outage,
        node,
        upstream,
        upstream_address,
        listen: own.listen,
        ready: more.listen,
        announce: more.gate,
        admin: own.admin,
        http: HttpClient::new(),
    }
}

/// A node with a configuration and an upstream that is ready.
pub async fn site() -> Site {
    site_with(Capacity::default()).await
}

/// A node with a configuration and an upstream that is ready.
pub async fn site_with(capacity: Capacity) -> Site {
    let store = PlatformStandIn::new();
    store.write_as_operator("config", "main", configuration("r7", "shop.example"));
    let site = start_with(store, capacity).await;
    assert_eq!(site.beat("i-1", "ready", 1, 100).await, 200);
    site.until("ready", async || site.readiness().await == 200).await;
    site
}

impl Site {
    pub async fn until(&self, what: &str, mut done: impl AsyncFnMut() -> bool) {
        let until = Instant::now() + PATIENCE;
        while !done().await {
            assert!(Instant::now() < until, "not in time: {what}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn readiness(&self) -> u16 {
        let uri = format!("http://{}/pistachiolane/readiness", self.ready);
        self.http.get_status(&uri).await.unwrap()
    }

    pub async fn beat(&self, instance: &str, state: &str, seq: u64, born: u64) -> u16 {
        let body = json!({ "service": "huvo", "address": self.upstream_address, "zone": "a",
            "version": "v1", "slots": self.upstream.capacity.slots, "state": state, "warmup_left_s": 0, "seq": seq, "born": born });
        self.tell(instance, "heartbeat", &body).await
    }

    pub async fn tell(&self, instance: &str, what: &str, body: &Value) -> u16 {
        let uri = format!("http://{}/pistachiolane/instances/{instance}/{what}", self.announce);
        self.http.send_json(Method::POST, &uri, body).await.unwrap().head.status().as_u16()
    }

    /// Sends raw bytes on a connection of their own and reads until it closes.
    pub async fn raw(&self, text: &str) -> String {
        let mut socket = TcpStream::connect(self.listen).await.unwrap();
        socket.write_all(text.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        // A cut answer ends with an error; what came before counts.
        let _cut = socket.read_to_end(&mut answer).await;
        String::from_utf8_lossy(&answer).into_owned()
    }

    pub async fn call(&self, method: &str, path: &str, id: &str) -> String {
        self.raw(&request(method, path, id, "connection: close\r\n")).await
    }
}

pub fn request(method: &str, path: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\n{PLATFORM_REQUEST_ID}: {id}\r\n\
         x-pistachiolane-deadline-ms: 1200\r\n{more}\r\n"
    )
}

pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}
