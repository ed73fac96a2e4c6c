//! Gate of a node: admits attempts and sends them to the local upstream.

use {
    crate::node::{
        accept::BoundedListener,
        body::{Body, GuardedBody, full, stream},
        bounded_connection::BoundedConnection,
        gate::{
            cold_upstream::assume_cold,
            crash_detector::CrashDetector,
            queue_task::{QueueDecision, QueueItem, SlotGuard},
            received_body::ReceivedBody,
            upstream_pool::{UpstreamConnection, UpstreamError, UpstreamPool},
            upstream_statements::{StatementSource, apply_statements},
        },
        headers, responses,
        shared::Shared,
        socket_options::configure,
    },
    crate::{
        attempt::{AttemptDecision, Ticket},
        limits::{
            QueueKey, RefusalReason, abandoned_run_time,
            held::{Grant, Holder, Lease, NoRoom, SMALL_BYTES},
            refusal_margin,
        },
        metrics::Metrics,
        recovery::{Fingerprint, Suspicion},
        schema::{Announcement, AttemptHeader, FleetKey, WireError},
        tick::Tick,
    },
    arc_swap::ArcSwapOption,
    http_body_util::BodyExt,
    hyper::{
        HeaderMap, Request, Response, StatusCode, Uri,
        body::{Body as _, Incoming},
        header,
        service::service_fn,
    },
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    papaya::HashMap,
    std::{
        convert::Infallible,
        net::SocketAddr,
        ops::RangeInclusive,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::oneshot,
        time::{error::Elapsed, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Maximum number of concurrent HTTP/2 streams on one connection between nodes.
const MAX_STREAMS_PER_CONNECTION: u32 = 4_096;

/// Receive window of a stream in bytes: the largest request body that an entry buffers.
const STREAM_WINDOW_BYTES: u32 = 512 << 10;

/// Receive window of a connection in bytes. It exceeds the bodies of the requests that wait in the
/// queue, which would otherwise block those of all later requests on the connection.
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// Maximum size of a response that is buffered until it is complete. It equals the maximum size of
/// a request that can be sent again.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 65_536;

/// Minimum time limit for the body of a response whose headers have arrived, so that a response
/// that is ready is delivered even after the deadline.
const MIN_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the deadline that the upstream received, after which the gate closes the connection.
/// The upstream itself responds at the deadline, and an entry cancels its attempt when the call ends.
const UPSTREAM_DEADLINE_MARGIN: Duration = Duration::from_millis(400);

/// Statuses of final responses. The HTTP library also accepts larger numbers, and 101 for an upgrade.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Depth of nested calls that is assumed for a request without a depth header.
const DEFAULT_DEPTH: u64 = 0;

/// Server for the connections of entries to the gate.
#[derive(Debug)]
pub struct GateServer {
    shared: Arc<Shared>,
    incarnation: ArcSwapOption<Incarnation>,
    /// Tokens whose cancellation closes a connection at once; the key is the identity of the entry
    /// and the number of its connection.
    connections: HashMap<(u64, u64), CancellationToken>,
    open_connections: TaskTracker,
    closing: CancellationToken,
    crash_detector: CrashDetector,
}

/// One incarnation of the upstream, with the connections to it.
#[derive(Debug)]
struct Incarnation {
    instance: String,
    started_ms: u64,
    address: SocketAddr,
    pool: Arc<UpstreamPool>,
}

/// Connection that is returned to its pool once the response was read to its end, and is closed if
/// dropped before.
#[derive(Debug)]
struct PooledConnection {
    pool: Arc<UpstreamPool>,
    connection: Option<UpstreamConnection>,
}

impl PooledConnection {
    fn return_to_pool(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.return_connection(connection);
        }
    }
}

/// Guard of a running attempt. When dropped, it records the end in the ledger and then frees the
/// slot, later if the upstream may still run the request.
#[derive(Debug)]
struct RunGuard {
    shared: Arc<Shared>,
    ticket: Option<Ticket>,
    slot: Option<SlotGuard>,
    started: Tick,
    class: u32,
    /// Whether the request no longer occupies the upstream, or never did.
    has_ended: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(ticket) = &self.ticket {
            ticket.finish(self.shared.now());
        }
        let Some(slot) = self.slot.take().filter(|_| !self.has_ended) else {
            return;
        };
        if !self.shared.tunables.load().entry_throttle {
            return;
        }
        let elapsed = self.shared.now().since(self.started);
        let expected = self.shared.admission.times.expected(self.class);
        slot.release_after(abandoned_run_time(elapsed, expected));
    }
}

/// Guard of a waiting attempt. When dropped, it records in the ledger that the attempt was
/// cancelled before it ran.
#[derive(Debug)]
struct WaitGuard {
    shared: Arc<Shared>,
    ticket: Ticket,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        // No effect if the attempt has started.
        self.ticket.refuse(self.shared.now());
    }
}

