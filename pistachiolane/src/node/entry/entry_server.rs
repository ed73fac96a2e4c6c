//! The entry side of a node: accepts callers' requests and returns responses to them.

use {
    crate::node::{
        accept::BoundedListener,
        body::{Body, PrefixedBody, TimedBody, stream},
        bounded_connection::BoundedConnection,
        entry::{
            attempt_driver::{AttemptDriver, CallResult, OutgoingBody, OutgoingRequest},
            authentication::KeyFault,
            body_buffer::{self, BodyBuffer},
            caller_socket::CallerSocket,
            held_response::HeldResponse,
            hop::probe_request,
            limit_check::LimitToken,
            pipeline::{EarlyCall, Pipeline},
            resolved_route::{ResolvedRoute, RouteFault},
            streamed_body::{STREAM_BYTES, StreamedBody},
        },
        headers, responses,
        shared::Shared,
    },
    crate::{
        attempt::{CallSpec, NotRunReason, Outcome},
        limits::{
            CallUrgency,
            held::{Holder, Lease, NoRoom},
        },
        metrics::Metrics,
        recovery::{Fingerprint, Suspicion},
        routing::{
            AllowedRegions, Candidate, ProbeBudgets, ServiceTable, next_probe,
            retry_after_without_upstream,
        },
        schema::{CallerLimits, WorkKind},
        tick::Tick,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Limited},
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        body::{Body as HttpBody, Frame, Incoming},
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

/// Largest request body that is buffered, so that another attempt can send it again.
const MAX_BUFFERED_BODY_BYTES: usize = 512 << 10;

/// Most bytes of a rejected body that are read and discarded, so that a caller that is still
/// sending receives the response.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Time limit for reading and discarding a rejected body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Smallest limit on the size of a request head that the HTTP server accepts.
const MIN_HEAD_LIMIT_BYTES: u32 = 8 << 10;

/// Most requests at once on one HTTP/2 connection of a caller.
const MAX_CALLER_STREAMS: u32 = 64;

/// Bytes of a request or a response that are on the way on an HTTP/2 connection of a caller.
const CALLER_STREAM_WINDOW_BYTES: u32 = 64 << 10;

/// Time for which bytes sent to a caller may stay unacknowledged before its connection is closed.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which a node that is shutting down checks a connection for early calls.
const PIPELINE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// `Retry-After` delay from a node that has not joined the fleet or loaded its settings yet, or that shuts down.
const NOT_READY_DELAY: Duration = Duration::from_millis(500);

/// `Retry-After` delay from a node whose memory for bodies is used up: bodies that make no progress give way after a second.
const NO_ROOM_DELAY: Duration = Duration::from_secs(1);

/// Route label in the metrics of calls that were rejected before a route was found.
const NO_ROUTE: &str = "";

/// Depth at which a nested call is rejected, as in a loop of services.
const MAX_CALL_DEPTH: u64 = 16;

/// Time after the deadline that a caller states, at which a response that is still arriving is cut
/// off: an upstream may send without end, and the caller has left.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);

/// Time limit for a load probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The entry side of a node.
#[derive(Clone, Debug)]
pub struct Entry {
    driver: AttemptDriver,
}

/// Reason to reject a request before any attempt; the request does not run.
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
    #[error("the body stalled while others needed its memory")]
    BodyStalled,
    #[error("no memory is left for the body")]
    NoRoom(#[from] NoRoom),
    #[error("calls are nested deeper than {MAX_CALL_DEPTH}")]
    TooDeep,
    #[error("the workspace has reached its limit")]
    LimitReached { retry_after: Duration },
    #[error("this node does not know the fleet or its settings yet")]
    NotReady,
    #[error("this node shuts down before the request could end")]
    Stopping,
    #[error("{0}")]
    Unauthorized(KeyFault),
}

impl Rejection {
    fn status_and_reason(&self) -> (StatusCode, &'static str) {
        match self {
            Self::UnknownService(_) => (StatusCode::NOT_FOUND, "unknown-service"),
            Self::BodyTooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
            Self::BodyLost => (StatusCode::BAD_REQUEST, "body-lost"),
            Self::BodyLate => (StatusCode::REQUEST_TIMEOUT, "body-late"),
            Self::BodyStalled => (StatusCode::REQUEST_TIMEOUT, "body-stalled"),
            Self::NoRoom(_) => (StatusCode::SERVICE_UNAVAILABLE, "no-memory"),
            Self::LimitReached { .. } => (StatusCode::TOO_MANY_REQUESTS, "limit"),
            Self::TooDeep => (StatusCode::LOOP_DETECTED, "too-deep"),
            Self::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "not-ready"),
            Self::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            Self::Unauthorized(_) => (StatusCode::UNAUTHORIZED, "unauthorized"),
        }
    }

    fn response(&self, fractional: bool) -> Response<Body> {
        let (status, reason) = self.status_and_reason();
        let mut res = responses::rejected(status, reason, format!("not run: {self}"));
        match self {
            Self::NotReady | Self::Stopping => {
                responses::set_retry_after(&mut res, NOT_READY_DELAY, fractional);
            }
            Self::NoRoom(_) => {
                responses::set_retry_after(&mut res, NO_ROOM_DELAY, fractional);
                responses::set_header(&mut res, &header::CONNECTION, "close");
            }
            Self::LimitReached { retry_after } => {
                responses::set_retry_after(&mut res, *retry_after, fractional);
            }
            Self::BodyLate | Self::BodyStalled => {
                responses::set_header(&mut res, &header::CONNECTION, "close");
            }
            Self::Unauthorized(_) => {
                responses::set_header(&mut res, &header::WWW_AUTHENTICATE, "Bearer");
            }
            _ => {}
        }
        res
    }
}

