//! Open-loop load generator: requests are sent on a schedule whether or not earlier ones have
//! ended, and latency counts from the scheduled time.

use {
    crate::{
        http::{CompleteResponse, HttpClient, HttpError},
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

/// A stream of requests of one kind.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// Service to call, sent as the `host` header.
    pub service: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: Arc<str>,
    /// Requests per second.
    pub rate: u32,
    /// Time during which requests are sent.
    pub duration: Duration,
}

/// Numbers of requests of one stream by outcome.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests that received their own complete response.
    pub answers: u64,
    /// Requests to which the upstream responded with an error.
    pub upstream_errors: u64,
    /// Requests reported as not run.
    pub not_run: u64,
    /// Requests reported as not run, by reason.
    pub not_run_reasons: BTreeMap<String, u64>,
    /// Requests whose outcome was reported as unknown.
    pub unknown: u64,
    /// Requests without a complete response.
    #[serde(rename = "cut")]
    pub incomplete: u64,
    /// Requests that received the response of another request.
    #[serde(rename = "foreign")]
    pub mismatched: u64,
}

/// Outcome of one request as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response of this request.
    Answer,
    /// An error response of the upstream.
    UpstreamError,
    /// Reported as not run, with the reason.
    NotRun(String),
    /// Reported as unknown.
    Unknown,
    /// No response, or a response that was cut off; also if the request could not be built.
    NoCompleteResponse,
    /// The response of another request.
    Mismatched,
}

/// Results of one stream.
#[derive(Debug)]
pub struct LoadResult {
    /// Numbers of requests by outcome.
    pub counts: LoadCounts,
    /// Latency in microseconds of the requests with outcome `Answer`.
    pub latency: Histogram<u64>,
    /// Id and outcome of each request.
    pub outcomes: Vec<(String, RequestOutcome)>,
}

impl LoadResult {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Self {
            counts: LoadCounts::default(),
            latency: latency.unwrap_or_else(|_e| unreachable!("the histogram bounds are valid")),
            outcomes: Vec::new(),
        }
    }

    fn record(&mut self, id: String, outcome: RequestOutcome, latency: Duration) {
        self.counts.sent += 1;
        match outcome {
            RequestOutcome::Answer => self.counts.answers += 1,
            RequestOutcome::UpstreamError => self.counts.upstream_errors += 1,
            RequestOutcome::NotRun(ref reason) => {
                self.counts.not_run += 1;
                *self.counts.not_run_reasons.entry(reason.clone()).or_default() += 1;
            }
            RequestOutcome::Unknown => self.counts.unknown += 1,
            RequestOutcome::NoCompleteResponse => self.counts.incomplete += 1,
            RequestOutcome::Mismatched => self.counts.mismatched += 1,
        }
        if outcome == RequestOutcome::Answer {
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
            self.latency.saturating_record(latency_us);
        }
        self.outcomes.push((id, outcome));
    }

    /// Returns a quantile of the latency in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Caller addresses of the entries that requests are distributed over; may change while load runs.
pub type Entries = Arc<RwLock<Vec<SocketAddr>>>;

/// Sends a stream of requests to the entries in round-robin order and waits until all have ended.
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
            let outcome = send_request(&http, &spec, entry, &id).await;
            let latency = scheduled.elapsed();
            let mut result = result.lock().unwrap_or_else(PoisonError::into_inner);
            result.record(id, outcome, latency);
        });
    }
    tasks.close();
    tasks.wait().await;
    let mut result = result.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::replace(&mut result, LoadResult::new())
}

/// Sends one request to an entry, or directly to an upstream, and returns the outcome.
pub async fn send_request(
    http: &HttpClient,
    spec: &LoadSpec,
    target: SocketAddr,
    id: &str,
) -> RequestOutcome {
    let body = if spec.method == Method::GET { Bytes::new() } else { Bytes::from(id.to_owned()) };
    let req = Request::builder()
        .method(spec.method.clone())
        .uri(format!("http://{target}{}", spec.path))
        .header(header::HOST, spec.service.as_ref())
        .header(LOAD_REQUEST_ID, id)
        .body(Full::new(body));
    let Ok(req) = req else { return RequestOutcome::NoCompleteResponse };
    match http.send(req).await {
        Ok(response) => classify(&response, id),
        Err(HttpError::Invalid | HttpError::NoResponse | HttpError::ResponseCutOff) => {
            RequestOutcome::NoCompleteResponse
        }
    }
}

/// Derives the outcome of request `id` from the status, headers and body of its response.
fn classify(response: &CompleteResponse, id: &str) -> RequestOutcome {
    let header = |name: &str| response.head.headers().get(name).and_then(|v| v.to_str().ok());
    let outcome = header("pistachiolane-outcome");
    let response_id = header(LOAD_REQUEST_ID);
    let ends_with_id = response.body.ends_with(format!("answer {id}").as_bytes());
    match (response.head.status(), outcome) {
        (_, Some("not-run")) => {
            RequestOutcome::NotRun(header("pistachiolane-reason").unwrap_or_default().to_owned())
        }
        (_, Some("unknown")) => RequestOutcome::Unknown,
        (StatusCode::OK, _) if ends_with_id && response_id == Some(id) => RequestOutcome::Answer,
        (StatusCode::OK, _) => RequestOutcome::Mismatched,
        _ => RequestOutcome::UpstreamError,
    }
}