impl GateServer {
    /// Creates the gate of a node.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            incarnation: ArcSwapOption::empty(),
            connections: HashMap::new(),
            open_connections: TaskTracker::new(),
            closing: CancellationToken::new(),
            crash_detector: CrashDetector::default(),
        })
    }

    /// Accepts and serves connections of other nodes until its task is dropped.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let max_connections = self.shared.settings.resources.gate_connections();
        let listener =
            BoundedListener::new(listener, "gate", max_connections, Arc::clone(&self.shared));
        loop {
            let (socket, connection) = listener.accept().await;
            if let Err(e) = configure(&socket) {
                log::debug!(target: "gate", "cannot configure a connection, closing it: {e}");
                continue;
            }
            let gate = Arc::clone(&self);
            self.open_connections.spawn(async move {
                let served = gate.serve_connection(socket, &connection);
                Arc::clone(&connection).run(served).await;
            });
        }
    }

    /// Gracefully shuts down all connections, and returns once they are closed or `limit` has
    /// passed.
    pub async fn close(&self, limit: Duration) {
        self.closing.cancel();
        self.open_connections.close();
        // Connections that are still open after the time limit are not waited for.
        let _timed_out = timeout(limit, self.open_connections.wait()).await;
    }

    /// Closes a connection of an entry at once, without waiting for its requests.
    pub fn retire_connection(&self, entry: u64, connection: u64) {
        if let Some(token) = self.connections.pin().get(&(entry, connection)) {
            token.cancel();
        }
    }

    async fn serve_connection(
        self: Arc<Self>,
        socket: TcpStream,
        connection: &Arc<BoundedConnection>,
    ) {
        let retired = CancellationToken::new();
        let has_received_request = AtomicBool::new(false);
        let service = service_fn(|req: Request<Incoming>| {
            let gate = Arc::clone(&self);
            let retired = retired.clone();
            has_received_request.store(true, Ordering::Relaxed);
            let call = connection.start_call();
            async move {
                let res = gate.handle_request(req, &retired).await;
                // A large response is on its way for a while.
                let is_small = res.body().size_hint().upper().is_some_and(|n| n <= SMALL_BYTES);
                if is_small {
                    return Ok::<_, Infallible>(res);
                }
                Ok(res.map(|body| GuardedBody::new(body, call, drop).boxed_unsync()))
            }
        });
        let mut http = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
        http.timer(TokioTimer::new())
            .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        let served = http.serve_connection(TokioIo::new(socket), service);
        tokio::pin!(served);
        let mut closing = false;
        let result = loop {
            tokio::select! {
                result = served.as_mut() => break result,
                () = retired.cancelled() => break Ok(()),
                () = self.closing.cancelled(), if !closing => {
                    closing = true;
                    served.as_mut().graceful_shutdown();
                }
            }
        };
        // A connection that fails before its first request is assumed not to come from a node, and
        // counts as malformed.
        if result.is_err() && !has_received_request.load(Ordering::Relaxed) {
            self.shared.metrics.malformed.inc();
        }
        retired.cancel();
        self.connections.pin().retain(|_, token| !token.is_cancelled());
    }

    async fn handle_request(
        self: &Arc<Self>,
        req: Request<Incoming>,
        retired: &CancellationToken,
    ) -> Response<Body> {
        if req.uri().path() == headers::PROBE_PATH && !req.headers().contains_key(headers::ATTEMPT)
        {
            return self.handle_probe();
        }
        let Ok(attempt) = attempt_header(&self.shared.settings.fleet_key, &req) else {
            self.shared.metrics.malformed.inc();
            return responses::text(StatusCode::BAD_REQUEST, "no attempt");
        };
        let key = (attempt.id.entry, attempt.connection);
        self.connections.pin().get_or_insert_with(key, || retired.clone());
        let Ok(_held) = self.hold_body(&attempt, req.body()) else {
            return self.refuse(&attempt, RefusalReason::QueueFull);
        };
        self.handle_attempt(attempt, req.map(stream)).await
    }

    /// Takes the bytes of a body that may arrive before the upstream reads it, if it has one.
    ///
    /// # Errors
    /// Fails if the budget of the process is used up.
    fn hold_body(&self, attempt: &AttemptHeader, body: &Incoming) -> Result<Option<Lease>, NoRoom> {
        let window = u64::from(STREAM_WINDOW_BYTES);
        let bytes = match body.size_hint().upper() {
            _ if body.is_end_stream() => 0,
            upper => upper.unwrap_or(window).min(window),
        };
        if bytes == 0 {
            return Ok(None);
        }
        let shared = &self.shared;
        let now = shared.now();
        // It never gives way, as its entry watches the caller.
        let lease = Lease::new(&shared.held_bytes, Holder::new("attempt"));
        match lease.take(bytes, now) {
            Grant::Granted => return Ok(Some(lease)),
            Grant::Pending(evicted) => {
                if let Some(holder) = evicted {
                    shared.record_eviction(&holder);
                }
            }
            Grant::Refused => {}
        }
        shared.record_no_room("attempt", &attempt.name());
        Err(NoRoom)
    }

    fn handle_probe(&self) -> Response<Body> {
        let mut res = responses::text(StatusCode::OK, "");
        responses::attach_report(
            &mut res,
            &self.shared.admission.gate.next_load_report(self.shared.now()),
        );
        res
    }

    /// Admits, queues or refuses one attempt, and returns the upstream's response if it ran.
    pub async fn handle_attempt(
        self: &Arc<Self>,
        attempt: AttemptHeader,
        req: Request<Body>,
    ) -> Response<Body> {
        let shared = &self.shared;
        let fingerprint =
            headers::parse_number(req.headers(), &headers::FINGERPRINT).map(Fingerprint);
        if fingerprint.is_some_and(|f| self.is_quarantined(f, req.headers())) {
            return self.refuse(&attempt, RefusalReason::Quarantined);
        }
        let service_time = shared.admission.times.expected(attempt.class);
        if !shared.can_end(service_time) {
            return self.refuse(&attempt, RefusalReason::Draining);
        }
        shared.load_probe.refresh(shared, service_time).await;
        let (ticket, slot) = match shared.admission.admit(shared.now(), &attempt) {
            AttemptDecision::Refuse(reason) => return self.refuse(&attempt, reason),
            AttemptDecision::OutcomeUnknown => return responses::unknown(StatusCode::CONFLICT),
            AttemptDecision::Run(ticket) => (ticket, Some(SlotGuard::new(Arc::clone(shared)))),
            AttemptDecision::Queue(ticket) => (ticket, None),
        };
        let deadline = ticket.deadline;
        let waiting = WaitGuard { shared: Arc::clone(shared), ticket };
        let slot = match slot {
            Some(slot) => slot,
            None => match self.wait_for_slot(&attempt, &waiting.ticket).await {
                Ok(slot) => slot,
                Err(reason) => return self.refuse(&attempt, reason),
            },
        };
        if !waiting.ticket.start() {
            return self.refuse(&attempt, RefusalReason::Retired);
        }
        let ticket = Some(waiting.ticket.clone());
        let guard = RunGuard {
            shared: Arc::clone(shared),
            ticket,
            slot: Some(slot),
            started: shared.now(),
            class: attempt.class,
            has_ended: false,
        };
        self.run_attempt(guard, &attempt, fingerprint, deadline, req).await
    }

    /// Whether the request crashed too many upstreams to run once more.
    fn is_quarantined(&self, fingerprint: Fingerprint, req_headers: &HeaderMap) -> bool {
        let shared = &self.shared;
        match shared.quarantine.suspicion(shared.now(), fingerprint) {
            Suspicion::None => false,
            Suspicion::Suspect { may_retry } => {
                !may_retry && req_headers.contains_key(headers::RETRIED)
            }
            Suspicion::Refused { .. } => true,
        }
    }

    async fn wait_for_slot(
        &self,
        attempt: &AttemptHeader,
        ticket: &Ticket,
    ) -> Result<SlotGuard, RefusalReason> {
        let (reply, decision) = oneshot::channel();
        let key = QueueKey::for_attempt(attempt, ticket.urgency);
        let start_deadlines = ticket.start_deadlines;
        self.shared.queue.push(QueueItem { key, start_deadlines, reply });
        match decision.await {
            Ok(QueueDecision::Run(slot)) => Ok(slot),
            Ok(QueueDecision::Refused(reason)) => Err(reason),
            Err(_) => Err(RefusalReason::Expired),
        }
    }

    async fn run_attempt(
        &self,
        mut guard: RunGuard,
        attempt: &AttemptHeader,
        fingerprint: Option<Fingerprint>,
        deadline: Tick,
        mut req: Request<Body>,
    ) -> Response<Body> {
        let shared = &self.shared;
        let Some(announced) = shared.upstream.load_full() else {
            return self.refuse_unsent(guard, attempt, "no upstream");
        };
        let started = shared.now();
        let remaining = deadline.since(started);
        let request_id = prepare_request(&mut req, shared, &announced, attempt, remaining);
        shared.metrics.gate_runs.inc();
        let pool = self.current_pool(&announced);
        let limit = remaining + UPSTREAM_DEADLINE_MARGIN;
        // The refusal of an attempt that has no connection in time arrives before the call's deadline.
        let connect_limit = remaining.saturating_sub(refusal_margin(remaining));
        if !req.body().is_end_stream() {
            req = req.map(|body| ReceivedBody::new(body, Arc::clone(shared)).boxed_unsync());
        }
        let sent = pool.send_within(connect_limit, req, attempt.repeatable);
        let result = timeout(limit, sent).await;
        let elapsed = shared.now().since(started);
        self.log_run(attempt, &result, remaining, elapsed);
        let gate = &shared.admission.gate;
        match result {
            Ok(Ok((res, connection))) => {
                let pooled = PooledConnection { pool, connection: Some(connection) };
                match self.classify_response(&res, request_id.as_ref(), &announced) {
                    ResponseKind::Response => {
                        let failed = res.status().is_server_error();
                        gate.observe(shared.now(), elapsed, !failed);
                        shared.admission.times.record(attempt.class, elapsed);
                        if let Some(fingerprint) = fingerprint {
                            shared.quarantine.record_survival(shared.now(), fingerprint);
                        }
                        self.forward_response(guard, pooled, attempt, deadline, res).await
                    }
                    ResponseKind::NotRun(reason) => {
                        gate.observe(shared.now(), elapsed, false);
                        // Refusals need not name their request. Written once more on a kept connection, this one would be
                        // taken for the answer to the next request.
                        drop(pooled);
                        // An upstream that turns a request away is fuller than the slots in use here show.
                        guard.has_ended = reason != RefusalReason::Shed;
                        self.refuse_not_run(guard, attempt, reason)
                    }
                    ResponseKind::Mismatched(why) => {
                        gate.observe(shared.now(), elapsed, false);
                        self.outcome_unknown(attempt, why)
                    }
                }
            }
            Ok(Err(UpstreamError::Expired)) => {
                self.refuse_not_run(guard, attempt, RefusalReason::Expired)
            }
            Ok(Err(UpstreamError::Unsent(e))) => {
                // The next announcement makes the upstream available again.
                shared.admission.remove_upstream();
                self.refuse_unsent(guard, attempt, &e)
            }
            Ok(Err(e)) => {
                gate.observe(shared.now(), elapsed, false);
                let has_crashed = self.crash_detector.has_crashed(shared, &announced, &pool).await;
                guard.has_ended = has_crashed;
                match fingerprint.filter(|_| has_crashed) {
                    Some(fingerprint) => self.upstream_crashed(attempt, fingerprint, &announced),
                    None => self.outcome_unknown(attempt, &e.to_string()),
                }
            }
            Err(_) => {
                gate.observe(shared.now(), elapsed, true);
                self.with_report(responses::unknown(StatusCode::GATEWAY_TIMEOUT))
            }
        }
    }

    /// Logs the result of an attempt at the upstream, with the load and slowness of the gate.
    fn log_run(
        &self,
        attempt: &AttemptHeader,
        result: &UpstreamResult,
        remaining: Duration,
        elapsed: Duration,
    ) {
        let now = self.shared.now();
        let report = self.shared.admission.gate.next_load_report(now);
        let waited = Duration::from_micros(attempt.budget_us).saturating_sub(remaining);
        let (end, status) = match result {
            Ok(Ok((res, _))) => ("answered", res.status().as_u16()),
            Ok(Err(UpstreamError::Unsent(_) | UpstreamError::Expired)) => ("unsent", 0),
            Ok(Err(UpstreamError::Lost(_))) => ("lost", 0),
            Err(_) => ("timed-out", 0),
        };
        log::info!(
            target: "gate", attempt = attempt.name().as_str(), service = &*attempt.service,
            workspace = &*attempt.workspace, end, status,
            waited_ms = waited.as_millis() as u64, elapsed_ms = elapsed.as_millis() as u64,
            running = report.running, queued = report.queued,
            slowness_percent = report.slowness_percent,
            rate_limit = self.shared.rate_limit();
            "attempt ran"
        );
    }

    /// Returns the connection pool of the announced incarnation. Connections to an earlier
    /// incarnation close when their requests end.
    pub fn current_pool(&self, announced: &Announcement) -> Arc<UpstreamPool> {
        let is_announced = |i: &Arc<Incarnation>| {
            i.started_ms == announced.started_ms
                && i.address == announced.address
                && i.instance == announced.instance
        };
        if let Some(current) = self.incarnation.load().as_ref().filter(|i| is_announced(i)) {
            return Arc::clone(&current.pool);
        }
        let (shared, lost) = (Arc::clone(&self.shared), announced.clone());
        let on_lost = move |why: &str| assume_cold(&shared, &lost, why);
        let pool = Arc::new(UpstreamPool::new(announced.address, Arc::new(on_lost)));
        self.incarnation.store(Some(Arc::new(Incarnation {
            instance: announced.instance.clone(),
            started_ms: announced.started_ms,
            address: announced.address,
            pool: Arc::clone(&pool),
        })));
        pool
    }

    /// Checks whether a response belongs to this request and comes from the announced upstream, and
    /// whether the request ran.
    fn classify_response(
        &self,
        res: &Response<Incoming>,
        request_id: Option<&header::HeaderValue>,
        announced: &Announcement,
    ) -> ResponseKind {
        let dialect = &self.shared.dialect;
        let headers = res.headers();
        let echoed = dialect.request_id.as_ref().and_then(|name| headers.get(name));
        if request_id.is_some() && echoed.is_some() && echoed != request_id {
            return ResponseKind::Mismatched("response to another request");
        }
        if !FINAL_STATUSES.contains(&res.status().as_u16()) {
            return ResponseKind::Mismatched("response without a final status");
        }
        if dialect.expected_instance.is_some() && res.status() == StatusCode::MISDIRECTED_REQUEST {
            log::info!(
                target: "upstream", instance = announced.instance.as_str();
                "another upstream listens on the announced address"
            );
            return ResponseKind::NotRun(RefusalReason::NotHere);
        }
        if dialect.not_run.as_ref().is_some_and(|name| headers.contains_key(name)) {
            apply_statements(&self.shared, announced, headers, StatementSource::Other);
            return ResponseKind::NotRun(RefusalReason::Shed);
        }
        let is_present = |name: &header::HeaderName| headers.contains_key(name);
        if dialect.signature.as_ref().is_some_and(|name| !is_present(name)) {
            return ResponseKind::Mismatched("response lacks the service's signature");
        }
        self.record_slowness(headers);
        apply_statements(&self.shared, announced, headers, StatementSource::Response);
        ResponseKind::Response
    }

    /// Records the slowness that a response of the upstream shows, if it shows one.
    pub fn record_slowness(&self, headers: &hyper::HeaderMap) {
        let slowness_header = self.shared.dialect.slowness.as_ref();
        if let Some(percent) =
            slowness_header.and_then(|(name, parse)| parse(headers.get(name)?.to_str().ok()?))
        {
            let (now, slowness) = (self.shared.now(), &self.shared.admission.gate.slowness);
            slowness.observe(now, percent);
            if slowness.claim_unsolicited_report(now) {
                self.shared.unsolicited_report.notify_one();
            }
        }
    }

    /// Forwards a response to the entry. A small one is buffered first, so that a truncated
    /// response is detected; a large one is streamed.
    async fn forward_response(
        &self,
        mut guard: RunGuard,
        mut pooled: PooledConnection,
        attempt: &AttemptHeader,
        deadline: Tick,
        res: Response<Incoming>,
    ) -> Response<Body> {
        let (parts, body) = res.into_parts();
        let exact_size = body.size_hint().exact();
        let body = if exact_size.is_some_and(|size| size <= MAX_BUFFERED_RESPONSE_BYTES) {
            let limit = deadline.since(self.shared.now()).max(MIN_BODY_TIMEOUT);
            match timeout(limit, body.collect()).await {
                Ok(Ok(collected)) => {
                    pooled.return_to_pool();
                    guard.has_ended = true;
                    drop(guard);
                    full(collected.to_bytes())
                }
                Ok(Err(e)) => {
                    return self.outcome_unknown(
                        attempt,
                        &format!("the response body was truncated: {e}"),
                    );
                }
                Err(_) => {
                    return self
                        .outcome_unknown(attempt, "the response body was not complete in time");
                }
            }
        } else {
            let on_end = |(mut pooled, mut guard): (PooledConnection, RunGuard)| {
                pooled.return_to_pool();
                guard.has_ended = true;
                drop(guard);
            };
            GuardedBody::new(stream(body), (pooled, guard), on_end).boxed_unsync()
        };
        let mut res = Response::from_parts(parts, body);
        headers::strip_internal(res.headers_mut());
        headers::strip_hop_by_hop(res.headers_mut());
        if let Some((name, _)) = &self.shared.dialect.slowness {
            res.headers_mut().remove(name);
        }
        self.with_report(res)
    }

    fn upstream_crashed(
        &self,
        attempt: &AttemptHeader,
        fingerprint: Fingerprint,
        announced: &Announcement,
    ) -> Response<Body> {
        let shared = &self.shared;
        let crash = Fingerprint::of_incarnation(announced);
        let crashes = shared.quarantine.record_crash(shared.now(), fingerprint, crash);
        log::warn!(
            target: "gate", attempt = attempt.name().as_str(), service = &*attempt.service,
            fingerprint = fingerprint.0, crashes;
            "upstream crashed under the attempt"
        );
        let mut res = self.with_report(responses::unknown(StatusCode::BAD_GATEWAY));
        responses::set_header(&mut res, &headers::CRASHED, &crash.to_string());
        res
    }

    fn outcome_unknown(&self, attempt: &AttemptHeader, why: &str) -> Response<Body> {
        log::warn!(
            target: "gate", attempt = attempt.name().as_str(), service = &*attempt.service, why;
            "outcome at the upstream unknown"
        );
        self.with_report(responses::unknown(StatusCode::BAD_GATEWAY))
    }

    /// Refuses an attempt that holds a slot but did not run at the upstream.
    fn refuse_not_run(
        &self,
        mut guard: RunGuard,
        attempt: &AttemptHeader,
        reason: RefusalReason,
    ) -> Response<Body> {
        if let Some(ticket) = guard.ticket.take() {
            ticket.finish_unsent(self.shared.now());
        }
        drop(guard);
        self.refuse(attempt, reason)
    }

    fn with_report(&self, mut res: Response<Body>) -> Response<Body> {
        responses::attach_report(
            &mut res,
            &self.shared.admission.gate.next_load_report(self.shared.now()),
        );
        res
    }

    /// Logs and refuses an attempt of which nothing was sent to the upstream.
    fn refuse_unsent(
        &self,
        mut guard: RunGuard,
        attempt: &AttemptHeader,
        why: &str,
    ) -> Response<Body> {
        guard.has_ended = true;
        log::warn!(
            target: "gate", attempt = attempt.name().as_str(), service = &*attempt.service, why;
            "attempt not sent to the upstream"
        );
        self.refuse_not_run(guard, attempt, RefusalReason::NotHere)
    }

    fn refuse(&self, attempt: &AttemptHeader, reason: RefusalReason) -> Response<Body> {
        Metrics::count(&self.shared.metrics.gate_refusals, reason.name());
        let report = self.shared.admission.gate.next_load_report(self.shared.now());
        log::info!(
            target: "gate", attempt = attempt.name().as_str(), service = &*attempt.service,
            workspace = &*attempt.workspace, reason = reason.name(), running = report.running, queued = report.queued,
            slots = report.slots, budget_us = attempt.budget_us,
            rate_limit = self.shared.rate_limit();
            "attempt refused, not run"
        );
        responses::refused(reason, &report)
    }
}