impl Entry {
    /// Creates an entry whose calls are driven by `driver`.
    pub fn new(driver: AttemptDriver) -> Self {
        Self { driver }
    }

    /// Accepts callers' connections until the node shuts down.
    pub async fn serve(self, listener: TcpListener) {
        let shared = &self.driver.shared;
        let stopping = shared.stopping.clone();
        let max_connections = shared.settings.resources.caller_connections;
        let listener =
            BoundedListener::new(listener, "callers", max_connections, Arc::clone(shared));
        loop {
            tokio::select! {
                (socket, connection) = listener.accept() => self.spawn_connection(socket, connection),
                () = stopping.cancelled() => return,
            }
        }
    }

    fn spawn_connection(&self, socket: TcpStream, connection: Arc<BoundedConnection>) {
        if let Err(e) = set_socket_options(&socket) {
            log::debug!(
                target: "entry",
                "cannot set socket options, the caller may have disconnected: {e}"
            );
            return;
        }
        let entry = self.clone();
        let shared = Arc::clone(&self.driver.shared);
        self.driver.shared.work.spawn(async move {
            let served = entry.serve_connection(socket, &shared, &connection);
            Arc::clone(&connection).run(served).await;
        });
    }

    async fn serve_connection(
        self,
        socket: TcpStream,
        shared: &Arc<Shared>,
        connection: &Arc<BoundedConnection>,
    ) {
        let limits = caller_limits(shared);
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let head_timeout = ms(limits.header_timeout_ms);
        let (socket, lookahead) =
            CallerSocket::new(socket, head_timeout, Arc::clone(connection), Arc::clone(shared));
        let pipeline = Pipeline::new(lookahead);
        let service = service_fn(|req: Request<Incoming>| {
            let (entry, pipeline) = (self.clone(), pipeline.clone());
            let connection = Arc::clone(connection);
            async move { Ok::<_, Infallible>(entry.handle_request(req, &pipeline, &connection).await) }
        });
        let head_bytes = limits.max_header_bytes.max(MIN_HEAD_LIMIT_BYTES);
        let mut http = auto::Builder::new(TokioExecutor::new());
        http.http1()
            .timer(TokioTimer::new())
            // This timeout runs from the start of the idle time to the end of the next head;
            // `CallerSocket` limits the time for the head alone.
            .header_read_timeout(ms(limits.idle_timeout_ms) + head_timeout)
            .max_buf_size(head_bytes as usize)
            .half_close(false);
        http.http2()
            .timer(TokioTimer::new())
            .max_header_list_size(head_bytes)
            .max_concurrent_streams(MAX_CALLER_STREAMS)
            .initial_stream_window_size(CALLER_STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CALLER_STREAM_WINDOW_BYTES * 4)
            .max_send_buf_size(CALLER_STREAM_WINDOW_BYTES as usize);
        let http_connection = http.serve_connection(socket, service);
        tokio::pin!(http_connection);
        // An error on one caller's connection affects nothing else, so it is ignored.
        tokio::select! {
            _ended = http_connection.as_mut() => return,
            () = shared.stopping.cancelled() => {}
        }
        while !pipeline.has_no_early_calls() {
            tokio::select! {
                _ended = http_connection.as_mut() => return,
                () = sleep(PIPELINE_POLL_INTERVAL) => {}
            }
        }
        http_connection.as_mut().graceful_shutdown();
        let _ended = http_connection.await;
    }

