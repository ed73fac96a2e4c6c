//! Drives one call: performs the actions of its state machine and feeds the results back as events.

use {
    crate::node::{
        body::{Body, full, stream},
        control::control_client,
        entry::{hop::HopError, limit_check::LimitToken},
        gate::gate_server::GateServer,
        headers,
        shared::Shared,
    },
    crate::{
        attempt::{
            AttemptCause, Call, CallAction, CallContext, CallEvent, CallSpec, NotRunReason, Outcome,
        },
        limits::{RefusalReason, WindowCounter},
        metrics::Metrics,
        recovery::{Fingerprint, Suspicion},
        routing::{AllowedRegions, Candidate, Departure, EvacuatedZones, ServiceTable},
        schema::{AttemptHeader, AttemptId, LoadReport, SettleRequest, Settlement, WorkKind},
        tick::Tick,
    },
    bytes::Bytes,
    futures::{
        FutureExt, StreamExt,
        future::{AbortHandle, Abortable, BoxFuture},
        stream::FuturesUnordered,
    },
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode, Uri, body::Body as _, header::HeaderValue,
    },
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep_until,
};

/// Request in the form in which each attempt sends it to a gate.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers without hop-by-hop headers and those that only the system sets.
    pub headers: HeaderMap,
    /// Body.
    pub body: OutgoingBody,
    /// Fingerprint of what the request asks for.
    pub fingerprint: Fingerprint,
    /// Name of the route, for metrics.
    pub route: Arc<str>,
    /// Regions whose upstreams may run the request.
    pub regions: AllowedRegions,
    /// Workspace of the caller; empty if there is none.
    pub workspace: Arc<str>,
    /// Whether the first attempt already carries the retry marker.
    pub is_retry: bool,
}

/// Body of an outgoing request.
#[derive(Debug)]
pub enum OutgoingBody {
    /// Buffered, so that each attempt can send it.
    Buffered(Bytes),
    /// Streamed, so that only one attempt can send it; `None` after that.
    Streamed(Option<Body>),
}

impl OutgoingBody {
    /// Returns the start of the body, as far as it is buffered, and a lower bound on its length.
    pub fn start(&self) -> (&[u8], u64) {
        match self {
            Self::Buffered(bytes) => (bytes, bytes.len() as u64),
            Self::Streamed(_) => (&[], self.min_size()),
        }
    }

    /// Returns a lower bound on the bytes that the next attempt sends; 0 after a streamed body was
    /// sent.
    fn min_size(&self) -> u64 {
        match self {
            Self::Buffered(bytes) => bytes.len() as u64,
            Self::Streamed(body) => body.as_ref().map_or(0, |b| b.size_hint().lower()),
        }
    }
}

/// Longest time after which a call in progress notices that the node shuts down. It polls an atomic, as waiting for a
/// signal takes a lock that all calls share.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Result of a call.
#[derive(Debug)]
pub enum CallResult {
    /// Response of an upstream.
    Response(Response<Body>),
    /// Outcome of a call without a response.
    NoResponse(Outcome),
}

/// Result of an attempt or of a settle request.
#[derive(Debug)]
enum AttemptResult {
    /// The gate refused the attempt; it did not and will not run.
    Refused(RefusalReason, Option<LoadReport>),
    /// No byte of the request was sent.
    Unsent,
    /// There is no usable response, and the attempt may have run.
    Lost,
    /// The gate responded that the attempt may have run; there will be no response of the upstream.
    Unknown,
    /// This incarnation of the upstream crashed while it ran the attempt.
    Crashed(u64),
    /// Response of the upstream, load report of the gate, and whether the upstream failed such that
    /// another one may succeed.
    Answered(Response<Body>, Option<LoadReport>, bool),
    /// The gate's reply to a settle request; `None` if the gate could not be reached.
    Settled(Option<Settlement>),
}

impl AttemptResult {
    /// Returns the short name used in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Refused(reason, _) => reason.name(),
            Self::Unsent => "unsent",
            Self::Lost => "lost",
            Self::Unknown => "unknown",
            Self::Crashed(_) => "crashed",
            Self::Answered(_, _, true) => "failed",
            Self::Answered(..) => "answered",
            Self::Settled(_) => "settled",
        }
    }
}

/// Connection number in the header of attempts at the local gate; no settlement retires it.
const LOCAL_CONNECTION: u64 = u64::MAX;

