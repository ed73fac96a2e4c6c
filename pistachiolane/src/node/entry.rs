//! The entry: takes callers' requests and gives them answers.

use {
    super::{
        attempt_driver::{CallEnd, Driver, OutgoingBody, OutgoingRequest},
        body::{Body, stream},
        headers,
        hop::probe_request,
        responses,
        shared::Shared,
    },
    crate::{
        attempt::{CallSpec, Outcome},
        config::Limits,
        metrics::Metrics,
        routing::{Candidate, ProbeBudget, ServiceTable, next_probe},
        schema::ServiceSettings,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Limited},
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        body::{Body as HttpBody, Incoming},
        header,
        service::service_fn,
    },
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::conn::auto,
    },
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

/// Largest body that is held whole, so that it can be sent again.
const MAX_HELD_BODY_BYTES: u64 = 65_536;

/// Bytes of a refused body that are read, so that its sender gets to hear of it.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Time for that.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1_024;

/// Time for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Deepest nesting of calls.
const MAX_DEPTH: u64 = 16;

/// Time for a load probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The entry side of a node.
#[derive(Clone, Debug)]
pub struct Entry {
    driver: Driver,
}

/// Why a request is turned away before any attempt; it is not run.
#[derive(Debug, thiserror::Error)]
enum Rejection {
    #[error("no service `{0}`")]
    UnknownService(String),
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(u64),
    #[error("the body ended early")]
    BodyLost,
    #[error("calls are nested deeper than {MAX_DEPTH}")]
    TooDeep,
    #[error("this node does not know the fleet or its settings yet")]
    NotReady,
}

impl Rejection {
    fn response(&self) -> Response<Body> {
        let (status, reason) = match self {
            Self::UnknownService(_) => (StatusCode::NOT_FOUND, "unknown-service"),
            Self::BodyTooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
            Self::BodyLost => (StatusCode::BAD_REQUEST, "body-lost"),
            Self::TooDeep => (StatusCode::LOOP_DETECTED, "too-deep"),
            Self::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "not-ready"),
        };
        responses::rejected(status, reason, format!("not run: {self}"))
    }
}

impl Entry {
    /// The entry that drives calls with `driver`.
    pub fn new(driver: Driver) -> Self {
        Self { driver }
    }

    /// Accepts callers' connections until the node stops.
    pub async fn serve(self, listener: TcpListener) {
        let stopping = self.driver.shared.stopping.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stopping.cancelled() => return,
            };
            match accepted {
                Ok((socket, _)) => self.spawn_connection(socket),
                // Out of descriptors, most likely; others will close.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    fn spawn_connection(&self, socket: TcpStream) {
        let _no_effect = socket.set_nodelay(true);
        let entry = self.clone();
        let shared = Arc::clone(&self.driver.shared);
        self.driver.shared.work.spawn(async move { entry.connection(socket, &shared).await });
    }

    async fn connection(self, socket: TcpStream, shared: &Shared) {
        let service = service_fn(move |req: Request<Incoming>| {
            let entry = self.clone();
            async move { Ok::<_, Infallible>(entry.request(req).await) }
        });
        let mut http = auto::Builder::new(TokioExecutor::new());
        http.http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .half_close(false);
        http.http2().timer(TokioTimer::new()).max_header_list_size(MAX_HEAD_BYTES as u32);
        let served = http.serve_connection(TokioIo::new(socket), service);
        tokio::pin!(served);
        // A caller's broken connection concerns nobody else.
        tokio::select! {
            _ended = served.as_mut() => return,
            () = shared.stopping.cancelled() => served.as_mut().graceful_shutdown(),
        }
        let _ended = served.await;
    }

    async fn request(&self, req: Request<Incoming>) -> Response<Body> {
        let metrics = &self.driver.shared.metrics;
        match self.call(req).await {
            Ok(res) => res,
            Err(rejection) => {
                Metrics::count(&metrics.calls, "rejected");
                rejection.response()
            }
        }
    }

    async fn call(&self, req: Request<Incoming>) -> Result<Response<Body>, Rejection> {
        let shared = &self.driver.shared;
        let name = service_name(&req);
        let tree = shared.tree.load_full();
        let Some(settings) = tree.service(&name) else {
            return Err(self.absent(name));
        };
        let limits = Limits::of(settings, req.method().as_str(), req.uri().path());
        if headers::number(req.headers(), &headers::DEPTH).is_some_and(|d| d >= MAX_DEPTH) {
            return Err(Rejection::TooDeep);
        }
        let (spec, outgoing) = self.prepare(settings, &limits, req).await?;
        let Some(table) = shared.table.load().service(&name).map(Arc::clone) else {
            if !shared.is_ready() {
                return Err(Rejection::NotReady);
            }
            let reason = crate::attempt::NotRunReason::NoUpstream;
            Metrics::count(&shared.metrics.calls, "not-run");
            return Ok(responses::not_run(reason, Duration::from_secs(1)));
        };
        self.watch_load(&table);
        let end = self.driver.drive(&table, spec, outgoing).await;
        Ok(self.response(end))
    }