    async fn handle_request(
        &self,
        req: Request<Incoming>,
        pipeline: &Pipeline,
        connection: &Arc<BoundedConnection>,
    ) -> Response<Body> {
        let shared = &self.driver.shared;
        let started = shared.now();
        let id = request_id(shared, req.headers());
        let call = async {
            if let Some(early_call) = pipeline.take_early_call(&req) {
                let _call = connection.start_call();
                return early_call.response().await.unwrap_or_else(lost_early_response);
            }
            let (parts, body) = req.into_parts();
            self.handle_call(parts, Some(body), connection, &id, started).await
        };
        let mut res = tokio::select! {
            res = call => res,
            () = pipeline.run_early_calls(|head| self.start_early(head, connection)) => {
                Metrics::count(&shared.metrics.calls, "caller-left");
                let elapsed_ms = shared.now().since(started).as_millis() as u64;
                log::info!(
                    target: "entry", request = &*id, elapsed_ms;
                    "caller disconnected, call cancelled"
                );
                responses::unknown(StatusCode::GATEWAY_TIMEOUT)
            }
        };
        if shared.draining() && pipeline.has_no_early_calls() {
            responses::set_header(&mut res, &header::CONNECTION, "close");
        }
        res
    }

    /// Starts a pipelined call while an earlier request is still served. Only idempotent work is
    /// started early, because a caller that loses the response sends the request again. A request that would be
    /// rejected isn't started either: the settings that are in force at its turn decide on it.
    fn start_early(
        &self,
        head: &Request<()>,
        connection: &Arc<BoundedConnection>,
    ) -> Option<EarlyCall> {
        let shared = &self.driver.shared;
        let (parts, ()) = head.clone().into_parts();
        let route = ResolvedRoute::for_request(shared, &parts).ok()?;
        let is_idempotent = route.policy.kind == WorkKind::Idempotent;
        // Its response may have to wait for those of earlier requests.
        if !is_idempotent || shared.draining() || !shared.held_bytes.has_room_ahead() {
            return None;
        }
        let started = shared.now();
        let id = request_id(shared, &parts.headers);
        let (entry, connection) = (self.clone(), Arc::clone(connection));
        let call = async move { entry.handle_call(parts, None, &connection, &id, started).await };
        Some(EarlyCall::new(tokio::spawn(call)))
    }

    async fn handle_call(
        &self,
        head: Parts,
        body: Option<Incoming>,
        connection: &Arc<BoundedConnection>,
        id: &str,
        started: Tick,
    ) -> Response<Body> {
        let shared = &self.driver.shared;
        match self.route_call(head, body, connection, id, started).await {
            Ok(res) => res,
            Err(rejection) => {
                Metrics::count(&shared.metrics.calls, "rejected");
                let (_, reason) = rejection.status_and_reason();
                let elapsed = shared.now().since(started);
                shared.metrics.latencies.record_call(NO_ROUTE, "rejected", reason, elapsed);
                let why = rejection.to_string();
                log::info!(
                    target: "entry", request = id, reason, why = why.as_str(),
                    settings = shared.settings_tree.load().routes_version(),
                    settings_age_ms = shared.settings_age.since_confirmed(shared.now()).as_millis() as u64;
                    "request rejected, not run"
                );
                rejection.response(shared.dialect.fractional_retry_after)
            }
        }
    }

