//! Stand-in for an upstream: slots, service times and injected faults.

use {
    super::http_server::{Body, json_response, serve, text_response},
    bytes::Bytes,
    http_body_util::{BodyExt, StreamBody},
    hyper::{Method, Request, Response, StatusCode, body::Frame, body::Incoming},
    rand::RngExt,
    serde_json::json,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::Semaphore,
        time::{interval, sleep},
    },
    tokio_util::sync::CancellationToken,
};

/// Name of the header with the request id of the load tool; the response carries the same id.
pub const LOAD_REQUEST_ID: &str = "x-request-id";

/// Interval between announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Delay before each part of a long download.
const PART_PAUSE: Duration = Duration::from_millis(20);

/// Size of one part of a long download, in bytes.
const PART_BYTES: usize = 4_096;

/// Properties of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamBehaviour {
    /// Service of the upstream.
    pub service: Arc<str>,
    /// Number of requests that run concurrently.
    pub slots: u16,
    /// Number of slots that it announces, which may differ from `slots`.
    pub announced_slots: u16,
    /// Maximum number of requests that wait for a slot; further ones get status 503.
    pub max_waiting: u32,
    /// Mean service time.
    pub mean_service_time: Duration,
    /// Whether every request takes the mean service time; otherwise it is exponentially distributed.
    pub fixed_service_time: bool,
    /// Time after the creation of the upstream during which requests take ten times as long.
    ///
    /// No effect on a fixed service time.
    pub cold_start: Duration,
}

/// Upstream that serves HTTP and announces itself to a node.
#[derive(Debug)]
pub struct UpstreamStandIn {
    behaviour: UpstreamBehaviour,
    address: Mutex<Option<SocketAddr>>,
    started: tokio::time::Instant,
    slots: Semaphore,
    waiting: AtomicU64,
    runs: Mutex<HashMap<String, u32>>,
    /// Number of long downloads that were sent completely.
    pub completed_downloads: Arc<AtomicU64>,
    /// Whether requests fail immediately with status 503.
    pub failing: AtomicBool,
    /// Whether it announces that it is draining.
    pub draining: AtomicBool,
    /// Slowness: factor on an exponential service time, in percent.
    pub slowness_percent: AtomicU64,
}

impl UpstreamBehaviour {
    /// Returns the behaviour of an upstream that announces its real slots and has exponential service times.
    pub fn new(service: &str, slots: u16, mean_service_time: Duration) -> Self {
        Self {
            service: Arc::from(service),
            slots,
            announced_slots: slots,
            max_waiting: 1_000,
            mean_service_time,
            fixed_service_time: false,
            cold_start: Duration::ZERO,
        }
    }
}

impl UpstreamStandIn {
    /// Creates an upstream that has not started.
    pub fn new(behaviour: UpstreamBehaviour) -> Arc<Self> {
        let slots = Semaphore::new(usize::from(behaviour.slots));
        Arc::new(Self {
            behaviour,
            address: Mutex::default(),
            started: tokio::time::Instant::now(),
            slots,
            waiting: AtomicU64::new(0),
            runs: Mutex::default(),
            completed_downloads: Arc::default(),
            failing: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            slowness_percent: AtomicU64::new(100),
        })
    }

