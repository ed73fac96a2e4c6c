//! Drives one call: turns the actions of its state machine into requests, and their ends into events.

use {
    super::{
        body::{Body, full, stream},
        control_client,
        gate_server::GateServer,
        headers,
        hop::HopError,
        shared::Shared,
    },
    crate::{
        attempt::{AttemptCause, Call, CallAction, CallContext, CallEvent, CallSpec, Outcome},
        limits::RefusalReason,
        metrics::Metrics,
        routing::{Candidate, ServiceTable},
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
    },
    tokio::time::sleep_until,
};

/// A request as it is sent to gates, as often as needed.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers, cleaned of the connection's and the system's own.
    pub headers: HeaderMap,
    /// Body.
    pub body: OutgoingBody,
    /// Whether a retry marker travels with the first attempt already.
    pub is_retry: bool,
}

/// Body of an outgoing request.
#[derive(Debug)]
pub enum OutgoingBody {
    /// Held whole, and sent with each attempt.
    Whole(Bytes),
    /// Streamed once; `None` when it was.
    Once(Option<Body>),
}

impl OutgoingBody {
    /// Bytes that are known to be sent with each attempt.
    fn size(&self) -> u64 {
        match self {
            Self::Whole(bytes) => bytes.len() as u64,
            Self::Once(body) => body.as_ref().map_or(0, |b| b.size_hint().lower()),
        }
    }
}

/// End of a driven call.
#[derive(Debug)]
pub enum CallEnd {
    /// The answer.
    Answer(Response<Body>),
    /// No answer.
    NoAnswer(Outcome),
}

#[derive(Debug)]
enum AttemptEnd {
    Refused(RefusalReason, Option<LoadReport>),
    Unsent,
    Lost,
    Answered(Response<Body>, Option<LoadReport>, bool),
    Settled(Option<Settlement>),
}

impl AttemptEnd {
    /// Short name in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Refused(reason, _) => reason.name(),
            Self::Unsent => "unsent",
            Self::Lost => "lost",
            Self::Answered(_, _, true) => "failed",
            Self::Answered(..) => "answered",
            Self::Settled(_) => "settled",
        }
    }
}

/// Number in place of a connection's for the own gate, which no settlement retires.
const NO_CONNECTION: u64 = u64::MAX;

type Attempts = FuturesUnordered<BoxFuture<'static, (AttemptId, Option<AttemptEnd>)>>;

#[derive(Debug)]
struct Sent {
    id: AttemptId,
    upstream: SocketAddr,
    at: Tick,
    abort: AbortHandle,
    connection: Arc<AtomicU64>,
}

/// What the calls of an entry need.
#[derive(Clone, Debug)]
pub struct Driver {
    /// The node's state.
    pub shared: Arc<Shared>,
    /// The node's own gate, reached without a hop.
    pub gate: Arc<GateServer>,
}

struct Run<'a> {
    driver: &'a Driver,
    table: &'a ServiceTable,
    req: OutgoingRequest,
    request_id: &'a str,
    spec: CallSpec,
    caller: Arc<str>,
    call: Call,
    attempts: Attempts,
    sent: Vec<Sent>,
    hedge: Option<AttemptId>,
    answers: Vec<(AttemptId, Response<Body>)>,
    wake: Tick,
    end: Option<Outcome>,
}

impl Driver {
    /// Drives a call to its end. Dropping the future cancels all attempts.
    pub async fn drive(
        &self,
        table: &ServiceTable,
        spec: CallSpec,
        req: OutgoingRequest,
        request_id: &str,
    ) -> CallEnd {
        let caller = self.shared.local_service();
        let mut run = Run {
            driver: self,
            table,
            req,
            request_id,
            spec,
            caller,
            call: Call::new(spec),
            attempts: FuturesUnordered::new(),
            sent: Vec::new(),
            hedge: None,
            answers: Vec::new(),
            wake: spec.deadline,
            end: None,
        };
        run.drive_to_end().await
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.step(CallEvent::CallerLeft);
    }
}

