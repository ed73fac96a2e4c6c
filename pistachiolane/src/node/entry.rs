//! The entry: takes callers' requests and gives them answers.

use {
    super::{
        accept::accept,
        attempt_driver::{CallEnd, Driver, OutgoingBody, OutgoingRequest},
        body::{Body, stream},
        caller_socket::CallerSocket,
        headers,
        hop::probe_request,
        pipeline::{Pipeline, RunningAhead},
        responses,
        shared::Shared,
        treatment::Treatment,
    },
    crate::{
        attempt::{CallSpec, NotRunReason, Outcome},
        metrics::Metrics,
        routing::{Candidate, NO_UPSTREAM_RETRY_AFTER, ProbeBudgets, ServiceTable, next_probe},
        schema::{CallerLimits, WorkKind},
        tick::Tick,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Limited},
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        body::{Body as HttpBody, Incoming},
        header,
        http::request::Parts,
        service::service_fn,
    },
    hyper_util::{
        rt::{TokioExecutor, TokioTimer},
        server::conn::auto,
    },
    rand::RngExt,
    socket2::SockRef,
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// Largest body that is held whole, so that it can be sent again.
const MAX_HELD_BODY_BYTES: u64 = 65_536;

/// Bytes of a refused body that are read, so that its sender gets to hear of it.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Time for that.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Smallest bound on the head of a request in bytes that the HTTP server accepts.
const MIN_HEAD_BYTES: u32 = 8 << 10;

/// Time after which unacknowledged bytes break a caller's connection.
const CALLER_SILENCE: Duration = Duration::from_secs(5);

/// Time between two looks at whether the last call that runs ahead of its turn was answered.
const PIPELINE_POLL: Duration = Duration::from_millis(10);

/// When a caller may come back to a node that does not know the fleet or its settings yet.
const NOT_READY_PAUSE: Duration = Duration::from_millis(500);

/// Route in the metrics of calls that were rejected before they had one.
const NO_ROUTE: &str = "";

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
    #[error("no service or route `{0}`")]
    UnknownService(String),
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(u64),
    #[error("the body ended early")]
    BodyLost,
    #[error("the body did not come in time")]
    BodyLate,
    #[error("calls are nested deeper than {MAX_DEPTH}")]
    TooDeep,
    #[error("this node does not know the fleet or its settings yet")]
    NotReady,
}