    fn absent(&self, name: String) -> Rejection {
        if self.driver.shared.is_ready() {
            Rejection::UnknownService(name)
        } else {
            Rejection::NotReady
        }
    }

    async fn prepare(
        &self,
        settings: &ServiceSettings,
        limits: &Limits,
        req: Request<Incoming>,
    ) -> Result<(CallSpec, OutgoingRequest), Rejection> {
        let (mut parts, body) = req.into_parts();
        let is_retry = parts.headers.contains_key(headers::RETRIED);
        let budget = headers::number(&parts.headers, &headers::BUDGET_MS)
            .map_or(limits.timeout, |ms| limits.timeout.min(Duration::from_millis(ms)));
        clean(&mut parts.headers);
        let deadline = self.driver.shared.now() + budget;
        let body = hold(body, limits.max_body_bytes).await?;
        let spec = CallSpec {
            kind: limits.kind,
            deadline,
            is_retry,
            retry_percent: settings.retry_percent,
            hedge: settings.hedge,
            replayable: matches!(body, OutgoingBody::Whole(_)),
        };
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
        let headers = parts.headers;
        Ok((spec, OutgoingRequest { method: parts.method, path, headers, body, is_retry }))
    }

    fn response(&self, end: CallEnd) -> Response<Body> {
        let calls = &self.driver.shared.metrics.calls;
        match end {
            CallEnd::Answer(mut res) => {
                Metrics::count(calls, "answer");
                responses::set(&mut res, &headers::OUTCOME, "answer");
                res
            }
            CallEnd::NoAnswer(Outcome::NotRun { reason, retry_after }) => {
                Metrics::count(calls, "not-run");
                responses::not_run(reason, retry_after)
            }
            CallEnd::NoAnswer(_) => {
                Metrics::count(calls, "unknown");
                responses::unknown(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    /// Ejects stragglers, and asks an upstream of which nothing fresh is known for its load.
    fn watch_load(&self, table: &Arc<ServiceTable>) {
        let shared = &self.driver.shared;
        let now = shared.now();
        for candidate in table.eject_stragglers(now) {
            shared.metrics.ejections.inc();
            log::info!(target: "routing", "ejected upstream node={:016x}", candidate.member.node);
        }
        let budget = ProbeBudget { probes: &shared.probes, paid: &shared.paid };
        if let Some(candidate) = next_probe(table, now, budget) {
            shared.metrics.probes.inc();
            let shared = Arc::clone(shared);
            tokio::spawn(async move { probe(&shared, &candidate).await });
        }
    }
}

async fn probe(shared: &Shared, candidate: &Candidate) {
    let Some(req) = probe_request(&candidate.member, headers::PROBE_PATH) else {
        return;
    };
    let sent = shared.hops.send(&candidate.member, req, |_, _| ());
    let Ok(Ok(res)) = timeout(PROBE_TIMEOUT, sent).await else {
        return;
    };
    let report = headers::report(res.headers());
    if let Some(report) = report {
        candidate.report(shared.now(), &report);
    }
}

/// The service is the first label of the host that the caller names.
fn service_name(req: &Request<Incoming>) -> String {
    let host = req.uri().host().or_else(|| req.headers().get(header::HOST)?.to_str().ok());
    let label = host.and_then(|h| h.split(['.', ':']).next()).unwrap_or("");
    label.to_ascii_lowercase()
}

/// Removes the system's own headers; those of a nested call keep only what upstreams see.
fn clean(map: &mut HeaderMap) {
    let depth = map.get(headers::DEPTH).cloned();
    headers::strip(map);
    headers::strip_hop_by_hop(map);
    if let Some(depth) = depth {
        map.insert(headers::DEPTH, depth);
    }
}

/// Reads on for a while, so that a caller that still sends can hear the answer.
async fn discard(body: Incoming) {
    let limited = Limited::new(body, MAX_DISCARDED_BYTES);
    // What is left then is cut with the connection.
    let _discarded = timeout(DISCARD_TIMEOUT, limited.collect()).await;
}

/// Holds a small body whole; a large one, or one of unknown size, is streamed once.
async fn hold(body: Incoming, max_bytes: u64) -> Result<OutgoingBody, Rejection> {
    let size = body.size_hint();
    if size.lower() > max_bytes {
        discard(body).await;
        return Err(Rejection::BodyTooLarge(max_bytes));
    }
    if size.upper().is_some_and(|upper| upper <= MAX_HELD_BODY_BYTES) {
        if size.upper() == Some(0) {
            return Ok(OutgoingBody::Whole(Bytes::new()));
        }
        let whole = body.collect().await.map_err(|_e| Rejection::BodyLost)?;
        return Ok(OutgoingBody::Whole(whole.to_bytes()));
    }
    let limit = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let limited = Limited::new(stream(body), limit).boxed_unsync();
    Ok(OutgoingBody::Once(Some(limited)))
}