/// Attempts and settle requests in progress; an aborted one yields `None`.
type InFlight = FuturesUnordered<BoxFuture<'static, (AttemptId, Option<AttemptResult>)>>;

/// Attempt or settle request that was started.
#[derive(Debug)]
struct SentAttempt {
    id: AttemptId,
    upstream: SocketAddr,
    sent_at: Tick,
    abort: AbortHandle,
    /// Number of the hop connection that carries the attempt; 0 before one does and for the local
    /// gate.
    connection: Arc<AtomicU64>,
    /// Whether the gate is the local one.
    is_local: bool,
    /// Why the attempt left the entry's zone, if it did.
    departure: Option<SentDeparture>,
}

/// Attempt that left the entry's zone, for the metrics.
#[derive(Clone, Copy, Debug)]
struct SentDeparture {
    departure: Departure,
    /// Lower bound on the bytes of the request's body.
    request_bytes: u64,
}

/// State that all calls of an entry share.
#[derive(Clone, Debug)]
pub struct AttemptDriver {
    /// State of the node.
    pub shared: Arc<Shared>,
    /// The local gate, called directly rather than over a hop.
    pub gate: Arc<GateServer>,
}

/// One call in progress.
struct ActiveCall<'a> {
    driver: &'a AttemptDriver,
    table: &'a ServiceTable,
    req: OutgoingRequest,
    request_id: &'a str,
    /// Token of the limit of the caller's workspace, if it has one.
    limit_token: Option<&'a LimitToken>,
    spec: CallSpec,
    caller: Arc<str>,
    call: Call,
    attempts: InFlight,
    sent: Vec<SentAttempt>,
    /// The last attempt that was sent as a hedge.
    last_hedge: Option<AttemptId>,
    /// Responses received so far; the call's outcome names the attempt whose response is returned.
    responses: Vec<(AttemptId, Response<Body>)>,
    /// When the call's state machine receives its next timer event.
    wake_at: Tick,
    /// Outcome, once the state machine has finished the call.
    outcome: Option<Outcome>,
}

impl AttemptDriver {
    /// Runs a call to completion. Dropping the future cancels all its attempts.
    pub async fn drive(
        &self,
        table: &ServiceTable,
        spec: CallSpec,
        req: OutgoingRequest,
        request_id: &str,
        limit_token: Option<&LimitToken>,
    ) -> CallResult {
        let caller = self.shared.local_service();
        let mut active = ActiveCall {
            driver: self,
            table,
            req,
            request_id,
            limit_token,
            spec,
            caller,
            call: Call::new(spec),
            attempts: FuturesUnordered::new(),
            sent: Vec::new(),
            last_hedge: None,
            responses: Vec::new(),
            wake_at: spec.deadline,
            outcome: None,
        };
        active.drive_to_end().await
    }
}

impl Drop for ActiveCall<'_> {
    fn drop(&mut self) {
        self.step(CallEvent::CallerDisconnected);
    }
}