    /// Resolves the route of a call and takes a token of its workspace's limit.
    fn admit_call(
        &self,
        head: &Parts,
        id: &str,
    ) -> Result<(ResolvedRoute, Option<LimitToken>), Rejection> {
        let shared = &self.driver.shared;
        let route = ResolvedRoute::for_request(shared, head)
            .map_err(|fault| self.route_rejection(fault, head))?;
        if headers::parse_number(&head.headers, &headers::DEPTH)
            .is_some_and(|depth| depth >= MAX_CALL_DEPTH)
        {
            return Err(Rejection::TooDeep);
        }
        if !shared.has_time_for(route.class) {
            return Err(Rejection::Stopping);
        }
        let token = LimitToken::take(shared, &route, id)
            .map_err(|retry_after| Rejection::LimitReached { retry_after })?;
        Ok((route, token))
    }

    async fn route_call(
        &self,
        head: Parts,
        mut body: Option<Incoming>,
        connection: &Arc<BoundedConnection>,
        id: &str,
        started: Tick,
    ) -> Result<Response<Body>, Rejection> {
        let shared = &self.driver.shared;
        let (route, token) = match self.admit_call(&head, id) {
            Ok(admitted) => admitted,
            Err(rejection) => {
                // Closing a connection with unread bytes resets it, and the caller may lose the response.
                if let Some(body) = &mut body {
                    discard(body).await;
                }
                return Err(rejection);
            }
        };
        let caller_budget = headers::parse_number(&head.headers, &shared.dialect.budget_ms);
        let (mut spec, outgoing) = self.prepare_call(&route, head, body, id, started).await?;
        let _call = connection.start_call();
        // Its body may have arrived late.
        if !shared.has_time_for(route.class) {
            if let Some(token) = token {
                token.give_back();
            }
            return Err(Rejection::Stopping);
        }
        let driven_at = shared.now();
        let table = shared.routing_table.load().service(&route.service).map(Arc::clone);
        let now = shared.now();
        let suspicion = shared.quarantine.suspicion(now, outgoing.fingerprint);
        let result = match (table, suspicion) {
            (Some(_), Suspicion::Refused { remaining }) => {
                log::info!(
                    target: "entry", request = id, fingerprint = outgoing.fingerprint.0,
                    remaining_s = remaining.as_secs();
                    "request refused, it crashed upstreams"
                );
                CallResult::NoResponse(Outcome::NotRun {
                    reason: NotRunReason::Quarantined,
                    retry_after: remaining,
                })
            }
            (None, _) if !shared.is_ready() => return Err(Rejection::NotReady),
            (None, _) => CallResult::NoResponse(Outcome::NotRun {
                reason: NotRunReason::without_upstream(&route.regions),
                retry_after: retry_after_without_upstream(&route.regions),
            }),
            (Some(table), _) => {
                self.eject_and_probe(&table, &route.regions);
                // A limit that is nearly used up is spent on requests, not on second attempts of slow ones.
                spec.hedge &= token.as_ref().is_none_or(LimitToken::allows_hedge);
                self.driver.drive(&table, spec, outgoing, id, token.as_ref()).await
            }
        };
        if let (CallResult::NoResponse(Outcome::NotRun { .. }), Some(token)) = (&result, token) {
            token.give_back();
        }
        if matches!(result, CallResult::Response(_)) {
            shared.call_times.record(spec.class, shared.now().since(driven_at));
        }
        self.record_region_refusal(&result, id, &route);
        self.record_call(&result, id, &route, started, spec);
        let res = HeldResponse::wrap(self.build_response(result), connection, shared);
        Ok(match caller_budget {
            Some(ms) if res.body().size_hint().exact().is_none() => {
                let end = started + Duration::from_millis(ms) + RESPONSE_GRACE;
                let end = shared.instant(end);
                res.map(|body| TimedBody::new(body, end).boxed_unsync())
            }
            _ => res,
        })
    }