impl Run<'_> {
    async fn drive_to_end(&mut self) -> CallEnd {
        let mut events = VecDeque::from([CallEvent::Started]);
        loop {
            while let Some(event) = events.pop_front() {
                self.step(event);
            }
            if let Some(outcome) = self.end.take() {
                return self.finish(outcome);
            }
            let wake = sleep_until(self.driver.shared.instant(self.wake));
            tokio::select! {
                biased;
                Some((id, end)) = self.attempts.next() => {
                    events.extend(end.map(|end| self.event(id, end)));
                }
                () = wake => events.push_back(CallEvent::Timer),
            }
        }
    }

    fn step(&mut self, event: CallEvent) {
        self.log_event(&event);
        let shared = &self.driver.shared;
        let cx = CallContext {
            entry: shared.node,
            table: self.table,
            paid: &shared.inter_region_bytes,
            sequence: &shared.attempts,
        };
        let actions = self.call.step(shared.now(), cx, &mut rand::rng(), event);
        for action in actions {
            match action {
                CallAction::Send { id, candidate, may_queue, cause } => {
                    self.count_cause(id, cause);
                    self.log_send(id, &candidate, may_queue, cause);
                    let req = self.parts(&candidate, cause);
                    self.send(id, candidate, may_queue, req);
                }
                CallAction::Settle { id, candidate } => self.settle(id, candidate),
                CallAction::Cancel(id) => self.cancel(id),
                CallAction::WakeAt(at) => self.wake = at,
                CallAction::Finish(outcome) => self.end = Some(outcome),
            }
        }
    }

    fn log_send(&self, id: AttemptId, to: &Candidate, may_queue: bool, cause: AttemptCause) {
        let now = self.driver.shared.now();
        let report = to.last_report();
        let age_ms = to.report_age(now).map_or(-1, |age| age.as_millis() as i64);
        log::info!(
            target: "entry", request = self.request_id, attempt = id.name().as_str(),
            service = &*self.table.name, upstream = to.member.gate.to_string().as_str(),
            cause = cause.name(), may_queue, running = report.running, queued = report.queued,
            slots = report.slots, report_age_ms = age_ms, outstanding = to.outstanding();
            "attempt sent"
        );
    }

    /// What became of an attempt, unless it was answered.
    fn log_event(&self, event: &CallEvent) {
        let (id, what, why) = match event {
            CallEvent::Refused(id, reason, _) => (id, "attempt refused, not run", reason.name()),
            CallEvent::Unsent(id) => (id, "attempt not sent", "no connection"),
            CallEvent::Lost(id) => (id, "attempt lost", "no usable answer"),
            CallEvent::Settled(id, settlement) => {
                (id, "attempt settled", settlement.map_or("unreachable", settlement_name))
            }
            _ => return,
        };
        log::info!(
            target: "entry", request = self.request_id, attempt = id.name().as_str(), why; "{what}"
        );
    }

    fn finish(&mut self, outcome: Outcome) -> CallEnd {
        let Outcome::Answer(id) = outcome else {
            return CallEnd::NoAnswer(outcome);
        };
        if self.hedge == Some(id) {
            self.driver.shared.metrics.hedges_won.inc();
        }
        let at = self.answers.iter().position(|(answered, _)| *answered == id);
        invariant!(at.is_some(), "answer_matches_attempt");
        match at {
            Some(at) => CallEnd::Answer(self.answers.swap_remove(at).1),
            None => CallEnd::NoAnswer(Outcome::Unknown),
        }
    }

    fn event(&mut self, id: AttemptId, end: AttemptEnd) -> CallEvent {
        let metrics = &self.driver.shared.metrics;
        if let Some(sent) = self.sent.iter().find(|s| s.id == id) {
            let time = self.driver.shared.now().since(sent.at);
            metrics.latencies.attempt(&sent.upstream.to_string(), end.name(), time);
        }
        match end {
            AttemptEnd::Refused(reason, report) => {
                Metrics::count(&metrics.refused, reason.name());
                CallEvent::Refused(id, reason, report)
            }
            AttemptEnd::Unsent => {
                Metrics::count(&metrics.refused, "unsent");
                CallEvent::Unsent(id)
            }
            AttemptEnd::Lost => {
                metrics.lost.inc();
                CallEvent::Lost(id)
            }
            AttemptEnd::Answered(res, report, failed) => {
                let request = self.req.body.size();
                let answer = res.body().size_hint().exact().unwrap_or(0);
                self.table.state.bytes.record((request + answer) as f64);
                self.answers.push((id, res));
                CallEvent::Answered { id, report, failed }
            }
            AttemptEnd::Settled(settlement) => CallEvent::Settled(id, settlement),
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
            connection: NO_CONNECTION,
            budget_us: crate::tick::micros(budget),
            repeatable: self.spec.kind == WorkKind::Idempotent,
            may_queue,
            priority: self.spec.priority,
            class: self.spec.class,
            target_us: crate::tick::micros(target),
            service: Arc::clone(&self.table.name),
            caller: Arc::clone(&self.caller),
        };
        let local = candidate.member.node == shared.node;
        let upstream = candidate.member.gate;
        let future = match req {
            None => async { AttemptEnd::Unsent }.boxed(),
            Some(req) if local => {
                let gate = Arc::clone(&self.driver.gate);
                async move { read_answer(gate.handle_attempt(attempt, req).await) }.boxed()
            }
            Some(req) => {
                let shared = Arc::clone(shared);
                let used = Arc::clone(&connection);
                async move { remote(&shared, &candidate, attempt, req, &used).await }.boxed()
            }
        };
        self.start(id, upstream, connection, future);
    }

    fn start(
        &mut self,
        id: AttemptId,
        upstream: SocketAddr,
        connection: Arc<AtomicU64>,
        future: BoxFuture<'static, AttemptEnd>,
    ) {
        let (abort, registration) = AbortHandle::new_pair();
        let future = Abortable::new(future, registration);
        self.attempts.push(async move { (id, future.await.ok()) }.boxed());
        let at = self.driver.shared.now();
        self.sent.push(Sent { id, upstream, at, abort, connection });
    }

    fn parts(&mut self, candidate: &Candidate, cause: AttemptCause) -> Option<Request<Body>> {
        let body = match &mut self.req.body {
            OutgoingBody::Whole(bytes) => full(bytes.clone()),
            OutgoingBody::Once(body) => body.take()?,
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
        if self.req.is_retry || cause != AttemptCause::First {
            req.headers_mut().insert(headers::RETRIED, HeaderValue::from_static("1"));
        }
        Some(req)
    }

    fn count_cause(&mut self, id: AttemptId, cause: AttemptCause) {
        let metrics = &self.driver.shared.metrics;
        metrics.attempts.inc();
        match cause {
            AttemptCause::First => {}
            AttemptCause::Retry => {
                metrics.retries.inc();
            }
            AttemptCause::Hedge => {
                metrics.hedges.inc();
                self.hedge = Some(id);
            }
        }
    }

    fn settle(&mut self, id: AttemptId, candidate: Arc<Candidate>) {
        let shared = Arc::clone(&self.driver.shared);
        let connection = self.connection_of(id);
        let used = Arc::clone(&connection);
        let upstream = candidate.member.gate;
        let future = async move {
            let number = used.load(Ordering::SeqCst);
            shared.hops.retire(candidate.member.node, number);
            let req = SettleRequest { id, gate: candidate.member.node, connection: number };
            let settlement = ask(&shared, candidate.member.control, req).await;
            let case = settlement.map_or("unreachable", settlement_name);
            Metrics::count(&shared.metrics.settled, case);
            AttemptEnd::Settled(settlement)
        };
        self.start(id, upstream, connection, future.boxed());
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

async fn ask(shared: &Shared, address: SocketAddr, req: SettleRequest) -> Option<Settlement> {
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

async fn remote(
    shared: &Shared,
    candidate: &Candidate,
    attempt: AttemptHeader,
    req: Request<Body>,
    used: &AtomicU64,
) -> AttemptEnd {
    let stamp = |req: &mut Request<Body>, number: u64| {
        used.store(number, Ordering::SeqCst);
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
    match shared.hops.send(&candidate.member, req, stamp).await {
        Ok(res) => read_answer(res.map(stream)),
        Err(HopError::Unsent) => AttemptEnd::Unsent,
        Err(HopError::Lost) => AttemptEnd::Lost,
    }
}

/// Tells a gate's refusal, doubt and answer apart.
fn read_answer(mut res: Response<Body>) -> AttemptEnd {
    let report = headers::report(res.headers());
    if let Some(reason) = res.headers().get(headers::REFUSED) {
        return AttemptEnd::Refused(RefusalReason::from_name(reason.as_bytes()), report);
    }
    if res.headers().contains_key(headers::OUTCOME) {
        return AttemptEnd::Lost;
    }
    headers::strip(res.headers_mut());
    let failed = matches!(
        res.status(),
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    );
    AttemptEnd::Answered(res, report, failed)
}
