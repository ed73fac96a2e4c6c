//! The gate: admits attempts and hands them to the upstream beside the node.

use {
    super::{
        accept::accept,
        body::{Body, Guarded, full, stream},
        headers,
        queue_task::{QueueDecision, QueueItem, SlotGuard},
        responses,
        shared::Shared,
        upstream_pool::{UpstreamConnection, UpstreamError, UpstreamPool},
    },
    crate::{
        attempt::{Received, Ticket},
        limits::{QueueKey, RefusalReason, StartDeadlines},
        metrics::Metrics,
        schema::{Announcement, AttemptHeader, FleetKey, WireError},
        tick::Tick,
    },
    arc_swap::ArcSwapOption,
    http_body_util::BodyExt,
    hyper::{
        Request, Response, StatusCode, Uri,
        body::{Body as _, Incoming},
        header,
        service::service_fn,
    },
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    papaya::HashMap,
    std::{
        convert::Infallible,
        net::SocketAddr,
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

/// Time between two pings on a connection between nodes.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an answer to a ping after which a connection between nodes is dropped.
pub const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Streams of one connection between nodes.
const MAX_STREAMS: u32 = 4_096;

/// Largest answer that is held until it is whole; the same as the largest request that can be sent again.
const MAX_HELD_ANSWER_BYTES: u64 = 65_536;

/// Shortest time for the body of an answer whose head has come: an answer that is ready is delivered, also late.
const MIN_BODY_TIME: Duration = Duration::from_secs(1);

/// Depth of nested calls assumed when the request names none.
const FIRST_DEPTH: u64 = 0;

/// The gate's side of its connections.
#[derive(Debug)]
pub struct GateServer {
    shared: Arc<Shared>,
    upstream: ArcSwapOption<Incarnation>,
    connections: HashMap<(u64, u64), CancellationToken>,
    open: TaskTracker,
    closing: CancellationToken,
}

/// Connections to one incarnation of the upstream.
#[derive(Debug)]
struct Incarnation {
    instance: String,
    started_ms: u64,
    address: SocketAddr,
    pool: Arc<UpstreamPool>,
}

/// Gives a connection back to its pool when the answer was read to its end, and closes it otherwise.
#[derive(Debug)]
struct ReturnGuard {
    pool: Arc<UpstreamPool>,
    connection: Option<UpstreamConnection>,
}

impl ReturnGuard {
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.return_connection(connection);
        }
    }
}

/// Ends a request at the gate: notes the end in the ledger, then frees its slot.
#[derive(Debug)]
struct RunGuard {
    shared: Arc<Shared>,
    ticket: Option<Ticket>,
    _slot: SlotGuard,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(ticket) = &self.ticket {
            ticket.finish(self.shared.now());
        }
    }
}

/// Notes that a waiting attempt was cancelled before it ran.
#[derive(Debug)]
struct WaitGuard {
    shared: Arc<Shared>,
    ticket: Ticket,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        // Without effect once the attempt has started.
        self.ticket.refuse(self.shared.now());
    }
}