impl Rejection {
    fn status(&self) -> (StatusCode, &'static str) {
        match self {
            Self::UnknownService(_) => (StatusCode::NOT_FOUND, "unknown-service"),
            Self::BodyTooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
            Self::BodyLost => (StatusCode::BAD_REQUEST, "body-lost"),
            Self::BodyLate => (StatusCode::REQUEST_TIMEOUT, "body-late"),
            Self::TooDeep => (StatusCode::LOOP_DETECTED, "too-deep"),
            Self::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "not-ready"),
        }
    }

    fn response(&self, fractions: bool) -> Response<Body> {
        let (status, reason) = self.status();
        let mut res = responses::rejected(status, reason, format!("not run: {self}"));
        match self {
            Self::NotReady => responses::set_retry_after(&mut res, NOT_READY_PAUSE, fractions),
            Self::BodyLate => responses::set(&mut res, &header::CONNECTION, "close"),
            _ => {}
        }
        res
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
            tokio::select! {
                socket = accept(&listener, "callers") => self.spawn_connection(socket),
                () = stopping.cancelled() => return,
            }
        }
    }

    fn spawn_connection(&self, socket: TcpStream) {
        if let Err(e) = configure(&socket) {
            log::debug!(target: "entry", "caller left before it was served: {e}");
            return;
        }
        let entry = self.clone();
        let shared = Arc::clone(&self.driver.shared);
        self.driver.shared.work.spawn(async move { entry.connection(socket, &shared).await });
    }

    async fn connection(self, socket: TcpStream, shared: &Shared) {
        let limits = caller_limits(shared);
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let head_timeout = ms(limits.header_timeout_ms);
        let (socket, watch) = CallerSocket::new(socket, head_timeout);
        let pipeline = Pipeline::new(watch);
        let service = service_fn(|req: Request<Incoming>| {
            let (entry, pipeline) = (self.clone(), pipeline.clone());
            async move { Ok::<_, Infallible>(entry.request(req, &pipeline).await) }
        });
        let head_bytes = limits.max_header_bytes.max(MIN_HEAD_BYTES);
        let mut http = auto::Builder::new(TokioExecutor::new());
        http.http1()
            .timer(TokioTimer::new())
            // Covers an idle connection and the head that ends its idleness; the socket bounds the head alone.
            .header_read_timeout(ms(limits.idle_timeout_ms) + head_timeout)
            .max_buf_size(head_bytes as usize)
            .half_close(false);
        http.http2().timer(TokioTimer::new()).max_header_list_size(head_bytes);
        let served = http.serve_connection(socket, service);
        tokio::pin!(served);
        // A caller's broken connection concerns nobody else.
        tokio::select! {
            _ended = served.as_mut() => return,
            () = shared.stopping.cancelled() => {}
        }
        while !pipeline.is_clear() {
            tokio::select! {
                _ended = served.as_mut() => return,
                () = sleep(PIPELINE_POLL) => {}
            }
        }
        served.as_mut().graceful_shutdown();
        let _ended = served.await;
    }

    async fn request(&self, req: Request<Incoming>, pipeline: &Pipeline) -> Response<Body> {
        let shared = &self.driver.shared;
        let started = shared.now();
        let id = request_id(shared, req.headers());
        let call = async {
            if let Some(ahead) = pipeline.begin(&req) {
                return ahead.answer().await.unwrap_or_else(lost_answer);
            }
            let (parts, body) = req.into_parts();
            self.call(parts, Some(body), &id, started).await
        };
        let mut res = tokio::select! {
            res = call => res,
            () = pipeline.run_ahead(|head| self.start_ahead(head)) => {
                Metrics::count(&shared.metrics.calls, "caller-left");
                let elapsed_ms = shared.now().since(started).as_millis() as u64;
                log::info!(target: "entry", request = &*id, elapsed_ms; "caller left, call cancelled");
                responses::unknown(StatusCode::GATEWAY_TIMEOUT)
            }
        };
        if shared.draining() && pipeline.is_clear() {
            responses::set(&mut res, &header::CONNECTION, "close");
        }
        res
    }

    /// Begins a call ahead of its turn, if its work may repeat: a caller that loses the answer sends it again.
    fn start_ahead(&self, head: &Request<()>) -> Option<RunningAhead> {
        let shared = &self.driver.shared;
        let (parts, ()) = head.clone().into_parts();
        let treatment = Treatment::of(shared, &parts)?;
        if treatment.limits.kind != WorkKind::Idempotent || shared.draining() {
            return None;
        }
        let started = shared.now();
        let id = request_id(shared, &parts.headers);
        let entry = self.clone();
        let call = async move { entry.call(parts, None, &id, started).await };
        Some(RunningAhead::new(tokio::spawn(call)))
    }

    async fn call(
        &self,
        head: Parts,
        body: Option<Incoming>,
        id: &str,
        started: Tick,
    ) -> Response<Body> {
        let shared = &self.driver.shared;
        match self.routed_call(head, body, id, started).await {
            Ok(res) => res,
            Err(rejection) => {
                Metrics::count(&shared.metrics.calls, "rejected");
                let (_, reason) = rejection.status();
                let elapsed = shared.now().since(started);
                shared.metrics.latencies.call(NO_ROUTE, "rejected", reason, elapsed);
                let why = rejection.to_string();
                log::info!(
                    target: "entry", request = id, reason, why = why.as_str(),
                    settings = shared.tree.load().routes_version();
                    "request rejected, not run"
                );
                rejection.response(shared.dialect.fractional_retry_after)
            }
        }
    }

    async fn routed_call(
        &self,
        head: Parts,
        body: Option<Incoming>,
        id: &str,
        started: Tick,
    ) -> Result<Response<Body>, Rejection> {
        let shared = &self.driver.shared;
        let treatment = Treatment::of(shared, &head).ok_or_else(|| self.absent(&head))?;
        if headers::number(&head.headers, &headers::DEPTH).is_some_and(|d| d >= MAX_DEPTH) {
            return Err(Rejection::TooDeep);
        }
        let (spec, outgoing) = self.prepare(&treatment, head, body, started).await?;
        let table = shared.table.load().service(&treatment.service).map(Arc::clone);
        let end = match table {
            None if !shared.is_ready() => return Err(Rejection::NotReady),
            None => CallEnd::NoAnswer(Outcome::NotRun {
                reason: NotRunReason::NoUpstream,
                retry_after: NO_UPSTREAM_RETRY_AFTER,
            }),
            Some(table) => {
                self.watch_load(&table);
                self.driver.drive(&table, spec, outgoing, id).await
            }
        };
        self.log_end(&end, id, &treatment, started, spec);
        Ok(self.response(end))
    }

    fn log_end(
        &self,
        end: &CallEnd,
        id: &str,
        treatment: &Treatment,
        started: Tick,
        spec: CallSpec,
    ) {
        let now = self.driver.shared.now();
        let (outcome, reason) = match end {
            CallEnd::Answer(_) => ("answer", ""),
            CallEnd::NoAnswer(Outcome::NotRun { reason, .. }) => ("not-run", reason.name()),
            CallEnd::NoAnswer(_) => ("unknown", ""),
        };
        let status = match end {
            CallEnd::Answer(res) => res.status().as_u16(),
            CallEnd::NoAnswer(_) => 0,
        };
        let metrics = &self.driver.shared.metrics.latencies;
        metrics.call(&treatment.route, outcome, reason, now.since(started));
        log::info!(
            target: "entry", request = id, route = &*treatment.route, service = &*treatment.service,
            settings = treatment.version, outcome, reason, status,
            priority = treatment.priority,
            elapsed_ms = now.since(started).as_millis() as u64,
            budget_ms = spec.deadline.since(started).as_millis() as u64;
            "call ended"
        );
    }

    fn absent(&self, head: &Parts) -> Rejection {
        if self.driver.shared.is_ready() {
            Rejection::UnknownService(format!("{}{}", host_name(head), head.uri.path()))
        } else {
            Rejection::NotReady
        }
    }

    async fn prepare(
        &self,
        treatment: &Treatment,
        mut parts: Parts,
        body: Option<Incoming>,
        started: Tick,
    ) -> Result<(CallSpec, OutgoingRequest), Rejection> {
        let shared = &self.driver.shared;
        let limits = &treatment.limits;
        let is_retry = parts.headers.contains_key(headers::RETRIED);
        let budget = headers::number(&parts.headers, &shared.dialect.budget_ms)
            .map_or(limits.timeout, |ms| limits.timeout.min(Duration::from_millis(ms)));
        clean(&mut parts.headers, shared);
        let deadline = started + budget;
        let body = match body {
            Some(body) => hold(body, limits.max_body_bytes, deadline.since(shared.now())).await?,
            None => OutgoingBody::Whole(Bytes::new()),
        };
        let spec = CallSpec {
            kind: limits.kind,
            deadline,
            is_retry,
            retry_percent: treatment.retry_percent,
            hedge: treatment.hedge,
            replayable: matches!(body, OutgoingBody::Whole(_)),
            max_attempts: treatment.max_attempts,
            target: started + treatment.target_latency.min(budget),
            class: treatment.class,
            priority: treatment.priority,
        };
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
        let headers = parts.headers;
        Ok((spec, OutgoingRequest { method: parts.method, path, headers, body, is_retry }))
    }

    fn response(&self, end: CallEnd) -> Response<Body> {
        let shared = &self.driver.shared;
        let calls = &shared.metrics.calls;
        match end {
            CallEnd::Answer(mut res) => {
                Metrics::count(calls, "answer");
                responses::set(&mut res, &headers::OUTCOME, "answer");
                res
            }
            CallEnd::NoAnswer(Outcome::NotRun { reason, retry_after }) => {
                Metrics::count(calls, "not-run");
                responses::not_run(reason, retry_after, shared.dialect.fractional_retry_after)
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
            let node = format!("{:016x}", candidate.member.node);
            let latency_us = candidate.last_report().latency_us;
            log::info!(
                target: "routing", service = &*table.name, upstream = node.as_str(), latency_us;
                "upstream ejected"
            );
        }
        let budget =
            ProbeBudgets { probes: &shared.probes, inter_region_bytes: &shared.inter_region_bytes };
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
        candidate.record_report(shared.now(), &report);
    }
}

