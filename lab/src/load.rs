//! Open-loop load: requests leave on schedule, and latency counts from the scheduled time.

use {
    crate::{
        http::{HttpClient, HttpError, WholeAnswer},
        stand_in::LOAD_REQUEST_ID,
    },
    bytes::Bytes,
    hdrhistogram::Histogram,
    http_body_util::Full,
    hyper::{Method, Request, StatusCode, header},
    serde::Serialize,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError, RwLock},
        time::Duration,
    },
    tokio::time::{Instant, sleep_until},
    tokio_util::task::TaskTracker,
};

/// Largest latency recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// One stream of requests.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// Service called.
    pub service: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: Arc<str>,
    /// Requests a second.
    pub rate: u32,
    /// Time for which requests are sent.
    pub duration: Duration,
}

/// What became of the requests of one stream.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadCounts {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers of the right request.
    pub answers: u64,
    /// Answers that the upstream itself gave as an error.
    pub upstream_errors: u64,
    /// Requests told *not run*.
    pub not_run: u64,
    /// Reasons given for them.
    pub not_run_reasons: BTreeMap<String, u64>,
    /// Requests told that their outcome is unknown.
    pub unknown: u64,
    /// Connections or answers cut.
    pub cut: u64,
    /// Answers of another request.
    pub foreign: u64,
}

/// What a caller was told about one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Its own whole answer.
    Answer,
    /// An error of the upstream.
    UpstreamError,
    /// Not run, for this reason.
    NotRun(String),
    /// Unknown.
    Unknown,
    /// Nothing: the connection was cut.
    Cut,
    /// Another request's answer.
    Foreign,
}

/// Results of one stream.
#[derive(Debug)]
pub struct LoadResult {
    /// Counts.
    pub counts: LoadCounts,
    /// Latency of the answers in microseconds.
    pub latency: Histogram<u64>,
    /// What was told about each request.
    pub told: Vec<(String, Told)>,
}

impl LoadResult {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Self {
            counts: LoadCounts::default(),
            latency: latency.unwrap_or_else(|_e| unreachable!("the bounds are valid")),
            told: Vec::new(),
        }
    }

    fn record(&mut self, id: String, told: Told, latency: Duration) {
        self.counts.sent += 1;
        match told {
            Told::Answer => self.counts.answers += 1,
            Told::UpstreamError => self.counts.upstream_errors += 1,
            Told::NotRun(ref reason) => {
                self.counts.not_run += 1;
                *self.counts.not_run_reasons.entry(reason.clone()).or_default() += 1;
            }
            Told::Unknown => self.counts.unknown += 1,
            Told::Cut => self.counts.cut += 1,
            Told::Foreign => self.counts.foreign += 1,
        }
        if told == Told::Answer {
            let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
            self.latency.saturating_record(us);
        }
        self.told.push((id, told));
    }

    /// Latency of a quantile in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Entries that requests are spread over; may change while load runs.
pub type Entries = Arc<RwLock<Vec<SocketAddr>>>;

/// Sends a stream of requests over the entries in turn, and waits for all their ends.
pub async fn run(spec: LoadSpec, entries: Entries, seed: u64) -> LoadResult {
    let result = Arc::new(Mutex::new(LoadResult::new()));
    let http = HttpClient::new();
    let tasks = TaskTracker::new();
    let start = Instant::now();
    let period = Duration::from_secs(1) / spec.rate.max(1);
    let total = (spec.duration.as_nanos() / period.as_nanos().max(1)) as u32;
    for n in 0..total {
        let scheduled = start + period * n;
        sleep_until(scheduled).await;
        let entry = {
            let entries = entries.read().unwrap_or_else(PoisonError::into_inner);
            entries[n as usize % entries.len()]
        };
        let (spec, http, result) = (spec.clone(), http.clone(), Arc::clone(&result));
        let id = format!("{}-{seed}-{n}", spec.service);
        tasks.spawn(async move {
            let told = one(&http, &spec, entry, &id).await;
            let latency = scheduled.elapsed();
            let mut result = result.lock().unwrap_or_else(PoisonError::into_inner);
            result.record(id, told, latency);
        });
    }
    tasks.close();
    tasks.wait().await;
    let mut result = result.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::replace(&mut result, LoadResult::new())
}

/// Sends one request to an entry and tells what its caller was told.
pub async fn one(http: &HttpClient, spec: &LoadSpec, entry: SocketAddr, id: &str) -> Told {
    let body = if spec.method == Method::GET { Bytes::new() } else { Bytes::from(id.to_owned()) };
    let req = Request::builder()
        .method(spec.method.clone())
        .uri(format!("http://{entry}{}", spec.path))
        .header(header::HOST, spec.service.as_ref())
        .header(LOAD_REQUEST_ID, id)
        .body(Full::new(body));
    let Ok(req) = req else { return Told::Cut };
    match http.send(req).await {
        Ok(answer) => told(&answer, id),
        Err(HttpError::Invalid | HttpError::NoAnswer | HttpError::Cut) => Told::Cut,
    }
}

fn told(answer: &WholeAnswer, id: &str) -> Told {
    let header = |name: &str| answer.head.headers().get(name).and_then(|v| v.to_str().ok());
    let outcome = header("pistachiolane-outcome");
    let named = header(LOAD_REQUEST_ID);
    let ends_with_id = answer.body.ends_with(format!("answer {id}").as_bytes());
    match (answer.head.status(), outcome) {
        (_, Some("not-run")) => {
            Told::NotRun(header("pistachiolane-reason").unwrap_or_default().to_owned())
        }
        (_, Some("unknown")) => Told::Unknown,
        (StatusCode::OK, _) if ends_with_id && named == Some(id) => Told::Answer,
        (StatusCode::OK, _) => Told::Foreign,
        _ => Told::UpstreamError,
    }
}