    fn record_call(
        &self,
        result: &CallResult,
        id: &str,
        route: &ResolvedRoute,
        started: Tick,
        spec: CallSpec,
    ) {
        let now = self.driver.shared.now();
        let (outcome, reason) = match result {
            CallResult::Response(_) => ("answer", ""),
            CallResult::NoResponse(Outcome::NotRun { reason, .. }) => ("not-run", reason.name()),
            CallResult::NoResponse(_) => ("unknown", ""),
        };
        let status = match result {
            CallResult::Response(res) => res.status().as_u16(),
            CallResult::NoResponse(_) => 0,
        };
        let metrics = &self.driver.shared.metrics.latencies;
        metrics.record_call(&route.name, outcome, reason, now.since(started));
        if let Some(workspace) = &route.workspace {
            self.driver.shared.metrics.workspaces.count(&workspace.name, outcome);
        }
        log::info!(
            target: "entry", request = id, route = &*route.name, service = &*route.service,
            settings = route.version, outcome, reason, status,
            priority = route.priority, workspace = &*route.workspace_name(),
            elapsed_ms = now.since(started).as_millis() as u64,
            budget_ms = spec.deadline.since(started).as_millis() as u64;
            "call ended"
        );
    }

    /// Logs and counts a call that no upstream ran because of the regions that it is limited to.
    fn record_region_refusal(&self, result: &CallResult, id: &str, route: &ResolvedRoute) {
        let CallResult::NoResponse(Outcome::NotRun { reason, .. }) = result else {
            return;
        };
        let is_for_region = matches!(reason, NotRunReason::NoRegion | NotRunReason::NoUpstream);
        let AllowedRegions::Only(names) = &route.regions else {
            return;
        };
        if !is_for_region {
            return;
        }
        let shared = &self.driver.shared;
        Metrics::count(&shared.metrics.region_refusals, reason.name());
        let table = shared.routing_table.load();
        let upstreams =
            table.service(&route.service).map_or(0, |t| t.allowed(&route.regions).count());
        log::info!(
            target: "entry", request = id, route = &*route.name, service = &*route.service,
            reason = reason.name(), regions = names.join(",").as_str(), upstreams,
            settings = route.version;
            "no usable upstream in the allowed regions"
        );
    }

    fn route_rejection(&self, fault: RouteFault, head: &Parts) -> Rejection {
        match fault {
            RouteFault::Unauthorized(fault) => Rejection::Unauthorized(fault),
            RouteFault::NotFound if self.driver.shared.is_ready() => {
                Rejection::UnknownService(format!("{}{}", host_name(head), head.uri.path()))
            }
            RouteFault::NotFound | RouteFault::Unusable => Rejection::NotReady,
        }
    }