impl ActiveCall<'_> {
    async fn drive_to_end(&mut self) -> CallResult {
        let mut events = VecDeque::from([CallEvent::Started]);
        loop {
            self.end_before_shutdown();
            while let Some(event) = events.pop_front() {
                self.step(event);
            }
            if let Some(outcome) = self.outcome.take() {
                return self.call_result(outcome);
            }
            let shared = &self.driver.shared;
            let wake_at = self.wake_at.min(shared.now() + SHUTDOWN_CHECK_INTERVAL);
            let timer = sleep_until(shared.instant(wake_at));
            tokio::select! {
                biased;
                Some((id, result)) = self.attempts.next() => {
                    events.extend(result.map(|result| self.record_result(id, result)));
                }
                () = timer => {
                    if wake_at == self.wake_at {
                        events.extend(self.withdraw_unsent());
                        events.push_back(CallEvent::Timer);
                    }
                }
            }
        }
    }

    /// Has the call end while its answer can still be sent, if the node shuts down.
    fn end_before_shutdown(&mut self) {
        let at = self.driver.shared.calls_end_at();
        if at >= self.spec.deadline {
            return;
        }
        self.spec.deadline = at;
        self.call.limit_deadline(at);
        self.wake_at = self.wake_at.min(at);
    }

    /// Withdraws the attempts that did not leave this node by the deadline: those that still wait for a connection to
    /// their gate, and one of non-idempotent work that the local gate has not started, which its ledger then prevents.
    fn withdraw_unsent(&self) -> Vec<CallEvent> {
        let shared = &self.driver.shared;
        let now = shared.now();
        if now < self.spec.deadline {
            return Vec::new();
        }
        let is_recorded = self.spec.kind == WorkKind::NonIdempotent;
        let is_unsent = |sent: &&SentAttempt| match sent.is_local {
            // Connection 0 retires no connection.
            true if is_recorded => {
                let req = SettleRequest { id: sent.id, gate: shared.node, connection: 0 };
                shared.admission.settle(now, &req) == Settlement::NotRun
            }
            true => false,
            false => sent.connection.load(Ordering::SeqCst) == 0,
        };
        let unsent = self.sent.iter().filter(is_unsent);
        // The state machine ignores the attempts that have ended.
        unsent
            .inspect(|sent| sent.abort.abort())
            .map(|sent| CallEvent::Withdrawn(sent.id))
            .collect()
    }

    fn step(&mut self, event: CallEvent) {
        self.log_event(&event);
        let shared = &self.driver.shared;
        let tree = shared.settings_tree.load();
        let cx = CallContext {
            entry: shared.node,
            table: self.table,
            regions: &self.req.regions,
            evacuated: tree.evacuations().unwrap_or(EvacuatedZones::none()),
            balance: shared.tunables.load().zone_balance,
            inter_region_budget: &shared.inter_region_bytes,
            sequence: &shared.attempt_sequence,
        };
        let actions = self.call.step(shared.now(), cx, &mut rand::rng(), event);
        for action in actions {
            match action {
                CallAction::Send { id, candidate, may_queue, cause, departure } => {
                    self.record_cause(id, cause);
                    self.log_send(id, &candidate, may_queue, cause, departure);
                    let departure = departure.map(|departure| SentDeparture {
                        departure,
                        request_bytes: self.req.body.min_size(),
                    });
                    let req = self.build_request(&candidate, cause);
                    self.send(id, candidate, may_queue, req);
                    if let Some(sent) = self.sent.last_mut() {
                        sent.departure = departure;
                    }
                }
                CallAction::Settle { id, candidate } => self.settle(id, candidate),
                CallAction::Cancel(id) => self.cancel(id),
                CallAction::WakeAt(at) => self.wake_at = at,
                CallAction::Finish(outcome) => {
                    self.record_not_run(&outcome);
                    self.outcome = Some(outcome);
                }
            }
        }
    }

    fn log_send(
        &self,
        id: AttemptId,
        to: &Candidate,
        may_queue: bool,
        cause: AttemptCause,
        departure: Option<Departure>,
    ) {
        let now = self.driver.shared.now();
        let report = to.last_report();
        // -1 if there is no report.
        let age_ms = to.report_age(now).map_or(-1, |age| age.as_millis() as i64);
        log::info!(
            target: "entry", request = self.request_id, attempt = id.name().as_str(),
            service = &*self.table.name, upstream = to.member.gate.to_string().as_str(),
            workspace = &*self.req.workspace, cause = cause.name(), may_queue, running = report.running, queued = report.queued,
            slots = report.slots, report_age_ms = age_ms, outstanding = to.outstanding(),
            distance = to.distance.name(), left_zone = departure_summary(departure).as_str();
            "attempt sent"
        );
    }

    /// Counts a call that ends as not run, and logs the inputs if the throttle rejected it.
    fn record_not_run(&self, outcome: &Outcome) {
        let Outcome::NotRun { reason, retry_after } = outcome else {
            return;
        };
        let shared = &self.driver.shared;
        shared.metrics.count_not_run(&self.table.name, reason.name());
        if *reason != NotRunReason::Throttled {
            return;
        }
        let urgency = self.spec.urgency;
        let state = self.table.state.throttle(&self.req.regions).state(shared.now(), urgency);
        log::info!(
            target: "entry", request = self.request_id, service = &*self.table.name,
            urgency = urgency.name(), requests = state.requests, more_urgent = state.more_urgent,
            accepted = state.accepted, refused = state.refused, probability = state.probability,
            window_ms = WindowCounter::WINDOW.as_millis() as u64,
            retry_after_ms = retry_after.as_millis() as u64;
            "call throttled, not run"
        );
    }

    /// Logs the result of an attempt, unless it is a response.
    fn log_event(&self, event: &CallEvent) {
        let (id, message, why) = match event {
            CallEvent::Refused(id, reason, _) => (id, "attempt refused, not run", reason.name()),
            CallEvent::Unsent(id) => (id, "attempt not sent", "no connection"),
            CallEvent::Withdrawn(id) => (id, "attempt not sent", "no connection or slot in time"),
            CallEvent::Lost(id) => (id, "attempt lost", "no usable response"),
            CallEvent::OutcomeUnknown(id) => (id, "attempt lost", "outcome unknown at the gate"),
            CallEvent::UpstreamCrashed { id, may_retry: true } => {
                (id, "attempt lost", "upstream crashed")
            }
            CallEvent::UpstreamCrashed { id, may_retry: false } => {
                (id, "attempt lost", "upstream crashed, as others did under this request")
            }
            CallEvent::Settled(id, settlement) => {
                (id, "attempt settled", settlement.map_or("unreachable", settlement_name))
            }
            _ => return,
        };
        log::info!(
            target: "entry", request = self.request_id, attempt = id.name().as_str(),
            fingerprint = self.req.fingerprint.0, why;
            "{message}"
        );
    }

    fn call_result(&mut self, outcome: Outcome) -> CallResult {
        let Outcome::Answer(id) = outcome else {
            return CallResult::NoResponse(outcome);
        };
        if self.last_hedge == Some(id) {
            self.driver.shared.metrics.hedges_won.inc();
        }
        let index = self.responses.iter().position(|(answered, _)| *answered == id);
        invariant!(index.is_some(), "answer_matches_attempt");
        match index {
            Some(index) => CallResult::Response(self.responses.swap_remove(index).1),
            None => CallResult::NoResponse(Outcome::Unknown),
        }
    }

    /// Updates the metrics and turns the result of an attempt into an event of the call's state
    /// machine.
    fn record_result(&mut self, id: AttemptId, result: AttemptResult) -> CallEvent {
        let metrics = &self.driver.shared.metrics;
        if let Some(sent) = self.sent.iter().find(|s| s.id == id) {
            let elapsed = self.driver.shared.now().since(sent.sent_at);
            metrics.latencies.record_attempt(&sent.upstream.to_string(), result.name(), elapsed);
            if let Some(departure) = sent.departure {
                self.record_departure(departure, &result);
            }
        }
        match result {
            AttemptResult::Refused(reason, report) => {
                Metrics::count(&metrics.refused, reason.name());
                CallEvent::Refused(id, reason, report)
            }
            AttemptResult::Unsent => {
                Metrics::count(&metrics.refused, "unsent");
                CallEvent::Unsent(id)
            }
            AttemptResult::Lost => {
                metrics.lost.inc();
                CallEvent::Lost(id)
            }
            AttemptResult::Unknown => {
                metrics.lost.inc();
                CallEvent::OutcomeUnknown(id)
            }
            AttemptResult::Crashed(crash) => {
                metrics.lost.inc();
                let may_retry = self.record_crash(crash);
                CallEvent::UpstreamCrashed { id, may_retry }
            }
            AttemptResult::Answered(res, report, failed) => {
                let shared = &self.driver.shared;
                shared.quarantine.record_survival(shared.now(), self.req.fingerprint);
                let request_bytes = self.req.body.min_size();
                let response_bytes = res.body().size_hint().exact().unwrap_or(0);
                self.table.state.bytes.record((request_bytes + response_bytes) as f64);
                self.responses.push((id, res));
                CallEvent::Answered { id, report, failed }
            }
            AttemptResult::Settled(settlement) => CallEvent::Settled(id, settlement),
        }
    }

    /// Counts the result and the bytes of an attempt that left the entry's zone.
    fn record_departure(&self, sent: SentDeparture, result: &AttemptResult) {
        let shared = &self.driver.shared;
        let (response_bytes, end) = match result {
            AttemptResult::Answered(res, _, false) => {
                let end = if shared.now() <= self.spec.target { "in-time" } else { "late" };
                (res.body().size_hint().exact().unwrap_or(0), end)
            }
            // A settlement belongs to an attempt that was counted when it was lost.
            AttemptResult::Settled(_) => return,
            _ => (0, "not"),
        };
        // Without a connection nothing was sent.
        let request_bytes = match result {
            AttemptResult::Unsent => 0,
            _ => sent.request_bytes,
        };
        let Departure { reason, .. } = sent.departure;
        let (route, left) = (&self.req.route, sent.departure.left());
        let bytes = request_bytes + response_bytes;
        shared.metrics.departures.record(route, left, reason.name(), end, bytes);
    }

    /// Records that an upstream crashed under the request; returns whether another one may still run it.
    fn record_crash(&self, crash: u64) -> bool {
        let (shared, fingerprint) = (&self.driver.shared, self.req.fingerprint);
        let now = shared.now();
        shared.quarantine.record_crash(now, fingerprint, crash);
        match shared.quarantine.suspicion(now, fingerprint) {
            Suspicion::None => true,
            Suspicion::Suspect { may_retry } => may_retry,
            Suspicion::Refused { .. } => false,
        }
    }

    fn send(
        &mut self,
        id: AttemptId,
        candidate: Arc<Candidate>,
        may_queue: bool,
        req: Option<Request<Body>>,
    ) {
        let shared = &self.driver.shared;
        let connection = Arc::new(AtomicU64::new(0));
        let budget = self.spec.deadline.since(shared.now()).saturating_sub(candidate.round_trip());
        let target = self.spec.target.since(shared.now()).saturating_sub(candidate.round_trip());
        let attempt = AttemptHeader {
            id,
            gate: candidate.member.node,
            connection: LOCAL_CONNECTION,
            budget_us: crate::tick::micros(budget),
            repeatable: self.spec.kind == WorkKind::Idempotent,
            may_queue,
            priority: self.spec.priority,
            class: self.spec.class,
            target_us: crate::tick::micros(target),
            service: Arc::clone(&self.table.name),
            caller: Arc::clone(&self.caller),
            workspace: Arc::clone(&self.req.workspace),
        };
        let local = candidate.member.node == shared.node;
        let upstream = candidate.member.gate;
        let future = match req {
            None => async { AttemptResult::Unsent }.boxed(),
            Some(req) if local => {
                let gate = Arc::clone(&self.driver.gate);
                async move { classify_response(gate.handle_attempt(attempt, req).await) }.boxed()
            }
            Some(req) => {
                let shared = Arc::clone(shared);
                let connection_number = Arc::clone(&connection);
                async move {
                    send_remote(&shared, &candidate, attempt, req, &connection_number).await
                }
                .boxed()
            }
        };
        self.track(id, upstream, connection, local, future);
    }

    /// Adds an attempt or settle request to those in progress.
    fn track(
        &mut self,
        id: AttemptId,
        upstream: SocketAddr,
        connection: Arc<AtomicU64>,
        is_local: bool,
        future: BoxFuture<'static, AttemptResult>,
    ) {
        let (abort, registration) = AbortHandle::new_pair();
        let future = Abortable::new(future, registration);
        self.attempts.push(async move { (id, future.await.ok()) }.boxed());
        let sent_at = self.driver.shared.now();
        self.sent.push(SentAttempt {
            id,
            upstream,
            sent_at,
            abort,
            connection,
            is_local,
            departure: None,
        });
    }

    /// Builds the request of an attempt; returns `None` if a streamed body was already sent or
    /// the URI is invalid.
    fn build_request(
        &mut self,
        candidate: &Candidate,
        cause: AttemptCause,
    ) -> Option<Request<Body>> {
        let body = match &mut self.req.body {
            OutgoingBody::Buffered(bytes) => full(bytes.clone()),
            OutgoingBody::Streamed(body) => body.take()?,
        };
        let uri = Uri::builder()
            .scheme("http")
            .authority(candidate.member.gate.to_string())
            .path_and_query(self.req.path.as_str())
            .build()
            .ok()?;
        let mut req =
            Request::builder().method(self.req.method.clone()).uri(uri).body(body).ok()?;
        *req.headers_mut() = self.req.headers.clone();
        let fingerprint = HeaderValue::from(self.req.fingerprint.0);
        req.headers_mut().insert(headers::FINGERPRINT, fingerprint);
        if self.req.is_retry || cause != AttemptCause::First {
            req.headers_mut().insert(headers::RETRIED, HeaderValue::from_static("1"));
        }
        Some(req)
    }

    fn record_cause(&mut self, id: AttemptId, cause: AttemptCause) {
        let metrics = &self.driver.shared.metrics;
        metrics.attempts.inc();
        if let Some(token) = self.limit_token {
            match cause {
                AttemptCause::First => token.spend(),
                AttemptCause::Retry | AttemptCause::Hedge => token.spend_extra(),
            }
        }
        match cause {
            AttemptCause::First => {}
            AttemptCause::Retry => {
                metrics.retries.inc();
            }
            AttemptCause::Hedge => {
                metrics.hedges.inc();
                self.last_hedge = Some(id);
            }
        }
    }

    /// Retires the connection of an attempt and requests the state of the attempt from its gate.
    fn settle(&mut self, id: AttemptId, candidate: Arc<Candidate>) {
        let shared = Arc::clone(&self.driver.shared);
        let connection = self.connection_of(id);
        let connection_number = Arc::clone(&connection);
        let upstream = candidate.member.gate;
        let is_local = candidate.member.node == shared.node;
        let future = async move {
            let number = connection_number.load(Ordering::SeqCst);
            shared.hops.retire(candidate.member.node, number);
            let req = SettleRequest { id, gate: candidate.member.node, connection: number };
            let settlement = request_settlement(&shared, candidate.member.control, req).await;
            let case = settlement.map_or("unreachable", settlement_name);
            Metrics::count(&shared.metrics.settled, case);
            AttemptResult::Settled(settlement)
        };
        self.track(id, upstream, connection, is_local, future.boxed());
    }

    fn connection_of(&self, id: AttemptId) -> Arc<AtomicU64> {
        let sent = self.sent.iter().find(|s| s.id == id);
        sent.map_or_else(Arc::default, |s| Arc::clone(&s.connection))
    }

    fn cancel(&self, id: AttemptId) {
        for sent in self.sent.iter().filter(|s| s.id == id) {
            sent.abort.abort();
        }
    }
}