    /// Serves requests on an address and announces itself to the node with the admin address `node_admin`.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn start(
        self: &Arc<Self>,
        address: SocketAddr,
        node_admin: SocketAddr,
        stop: CancellationToken,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
        let upstream = Arc::clone(self);
        tokio::spawn(serve(listener, stop.clone(), move |req| {
            let upstream = Arc::clone(&upstream);
            async move { Ok(upstream.respond(req).await) }
        }));
        tokio::spawn(Arc::clone(self).announce(address, node_admin, stop));
        Ok(address)
    }

    /// Returns the address on which it serves; the port is 0 before the start.
    pub fn address(&self) -> SocketAddr {
        let address = *self.address.lock().unwrap_or_else(PoisonError::into_inner);
        address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Returns how often each request ran, by request id.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn announce(
        self: Arc<Self>,
        address: SocketAddr,
        node_admin: SocketAddr,
        stop: CancellationToken,
    ) {
        let mut timer = interval(ANNOUNCE_PERIOD);
        let http = crate::http::HttpClient::new();
        loop {
            tokio::select! {
                _tick = timer.tick() => {}
                () = stop.cancelled() => return,
            }
            let body = json!({
                "service": self.behaviour.service,
                "address": address,
                "slots": self.behaviour.announced_slots,
                "connections": 260,
                "draining": self.draining.load(Ordering::Relaxed),
            });
            // An error is ignored: a node that has not started yet receives the next announcement.
            let _lost = http.post_json(&format!("http://{node_admin}/announce"), &body).await;
        }
    }

    async fn respond(self: &Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/lab/fail") => self.enable(&self.failing),
            (&Method::POST, "/lab/drain") => self.enable(&self.draining),
            // The reported load is constant and wrong on purpose.
            (&Method::GET, "/load") => json_response(StatusCode::OK, &json!({ "running": 0 })),
            (&Method::GET, "/lab/runs") => json_response(StatusCode::OK, &self.runs()),
            _ => self.run_request(req).await,
        }
    }

    fn enable(&self, switch: &AtomicBool) -> Response<Body> {
        switch.store(true, Ordering::Relaxed);
        text_response(StatusCode::OK, self.behaviour.service.to_string())
    }

    async fn run_request(self: &Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        if self.failing.load(Ordering::Relaxed) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "failing");
        }
        let id = req
            .headers()
            .get(LOAD_REQUEST_ID)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
            .to_owned();
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= u64::from(self.behaviour.max_waiting) {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "shedding");
        }
        let slot = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Ok(_slot) = slot else {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "closed");
        };
        let is_download = req.uri().path() == "/long";
        *self.runs.lock().unwrap_or_else(PoisonError::into_inner).entry(id.clone()).or_default() +=
            1;
        let Ok(_body) = req.into_body().collect().await else {
            return text_response(StatusCode::BAD_REQUEST, "body lost");
        };
        let service_time = self.service_time();
        if !service_time.is_zero() {
            sleep(service_time).await;
        }
        if is_download {
            download(&id, &self.completed_downloads)
        } else {
            with_request_id(&id, text_response(StatusCode::OK, format!("answer {id}")))
        }
    }

    fn service_time(&self) -> Duration {
        if self.behaviour.fixed_service_time {
            return self.behaviour.mean_service_time;
        }
        let uniform: f64 = rand::rng().random_range(f64::EPSILON..1.0);
        let cold_factor =
            if self.started.elapsed() < self.behaviour.cold_start { 10.0 } else { 1.0 };
        let slowness = self.slowness_percent.load(Ordering::Relaxed) as f64 / 100.0;
        self.behaviour.mean_service_time.mul_f64(-uniform.ln() * cold_factor * slowness)
    }
}

/// Builds a response that takes about two seconds to send and ends with the request id.
fn download(id: &str, completed: &Arc<AtomicU64>) -> Response<Body> {
    let start = (0_u32, id.to_owned(), Arc::clone(completed));
    let parts = futures::stream::unfold(start, |(part, id, completed)| async move {
        let bytes = match part {
            0..100 => Bytes::from(vec![b'.'; PART_BYTES]),
            100 => Bytes::from(format!("answer {id}")),
            _ => {
                completed.fetch_add(1, Ordering::Relaxed);
                return None;
            }
        };
        sleep(PART_PAUSE).await;
        Some((Ok(Frame::data(bytes)), (part + 1, id, completed)))
    });
    with_request_id(id, Response::new(StreamBody::new(parts).boxed_unsync()))
}

fn with_request_id(id: &str, mut res: Response<Body>) -> Response<Body> {
    if let Ok(value) = id.parse() {
        res.headers_mut().insert(LOAD_REQUEST_ID, value);
    }
    res
}