    async fn prepare_call(
        &self,
        route: &ResolvedRoute,
        mut parts: Parts,
        body: Option<Incoming>,
        id: &str,
        started: Tick,
    ) -> Result<(CallSpec, OutgoingRequest), Rejection> {
        let shared = &self.driver.shared;
        let policy = &route.policy;
        let is_retry = parts.headers.contains_key(headers::RETRIED);
        // Where keys are required, only calls of upstreams come without a workspace.
        let is_nested = (route.keys_required && route.workspace.is_none())
            || headers::parse_number(&parts.headers, &headers::DEPTH)
                .is_some_and(|depth| depth > 0);
        let host = host_name(&parts);
        let budget = headers::parse_number(&parts.headers, &shared.dialect.budget_ms)
            .map_or(policy.timeout, |ms| policy.timeout.min(Duration::from_millis(ms)));
        remove_reserved_headers(&mut parts.headers, shared);
        if route.keys_required {
            parts.headers.remove(header::AUTHORIZATION);
        }
        let deadline = started + budget;
        let body = match body {
            Some(body) => {
                let time_limit = deadline.since(shared.now());
                let read = buffer_or_stream(body, policy.max_body_bytes, time_limit, shared).await;
                read.inspect_err(|e| {
                    if matches!(e, Rejection::NoRoom(_)) {
                        shared.record_no_room("request body", id);
                    }
                })?
            }
            None => OutgoingBody::Buffered(Bytes::new()),
        };
        let spec = CallSpec {
            kind: policy.kind,
            deadline,
            is_retry,
            retry_percent: route.retry_percent,
            hedge: route.hedge,
            replayable: matches!(body, OutgoingBody::Buffered(_)),
            max_attempts: route.max_attempts,
            target: started + route.target_latency.min(budget),
            class: route.class,
            priority: route.priority,
            throttling: shared.tunables.load().entry_throttle.into(),
            urgency: CallUrgency::new(route.priority, is_nested),
        };
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
        let (body_start, body_length) = body.start();
        let caller = shared.local_service();
        let fingerprint = Fingerprint::new(
            [&*caller, parts.method.as_str(), host.as_str(), path.as_str()],
            body_start,
            body_length,
        );
        let outgoing = OutgoingRequest {
            method: parts.method,
            path,
            headers: parts.headers,
            body,
            fingerprint,
            route: Arc::clone(&route.name),
            regions: route.regions.clone(),
            workspace: route.workspace_name(),
            is_retry,
        };
        Ok((spec, outgoing))
    }