/// Returns why an attempt leaves the zone, with the expected times within and outside it and the age of the reports, such as
/// `full home_ms=130.2 away_ms=61.0 age_ms=12`; empty if it doesn't leave.
fn departure_summary(departure: Option<Departure>) -> String {
    departure.map_or_else(String::new, |d| {
        let (home_ms, away_ms) = (d.home_us / 1_000.0, d.away_us / 1_000.0);
        let reason = d.reason.name();
        format!("{reason} home_ms={home_ms:.1} away_ms={away_ms:.1} age_ms={}", d.age_ms)
    })
}

/// Requests the state of an attempt from its gate; returns `None` if the request fails.
async fn request_settlement(
    shared: &Shared,
    address: SocketAddr,
    req: SettleRequest,
) -> Option<Settlement> {
    control_client::settle(&shared.settings.fleet_key, address, req).await.ok()
}

fn settlement_name(settlement: Settlement) -> &'static str {
    match settlement {
        Settlement::NotRun => "not-run",
        Settlement::Running => "running",
        Settlement::Done => "done",
        Settlement::Unknown => "unknown",
    }
}

/// Sends an attempt to the gate of another node and stores the number of the connection that
/// carries it.
async fn send_remote(
    shared: &Shared,
    candidate: &Candidate,
    attempt: AttemptHeader,
    req: Request<Body>,
    connection_number: &AtomicU64,
) -> AttemptResult {
    let insert_header = |req: &mut Request<Body>, number: u64| {
        connection_number.store(number, Ordering::SeqCst);
        if number == 0 {
            return;
        }
        let attempt = AttemptHeader { connection: number, ..attempt.clone() };
        let value = shared
            .settings
            .fleet_key
            .encode_header(&attempt)
            .ok()
            .and_then(|v| HeaderValue::try_from(v).ok());
        if let Some(value) = value {
            req.headers_mut().insert(headers::ATTEMPT, value);
        }
    };
    match shared.hops.send(&candidate.member, req, insert_header).await {
        Ok(res) => classify_response(res.map(stream)),
        Err(HopError::Unsent) => AttemptResult::Unsent,
        Err(HopError::Lost) => AttemptResult::Lost,
    }
}

/// Classifies a gate's response as a refusal, an unknown outcome or a response of the upstream.
fn classify_response(mut res: Response<Body>) -> AttemptResult {
    let report = headers::load_report(res.headers());
    if let Some(reason) = res.headers().get(headers::REFUSED) {
        return AttemptResult::Refused(RefusalReason::from_name(reason.as_bytes()), report);
    }
    if let Some(crash) = headers::parse_number(res.headers(), &headers::CRASHED) {
        return AttemptResult::Crashed(crash);
    }
    match res.headers().contains_key(headers::OUTCOME) {
        // The gate has a record of another delivery of the attempt, which only a settlement reads.
        true if res.status() == StatusCode::CONFLICT => return AttemptResult::Lost,
        true => return AttemptResult::Unknown,
        false => {}
    }
    headers::strip_internal(res.headers_mut());
    let failed = matches!(
        res.status(),
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    );
    AttemptResult::Answered(res, report, failed)
}