/// The host that a caller names, without a port and in lower case.
pub(super) fn host_name(head: &Parts) -> String {
    let host = head.uri.host().or_else(|| head.headers.get(header::HOST)?.to_str().ok());
    let name = host.and_then(|h| h.split(':').next()).unwrap_or("");
    name.to_ascii_lowercase()
}

/// A call that ran ahead ended without an answer, which only a fault of the node explains.
fn lost_answer() -> Response<Body> {
    log::error!(target: "entry", "a call that ran ahead ended without an answer");
    responses::unknown(StatusCode::BAD_GATEWAY)
}

/// The identity that the caller gave its request, or one of the node's own for the log.
fn request_id(shared: &Shared, map: &HeaderMap) -> Arc<str> {
    let given = shared.dialect.request_id.as_ref().and_then(|name| map.get(name)?.to_str().ok());
    given.map_or_else(|| Arc::from(format!("{:016x}", rand::rng().random::<u64>())), Arc::from)
}

fn caller_limits(shared: &Shared) -> CallerLimits {
    shared.tree.load().routes().map(|r| r.limits.clone()).unwrap_or_default()
}

fn configure(socket: &TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    SockRef::from(socket).set_tcp_user_timeout(Some(CALLER_SILENCE))
}

/// Removes the system's own headers; those of a nested call keep only what upstreams see.
fn clean(map: &mut HeaderMap, shared: &Shared) {
    let depth = map.get(headers::DEPTH).cloned();
    headers::strip(map);
    headers::strip_hop_by_hop(map);
    for name in shared.dialect.set_by_system() {
        map.remove(name);
    }
    map.remove(&shared.dialect.budget_ms);
    map.remove(header::EXPECT);
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
async fn hold(body: Incoming, max_bytes: u64, limit: Duration) -> Result<OutgoingBody, Rejection> {
    let size = body.size_hint();
    if size.lower() > max_bytes {
        discard(body).await;
        return Err(Rejection::BodyTooLarge(max_bytes));
    }
    if size.upper().is_some_and(|upper| upper <= MAX_HELD_BODY_BYTES) {
        if size.upper() == Some(0) {
            return Ok(OutgoingBody::Whole(Bytes::new()));
        }
        let whole = timeout(limit, body.collect()).await.map_err(|_e| Rejection::BodyLate)?;
        let whole = whole.map_err(|_e| Rejection::BodyLost)?;
        return Ok(OutgoingBody::Whole(whole.to_bytes()));
    }
    let most = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let limited = Limited::new(stream(body), most).boxed_unsync();
    Ok(OutgoingBody::Once(Some(limited)))
}
