//! An upstream: slots, service times, and the ways in which it goes wrong.

use {
    super::http_server::{Body, json as json_answer, serve, text},
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

/// Header that names a request of the load tool; the answer carries it back.
pub const LOAD_REQUEST_ID: &str = "x-request-id";

/// Time between two announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Pause between the parts of a long download.
const PART_PAUSE: Duration = Duration::from_millis(20);

/// Bytes of one part of a long download.
const PART_BYTES: usize = 4_096;

/// How an upstream behaves.
#[derive(Clone, Debug)]
pub struct UpstreamBehaviour {
    /// Service that it runs.
    pub service: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Slots that it announces, which may mislead.
    pub announced_slots: u16,
    /// Requests that wait for a slot before it sheds load with an error.
    pub max_waiting: u32,
    /// Mean of the service time.
    pub mean_service_time: Duration,
    /// Whether every request takes the mean; otherwise the time is exponential.
    pub fixed_service_time: bool,
    /// Time after the start during which requests take ten times as long.
    pub cold_start: Duration,
}

/// The stand-in.
#[derive(Debug)]
pub struct UpstreamStandIn {
    behaviour: UpstreamBehaviour,
    address: Mutex<Option<SocketAddr>>,
    started: tokio::time::Instant,
    slots: Semaphore,
    waiting: AtomicU64,
    runs: Mutex<HashMap<String, u32>>,
    /// Long downloads that were sent to their end.
    pub completed_downloads: Arc<AtomicU64>,
    /// Whether it answers with an error at once.
    pub failing: AtomicBool,
    /// Whether it asks for no new work.
    pub draining: AtomicBool,
    /// Factor on the service time, in percent.
    pub slowness_percent: AtomicU64,
}

impl UpstreamBehaviour {
    /// An upstream that tells the truth about its slots and takes exponential time.
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
    /// An upstream that has not started.
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

    /// Serves requests and announces itself to the node at an admin address.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn start(
        self: &Arc<Self>,
        address: SocketAddr,
        node: SocketAddr,
        stop: CancellationToken,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
        let upstream = Arc::clone(self);
        tokio::spawn(serve(listener, stop.clone(), move |req| {
            let upstream = Arc::clone(&upstream);
            async move { Ok(upstream.answer(req).await) }
        }));
        tokio::spawn(Arc::clone(self).announce(address, node, stop));
        Ok(address)
    }

    /// The address that it serves on.
    pub fn address(&self) -> SocketAddr {
        let address = *self.address.lock().unwrap_or_else(PoisonError::into_inner);
        address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Times that each request was run, by its identity.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn announce(
        self: Arc<Self>,
        address: SocketAddr,
        node: SocketAddr,
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
            // A node that is not there yet hears the next one.
            let _lost = http.post_json(&format!("http://{node}/announce"), &body).await;
        }
    }

    async fn answer(self: &Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/lab/fail") => self.switch(&self.failing),
            (&Method::POST, "/lab/drain") => self.switch(&self.draining),
            // Its own view of its load is always the same, and wrong.
            (&Method::GET, "/load") => json_answer(StatusCode::OK, &json!({ "running": 0 })),
            (&Method::GET, "/lab/runs") => json_answer(StatusCode::OK, &self.runs()),
            _ => self.work(req).await,
        }
    }

    fn switch(&self, fault: &AtomicBool) -> Response<Body> {
        fault.store(true, Ordering::Relaxed);
        text(StatusCode::OK, self.behaviour.service.to_string())
    }

    async fn work(self: &Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        if self.failing.load(Ordering::Relaxed) {
            return text(StatusCode::SERVICE_UNAVAILABLE, "failing");
        }
        let id = req
            .headers()
            .get(LOAD_REQUEST_ID)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
            .to_owned();
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= u64::from(self.behaviour.max_waiting) {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return text(StatusCode::SERVICE_UNAVAILABLE, "shedding");
        }
        let slot = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Ok(_slot) = slot else {
            return text(StatusCode::SERVICE_UNAVAILABLE, "closed");
        };
        let long = req.uri().path() == "/long";
        *self.runs.lock().unwrap_or_else(PoisonError::into_inner).entry(id.clone()).or_default() +=
            1;
        let Ok(_body) = req.into_body().collect().await else {
            return text(StatusCode::BAD_REQUEST, "body lost");
        };
        let service_time = self.service_time();
        if !service_time.is_zero() {
            sleep(service_time).await;
        }
        if long {
            download(&id, &self.completed_downloads)
        } else {
            named(&id, text(StatusCode::OK, format!("answer {id}")))
        }
    }

    fn service_time(&self) -> Duration {
        if self.behaviour.fixed_service_time {
            return self.behaviour.mean_service_time;
        }
        let uniform: f64 = rand::rng().random_range(f64::EPSILON..1.0);
        let cold = if self.started.elapsed() < self.behaviour.cold_start { 10.0 } else { 1.0 };
        let slow = self.slowness_percent.load(Ordering::Relaxed) as f64 / 100.0;
        self.behaviour.mean_service_time.mul_f64(-uniform.ln() * cold * slow)
    }
}

/// A download of a few seconds that ends with the request's identity.
fn download(id: &str, whole: &Arc<AtomicU64>) -> Response<Body> {
    let start = (0_u32, id.to_owned(), Arc::clone(whole));
    let parts = futures::stream::unfold(start, |(part, id, whole)| async move {
        let bytes = match part {
            0..100 => Bytes::from(vec![b'.'; PART_BYTES]),
            100 => Bytes::from(format!("answer {id}")),
            _ => {
                whole.fetch_add(1, Ordering::Relaxed);
                return None;
            }
        };
        sleep(PART_PAUSE).await;
        Some((Ok(Frame::data(bytes)), (part + 1, id, whole)))
    });
    named(id, Response::new(StreamBody::new(parts).boxed_unsync()))
}

fn named(id: &str, mut res: Response<Body>) -> Response<Body> {
    if let Ok(value) = id.parse() {
        res.headers_mut().insert(LOAD_REQUEST_ID, value);
    }
    res
}