/// Result of a request to the upstream with a time limit.
type UpstreamResult =
    Result<Result<(Response<Incoming>, UpstreamConnection), UpstreamError>, Elapsed>;

/// Classification of a response of the upstream.
enum ResponseKind {
    /// The service's response to the request.
    Response,
    /// The upstream reports that the request did not run.
    NotRun(RefusalReason),
    /// The response answers another request or lacks the service's signature, for the given reason;
    /// the request may have run.
    Mismatched(&'static str),
}

fn attempt_header(key: &FleetKey, req: &Request<Incoming>) -> Result<AttemptHeader, WireError> {
    let value = req.headers().get(headers::ATTEMPT).ok_or(WireError::Malformed)?;
    key.decode_header(value.as_bytes())
}

/// Rewrites a request's target and headers for the upstream, and returns its request id, if the
/// dialect has a header for it.
fn prepare_request(
    req: &mut Request<Body>,
    shared: &Shared,
    announced: &Announcement,
    attempt: &AttemptHeader,
    remaining: Duration,
) -> Option<header::HeaderValue> {
    let dialect = &shared.dialect;
    let depth = headers::parse_number(req.headers(), &headers::DEPTH).unwrap_or(DEFAULT_DEPTH);
    let retried = req.headers().get(headers::RETRIED).cloned();
    headers::strip_internal(req.headers_mut());
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str()).to_owned();
    if let Ok(uri) = path.parse::<Uri>() {
        *req.uri_mut() = uri;
    }
    *req.version_mut() = hyper::Version::HTTP_11;
    let header_map = req.headers_mut();
    if dialect.request_id.is_none() {
        header_map.insert(headers::DEPTH, header::HeaderValue::from(depth + 1));
        if let Some(retried) = retried {
            header_map.insert(headers::RETRIED, retried);
        }
    }
    header_map
        .insert(dialect.budget_ms.clone(), header::HeaderValue::from(remaining.as_millis() as u64));
    let header_value = |value: &str| header::HeaderValue::from_str(value).ok();
    let instance = dialect.expected_instance.clone().zip(header_value(&announced.instance));
    let caller = dialect.caller_service.clone().zip(header_value(&attempt.caller));
    header_map.extend(instance.into_iter().chain(caller));
    if let Some(name) = &dialect.workspace {
        header_map.remove(name);
        // From bytes, because a name need not be ASCII.
        let value = header::HeaderValue::from_bytes(attempt.workspace.as_bytes()).ok();
        header_map
            .extend(value.filter(|value| !value.is_empty()).map(|value| (name.clone(), value)));
    }
    dialect.request_id.as_ref().and_then(|name| header_map.get(name)).cloned()
}