    fn build_response(&self, result: CallResult) -> Response<Body> {
        let shared = &self.driver.shared;
        let calls = &shared.metrics.calls;
        match result {
            CallResult::Response(mut res) => {
                Metrics::count(calls, "answer");
                responses::set_header(&mut res, &headers::OUTCOME, "answer");
                res
            }
            CallResult::NoResponse(Outcome::NotRun { reason, retry_after }) => {
                Metrics::count(calls, "not-run");
                responses::not_run(reason, retry_after, shared.dialect.fractional_retry_after)
            }
            CallResult::NoResponse(_) => {
                Metrics::count(calls, "unknown");
                responses::unknown(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    /// Ejects stragglers, and probes the load of an upstream whose report is stale if a probe is
    /// due.
    fn eject_and_probe(&self, table: &Arc<ServiceTable>, regions: &AllowedRegions) {
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
        if let Some(candidate) = next_probe(table, now, regions, budget) {
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
    let report = headers::load_report(res.headers());
    if let Some(report) = report {
        candidate.record_report(shared.now(), &report);
    }
}

/// Returns the host that the request names, in lower case and without a port.
pub(in crate::node) fn host_name(head: &Parts) -> String {
    let host = head.uri.host().or_else(|| head.headers.get(header::HOST)?.to_str().ok());
    let name = host.and_then(|h| h.split(':').next()).unwrap_or("");
    name.to_ascii_lowercase()
}

/// Response to an early call whose task ended without one, which only a bug in the node can cause.
fn lost_early_response() -> Response<Body> {
    log::error!(target: "entry", "a call that was started early ended without a response");
    responses::unknown(StatusCode::BAD_GATEWAY)
}

/// Returns the request id that the caller sent, or a random one for the log.
fn request_id(shared: &Shared, request_headers: &HeaderMap) -> Arc<str> {
    let sent_id = shared
        .dialect
        .request_id
        .as_ref()
        .and_then(|name| request_headers.get(name)?.to_str().ok());
    sent_id.map_or_else(|| Arc::from(format!("{:016x}", rand::rng().random::<u64>())), Arc::from)
}

fn caller_limits(shared: &Shared) -> CallerLimits {
    shared.settings_tree.load().routes().map(|r| r.limits.clone()).unwrap_or_default()
}

fn set_socket_options(socket: &TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    SockRef::from(socket).set_tcp_user_timeout(Some(CALLER_ACK_TIMEOUT))
}

/// Removes hop-by-hop headers and those that only the system may set, except the depth of a nested
/// call, which is sent to the upstream.
fn remove_reserved_headers(request_headers: &mut HeaderMap, shared: &Shared) {
    let depth = request_headers.get(headers::DEPTH).cloned();
    headers::strip_internal(request_headers);
    headers::strip_hop_by_hop(request_headers);
    for name in shared.dialect.reserved() {
        request_headers.remove(name);
    }
    request_headers.remove(&shared.dialect.budget_ms);
    request_headers.remove(header::EXPECT);
    if let Some(depth) = depth {
        request_headers.insert(headers::DEPTH, depth);
    }
}

/// Reads and discards the rest of a body, within limits, so that a caller that is still sending can
/// receive the response.
async fn discard(body: &mut Incoming) {
    let read = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // Closing the connection drops whatever exceeds the limits.
    let _discarded = timeout(DISCARD_TIMEOUT, read).await;
}

/// Buffers a body, or streams it if it is too large for the buffer; a streamed one can be sent only
/// once.
async fn buffer_or_stream(
    mut body: Incoming,
    max_bytes: u64,
    time_limit: Duration,
    shared: &Arc<Shared>,
) -> Result<OutgoingBody, Rejection> {
    if body.is_end_stream() {
        return Ok(OutgoingBody::Buffered(Bytes::new()));
    }
    let size = body.size_hint();
    if size.lower() > max_bytes {
        discard(&mut body).await;
        return Err(Rejection::BodyTooLarge(max_bytes));
    }
    let mut buf = BodyBuffer::new(shared);
    if size.lower() <= MAX_BUFFERED_BODY_BYTES as u64 {
        let read = timeout(time_limit, fill_buffer(&mut buf, &mut body, max_bytes, shared)).await;
        match read.map_err(|_e| Rejection::BodyLate)? {
            Ok(true) => return Ok(OutgoingBody::Buffered(buf.freeze())),
            Ok(false) => {}
            Err(rejection) => {
                // Nothing is held for a body that is only discarded.
                drop(buf);
                match rejection {
                    Rejection::BodyTooLarge(_) | Rejection::NoRoom(_) => discard(&mut body).await,
                    _ => {}
                }
                return Err(rejection);
            }
        }
    }
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let lease = Lease::new(&shared.held_bytes, Holder::new("streamed body"));
    if let Err(no_room) = body_buffer::take(&lease, STREAM_BYTES, shared).await {
        drop(buf);
        discard(&mut body).await;
        return Err(no_room.into());
    }
    let body = StreamedBody::new(without_trailers(body), lease, Arc::clone(shared)).boxed_unsync();
    let body = PrefixedBody::new(buf.freeze(), body);
    Ok(OutgoingBody::Streamed(Some(Limited::new(body, max_bytes).boxed_unsync())))
}

/// Streams a body without its trailers, which may repeat headers that are not passed on, such as a key. No trailer
/// reaches an upstream anyway, because `Trailer` is a hop-by-hop header.
fn without_trailers(body: Incoming) -> Body {
    let data_only = |frame: Frame<Bytes>| Frame::data(frame.into_data().unwrap_or_default());
    stream(body).map_frame(data_only).boxed_unsync()
}

/// Reads a body into `buf` until it ends or exceeds [`MAX_BUFFERED_BODY_BYTES`]; returns whether it
/// ended.
async fn fill_buffer(
    buf: &mut BodyBuffer,
    body: &mut Incoming,
    max_bytes: u64,
    shared: &Shared,
) -> Result<bool, Rejection> {
    while buf.len() <= MAX_BUFFERED_BODY_BYTES {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = buf.evicted() => return Err(Rejection::BodyStalled),
        };
        let Some(frame) = frame else {
            return Ok(true);
        };
        if let Ok(data) = frame.map_err(|_e| Rejection::BodyLost)?.into_data() {
            buf.push(&data, shared).await?;
        }
        if buf.len() as u64 > max_bytes {
            return Err(Rejection::BodyTooLarge(max_bytes));
        }
    }
    Ok(false)
}