impl GateServer {
    /// The gate of a node.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            upstream: ArcSwapOption::empty(),
            connections: HashMap::new(),
            open: TaskTracker::new(),
            closing: CancellationToken::new(),
        })
    }

    /// Serves connections of other nodes until the listener is dropped with its task.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let socket = accept(&listener, "gate").await;
            let _no_effect = socket.set_nodelay(true);
            let gate = Arc::clone(&self);
            self.open.spawn(async move { gate.connection(socket).await });
        }
    }

    /// Closes all connections once their requests are done, or after `limit`.
    pub async fn close(&self, limit: Duration) {
        self.closing.cancel();
        self.open.close();
        // What is still open then was given its time.
        let _late = timeout(limit, self.open.wait()).await;
    }

    /// Kills a connection of an entry for good.
    pub fn retire_connection(&self, entry: u64, connection: u64) {
        if let Some(token) = self.connections.pin().get(&(entry, connection)) {
            token.cancel();
        }
    }

    async fn connection(self: Arc<Self>, socket: TcpStream) {
        let killed = CancellationToken::new();
        let spoke = AtomicBool::new(false);
        let service = service_fn(|req: Request<Incoming>| {
            let gate = Arc::clone(&self);
            let killed = killed.clone();
            spoke.store(true, Ordering::Relaxed);
            async move { Ok::<_, Infallible>(gate.request(req, &killed).await) }
        });
        let mut http = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
        http.timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .max_concurrent_streams(MAX_STREAMS)
            .adaptive_window(true);
        let served = http.serve_connection(TokioIo::new(socket), service);
        tokio::pin!(served);
        let mut closing = false;
        let result = loop {
            tokio::select! {
                result = served.as_mut() => break result,
                () = killed.cancelled() => break Ok(()),
                () = self.closing.cancelled(), if !closing => {
                    closing = true;
                    served.as_mut().graceful_shutdown();
                }
            }
        };
        // An end without a single request is no node's.
        if result.is_err() && !spoke.load(Ordering::Relaxed) {
            self.shared.metrics.malformed.inc();
        }
        killed.cancel();
        self.connections.pin().retain(|_, token| !token.is_cancelled());
    }

    async fn request(
        self: &Arc<Self>,
        req: Request<Incoming>,
        killed: &CancellationToken,
    ) -> Response<Body> {
        if req.uri().path() == headers::PROBE_PATH && !req.headers().contains_key(headers::ATTEMPT)
        {
            return self.probe();
        }
        let Ok(attempt) = attempt_header(&self.shared.settings.fleet_key, &req) else {
            self.shared.metrics.malformed.inc();
            return responses::text(StatusCode::BAD_REQUEST, "no attempt");
        };
        let key = (attempt.id.entry, attempt.connection);
        self.connections.pin().get_or_insert_with(key, || killed.clone());
        self.handle_attempt(attempt, req.map(stream)).await
    }

    fn probe(&self) -> Response<Body> {
        let mut res = responses::text(StatusCode::OK, "");
        responses::attach_report(
            &mut res,
            &self.shared.admission.gate.next_load_report(self.shared.now()),
        );
        res
    }

    /// Admits, queues or refuses one attempt, and gives the upstream's answer if it ran.
    pub async fn handle_attempt(
        self: &Arc<Self>,
        attempt: AttemptHeader,
        req: Request<Body>,
    ) -> Response<Body> {
        let shared = &self.shared;
        let (ticket, slot) = match shared.admission.receive(shared.now(), &attempt) {
            Received::Refuse(reason) => return self.refuse(&attempt, reason),
            Received::Doubt => return responses::unknown(StatusCode::CONFLICT),
            Received::Run(ticket) => (ticket, Some(SlotGuard::new(Arc::clone(shared)))),
            Received::Queue(ticket) => (ticket, None),
        };
        let deadline = ticket.deadline;
        let waiting = WaitGuard { shared: Arc::clone(shared), ticket };
        let slot = match slot {
            Some(slot) => slot,
            None => match self.wait(&attempt, waiting.ticket.start_by).await {
                Ok(slot) => slot,
                Err(reason) => return self.refuse(&attempt, reason),
            },
        };
        if !waiting.ticket.start() {
            return self.refuse(&attempt, RefusalReason::Retired);
        }
        let ticket = Some(waiting.ticket.clone());
        let guard = RunGuard { shared: Arc::clone(shared), ticket, _slot: slot };
        self.run(guard, &attempt, deadline, req).await
    }

    async fn wait(
        &self,
        attempt: &AttemptHeader,
        start_by: StartDeadlines,
    ) -> Result<SlotGuard, RefusalReason> {
        let (reply, verdict) = oneshot::channel();
        let key = QueueKey { priority: attempt.priority, caller: Arc::clone(&attempt.caller) };
        self.shared.queue.push(QueueItem { key, start_by, reply });
        match verdict.await {
            Ok(QueueDecision::Run(slot)) => Ok(slot),
            Ok(QueueDecision::Refused(reason)) => Err(reason),
            Err(_) => Err(RefusalReason::Expired),
        }
    }

    async fn run(
        &self,
        guard: RunGuard,
        attempt: &AttemptHeader,
        deadline: Tick,
        mut req: Request<Body>,
    ) -> Response<Body> {
        let shared = &self.shared;
        let Some(announced) = shared.upstream.load_full() else {
            return self.unsent(guard, attempt, "no upstream");
        };
        let started = shared.now();
        let remaining = deadline.since(started);
        let id = prepare(&mut req, shared, &announced, attempt, remaining);
        shared.metrics.gate_runs.inc();
        let pool = self.pool(&announced);
        let answer = timeout(remaining, pool.send(req, attempt.repeatable)).await;
        let elapsed = shared.now().since(started);
        self.log_run(attempt, &answer, remaining, elapsed);
        let gate = &shared.admission.gate;
        match answer {
            Ok(Ok((res, connection))) => {
                let mut back = ReturnGuard { pool, connection: Some(connection) };
                match self.judge(&res, id.as_ref(), &announced) {
                    Judged::Answer => {
                        let failed = res.status().is_server_error();
                        gate.observe(shared.now(), elapsed, !failed);
                        shared.admission.times.record(attempt.class, elapsed);
                        self.pass_on(guard, back, attempt, deadline, res).await
                    }
                    Judged::NotRun(reason) => {
                        gate.observe(shared.now(), elapsed, false);
                        if res.body().is_end_stream() {
                            back.finish();
                        }
                        self.not_run(guard, attempt, reason)
                    }
                    Judged::Foreign(why) => {
                        gate.observe(shared.now(), elapsed, false);
                        self.lost(attempt, why)
                    }
                }
            }
            Ok(Err(UpstreamError::Unsent(e))) => {
                // The next announcement brings it back.
                shared.admission.withdraw();
                self.unsent(guard, attempt, &e)
            }
            Ok(Err(e)) => {
                gate.observe(shared.now(), elapsed, false);
                self.lost(attempt, &e.to_string())
            }
            Err(_) => {
                gate.observe(shared.now(), elapsed, true);
                self.with_report(responses::unknown(StatusCode::GATEWAY_TIMEOUT))
            }
        }
    }

    /// What the upstream made of an attempt, and how busy and slow it was.
    fn log_run(
        &self,
        attempt: &AttemptHeader,
        answer: &Sent,
        remaining: Duration,
        elapsed: Duration,
    ) {
        let now = self.shared.now();
        let report = self.shared.admission.gate.next_load_report(now);
        let waited = Duration::from_micros(attempt.budget_us).saturating_sub(remaining);
        let (end, status) = match answer {
            Ok(Ok((res, _))) => ("answered", res.status().as_u16()),
            Ok(Err(UpstreamError::Unsent(_))) => ("unsent", 0),
            Ok(Err(UpstreamError::Lost(_))) => ("lost", 0),
            Err(_) => ("timed-out", 0),
        };
        log::info!(
            target: "gate", attempt = attempt.name().as_str(), service = &*attempt.service, end, status,
            waited_ms = waited.as_millis() as u64, elapsed_ms = elapsed.as_millis() as u64,
            running = report.running, queued = report.queued,
            slowness_percent = report.slowness_percent;
            "attempt ran"
        );
    }

    /// The pool of the announced incarnation; an earlier one's connections close when their requests end.
    fn pool(&self, announced: &Announcement) -> Arc<UpstreamPool> {
        let same = |i: &Arc<Incarnation>| {
            i.started_ms == announced.started_ms
                && i.address == announced.address
                && i.instance == announced.instance
        };
        if let Some(known) = self.upstream.load().as_ref().filter(|i| same(i)) {
            return Arc::clone(&known.pool);
        }
        let pool = Arc::new(UpstreamPool::new(announced.address));
        self.upstream.store(Some(Arc::new(Incarnation {
            instance: announced.instance.clone(),
            started_ms: announced.started_ms,
            address: announced.address,
            pool: Arc::clone(&pool),
        })));
        pool
    }

    /// Whether an answer is the upstream's to this request, and whether it ran.
    fn judge(
        &self,
        res: &Response<Incoming>,
        id: Option<&header::HeaderValue>,
        announced: &Announcement,
    ) -> Judged {
        let dialect = &self.shared.dialect;
        let headers = res.headers();
        let echoed = dialect.request_id.as_ref().and_then(|name| headers.get(name));
        if id.is_some() && echoed.is_some() && echoed != id {
            return Judged::Foreign("an answer to another request");
        }
        if dialect.expected_instance.is_some() && res.status() == StatusCode::MISDIRECTED_REQUEST {
            log::info!(
                target: "upstream", instance = announced.instance.as_str();
                "another upstream has the address"
            );
            return Judged::NotRun(RefusalReason::NotHere);
        }
        if dialect.not_run.as_ref().is_some_and(|name| headers.contains_key(name)) {
            return Judged::NotRun(RefusalReason::Shed);
        }
        let signed = |name: &header::HeaderName| headers.contains_key(name);
        if dialect.signature.as_ref().is_some_and(|name| !signed(name)) {
            return Judged::Foreign("an answer without the service's signature");
        }
        self.observe_slowness(headers);
        Judged::Answer
    }

    fn observe_slowness(&self, headers: &hyper::HeaderMap) {
        let told = self.shared.dialect.slowness.as_ref();
        if let Some(percent) = told.and_then(|(name, read)| read(headers.get(name)?.to_str().ok()?))
        {
            let (now, slowness) = (self.shared.now(), &self.shared.admission.gate.slowness);
            slowness.observe(now, percent);
            if slowness.claim_unsolicited_report(now) {
                self.shared.unsolicited_report.notify_one();
            }
        }
    }

    /// Passes an answer on: a small one once it is whole, so that a cut one can be told from it, and a large
    /// one as it comes.
    async fn pass_on(
        &self,
        guard: RunGuard,
        mut back: ReturnGuard,
        attempt: &AttemptHeader,
        deadline: Tick,
        res: Response<Incoming>,
    ) -> Response<Body> {
        if let Some(connection) = &mut back.connection {
            connection.observe(res.headers());
        }
        let (parts, body) = res.into_parts();
        let size = body.size_hint().exact();
        let body = if size.is_some_and(|size| size <= MAX_HELD_ANSWER_BYTES) {
            let limit = deadline.since(self.shared.now()).max(MIN_BODY_TIME);
            match timeout(limit, body.collect()).await {
                Ok(Ok(whole)) => {
                    back.finish();
                    drop(guard);
                    full(whole.to_bytes())
                }
                Ok(Err(e)) => return self.lost(attempt, &format!("the answer was cut: {e}")),
                Err(_) => return self.lost(attempt, "the answer did not come to its end in time"),
            }
        } else {
            let finished = |(mut back, guard): (ReturnGuard, RunGuard)| {
                back.finish();
                drop(guard);
            };
            Guarded::new(stream(body), (back, guard), finished).boxed_unsync()
        };
        let mut res = Response::from_parts(parts, body);
        headers::strip(res.headers_mut());
        headers::strip_hop_by_hop(res.headers_mut());
        if let Some((name, _)) = &self.shared.dialect.slowness {
            res.headers_mut().remove(name);
        }
        self.with_report(res)
    }

    fn lost(&self, attempt: &AttemptHeader, why: &str) -> Response<Body> {
        log::warn!(
            target: "gate", attempt = attempt.name().as_str(), service = &*attempt.service, why;
            "outcome at the upstream unknown"
        );
        self.with_report(responses::unknown(StatusCode::BAD_GATEWAY))
    }

    /// The upstream said that it did not run the request.
    fn not_run(
        &self,
        mut guard: RunGuard,
        attempt: &AttemptHeader,
        reason: RefusalReason,
    ) -> Response<Body> {
        if let Some(ticket) = guard.ticket.take() {
            ticket.unsent(self.shared.now());
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

    /// Nothing of the request was sent to the upstream.
    fn unsent(&self, guard: RunGuard, attempt: &AttemptHeader, why: &str) -> Response<Body> {
        log::warn!(
            target: "gate", attempt = attempt.name().as_str(), service = &*attempt.service, why;
            "not sent to the upstream"
        );
        self.not_run(guard, attempt, RefusalReason::NotHere)
    }

    fn refuse(&self, attempt: &AttemptHeader, reason: RefusalReason) -> Response<Body> {
        Metrics::count(&self.shared.metrics.gate_refusals, reason.name());
        let report = self.shared.admission.gate.next_load_report(self.shared.now());
        log::info!(
            target: "gate", attempt = attempt.name().as_str(), service = &*attempt.service,
            reason = reason.name(), running = report.running, queued = report.queued,
            slots = report.slots, budget_us = attempt.budget_us;
            "attempt refused, not run"
        );
        responses::refused(reason, &report)
    }
}

/// Result of sending a request to the upstream within a time.
type Sent = Result<Result<(Response<Incoming>, UpstreamConnection), UpstreamError>, Elapsed>;

/// What an answer of the upstream is worth.
enum Judged {
    /// The service's own answer to the request.
    Answer,
    /// The upstream says that the request did not run.
    NotRun(RefusalReason),
    /// Bytes that belong to no request of this connection; the request may have run.
    Foreign(&'static str),
}

fn attempt_header(key: &FleetKey, req: &Request<Incoming>) -> Result<AttemptHeader, WireError> {
    let value = req.headers().get(headers::ATTEMPT).ok_or(WireError::Malformed)?;
    key.decode_header(value.as_bytes())
}

/// Addresses a request to the upstream and sets what the upstream is told; gives the request's identity.
fn prepare(
    req: &mut Request<Body>,
    shared: &Shared,
    announced: &Announcement,
    attempt: &AttemptHeader,
    remaining: Duration,
) -> Option<header::HeaderValue> {
    let dialect = &shared.dialect;
    let depth = headers::number(req.headers(), &headers::DEPTH).unwrap_or(FIRST_DEPTH);
    let retried = req.headers().get(headers::RETRIED).cloned();
    headers::strip(req.headers_mut());
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str()).to_owned();
    if let Ok(uri) = path.parse::<Uri>() {
        *req.uri_mut() = uri;
    }
    *req.version_mut() = hyper::Version::HTTP_11;
    let map = req.headers_mut();
    if dialect.request_id.is_none() {
        map.insert(headers::DEPTH, header::HeaderValue::from(depth + 1));
        if let Some(retried) = retried {
            map.insert(headers::RETRIED, retried);
        }
    }
    map.insert(dialect.budget_ms.clone(), header::HeaderValue::from(remaining.as_millis() as u64));
    let text = |value: &str| header::HeaderValue::from_str(value).ok();
    let instance = dialect.expected_instance.clone().zip(text(&announced.instance));
    let caller = dialect.caller_service.clone().zip(text(&attempt.caller));
    map.extend(instance.into_iter().chain(caller));
    dialect.request_id.as_ref().and_then(|name| map.get(name)).cloned()
}
