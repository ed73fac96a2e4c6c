//! The gate: admits attempts and hands them to the upstream beside the node.

use {
    super::{
        body::{Body, Guarded, stream},
        headers,
        queue_task::{QueueItem, QueueVerdict, SlotGuard},
        responses,
        shared::Shared,
    },
    crate::{
        attempt::{Received, Ticket},
        limits::RefusalReason,
        metrics::Metrics,
        schema::{AttemptHeader, FleetKey, WireError},
        tick::Tick,
    },
    http_body_util::BodyExt,
    hyper::{Request, Response, StatusCode, Uri, body::Incoming, header, service::service_fn},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioIo, TokioTimer},
    },
    papaya::HashMap,
    std::{
        convert::Infallible,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::oneshot,
        time::timeout,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Time between two pings on a connection between nodes.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an answer to a ping after which a connection between nodes is dropped.
pub const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Streams of one connection between nodes.
const MAX_STREAMS: u32 = 4_096;

/// Time for a connection to the upstream, which is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which unacknowledged bytes break a connection to the upstream.
const UPSTREAM_SILENCE: Duration = Duration::from_secs(2);

/// Depth of nested calls assumed when the request names none.
const FIRST_DEPTH: u64 = 0;

/// The gate's side of its connections.
#[derive(Debug)]
pub struct GateServer {
    shared: Arc<Shared>,
    upstream: Client<HttpConnector, Body>,
    connections: HashMap<(u64, u64), CancellationToken>,
    open: TaskTracker,
    closing: CancellationToken,
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
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(UPSTREAM_SILENCE));
        connector.set_keepalive(Some(UPSTREAM_SILENCE));
        let upstream = Client::builder(TokioExecutor::new()).set_host(false).build(connector);
        Arc::new(Self {
            shared,
            upstream,
            connections: HashMap::new(),
            open: TaskTracker::new(),
            closing: CancellationToken::new(),
        })
    }

    /// Serves connections of other nodes until the listener is dropped with its task.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                // Out of descriptors, most likely; others will close.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
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
    pub fn kill(&self, entry: u64, connection: u64) {
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
        self.attempt(attempt, req.map(stream)).await
    }

    fn probe(&self) -> Response<Body> {
        let mut res = responses::text(StatusCode::OK, "");
        responses::attach_report(&mut res, &self.shared.admission.gate.report(self.shared.now()));
        res
    }

    /// Admits, queues or refuses one attempt, and gives the upstream's answer if it ran.
    pub async fn attempt(
        self: &Arc<Self>,
        attempt: AttemptHeader,
        req: Request<Body>,
    ) -> Response<Body> {
        let shared = &self.shared;
        let (ticket, slot) = match shared.admission.receive(shared.now(), &attempt) {
            Received::Refuse(reason) => return self.refuse(reason),
            Received::Doubt => return responses::unknown(StatusCode::CONFLICT),
            Received::Run(ticket) => (ticket, Some(SlotGuard::new(Arc::clone(shared)))),
            Received::Queue(ticket) => (ticket, None),
        };
        let deadline = ticket.deadline;
        let waiting = WaitGuard { shared: Arc::clone(shared), ticket };
        let slot = match slot {
            Some(slot) => slot,
            None => match self.wait(&attempt.caller, deadline).await {
                Ok(slot) => slot,
                Err(reason) => return self.refuse(reason),
            },
        };
        if !waiting.ticket.start() {
            return self.refuse(RefusalReason::Retired);
        }
        let ticket = Some(waiting.ticket.clone());
        let guard = RunGuard { shared: Arc::clone(shared), ticket, _slot: slot };
        self.run(guard, deadline, req).await
    }

    async fn wait(&self, caller: &Arc<str>, deadline: Tick) -> Result<SlotGuard, RefusalReason> {
        let (reply, verdict) = oneshot::channel();
        let caller = Arc::clone(caller);
        self.shared.queue.push(QueueItem { caller, deadline, reply });
        match verdict.await {
            Ok(QueueVerdict::Run(slot)) => Ok(slot),
            Ok(QueueVerdict::Refused(reason)) => Err(reason),
            Err(_) => Err(RefusalReason::Expired),
        }
    }

    async fn run(&self, guard: RunGuard, deadline: Tick, mut req: Request<Body>) -> Response<Body> {
        let shared = &self.shared;
        let Some(announced) = shared.upstream.load_full() else {
            return self.unsent(guard);
        };
        let started = shared.now();
        let remaining = deadline.since(started);
        prepare(&mut req, announced.address, remaining);
        shared.metrics.gate_runs.inc();
        let answer = timeout(remaining, self.upstream.request(req)).await;
        let elapsed = shared.now().since(started);
        match answer {
            Ok(Ok(res)) => {
                shared.admission.gate.observe(
                    shared.now(),
                    elapsed,
                    !res.status().is_server_error(),
                );
                self.pass_on(guard, res)
            }
            Ok(Err(e)) if e.is_connect() => {
                shared.admission.gate.observe(shared.now(), elapsed, false);
                self.unsent(guard)
            }
            Ok(Err(_)) => {
                shared.admission.gate.observe(shared.now(), elapsed, false);
                self.with_report(responses::unknown(StatusCode::BAD_GATEWAY))
            }
            Err(_) => {
                shared.admission.gate.observe(shared.now(), elapsed, true);
                self.with_report(responses::unknown(StatusCode::GATEWAY_TIMEOUT))
            }
        }
    }

    fn pass_on(&self, guard: RunGuard, res: Response<Incoming>) -> Response<Body> {
        let mut res = res.map(|body| Guarded::new(stream(body), guard).boxed_unsync());
        headers::strip(res.headers_mut());
        headers::strip_hop_by_hop(res.headers_mut());
        self.with_report(res)
    }

    fn with_report(&self, mut res: Response<Body>) -> Response<Body> {
        responses::attach_report(&mut res, &self.shared.admission.gate.report(self.shared.now()));
        res
    }

    /// The upstream could not be connected to: nothing of the request was sent.
    fn unsent(&self, mut guard: RunGuard) -> Response<Body> {
        if let Some(ticket) = guard.ticket.take() {
            ticket.unsent(self.shared.now());
        }
        drop(guard);
        self.refuse(RefusalReason::NotHere)
    }

    fn refuse(&self, reason: RefusalReason) -> Response<Body> {
        Metrics::count(&self.shared.metrics.gate_refusals, reason.name());
        responses::refused(reason, &self.shared.admission.gate.report(self.shared.now()))
    }
}

fn attempt_header(key: &FleetKey, req: &Request<Incoming>) -> Result<AttemptHeader, WireError> {
    let value = req.headers().get(headers::ATTEMPT).ok_or(WireError::Malformed)?;
    key.decode_header(value.as_bytes())
}

/// Addresses a request to the upstream and tells it the remaining budget and the depth.
fn prepare(req: &mut Request<Body>, address: std::net::SocketAddr, remaining: Duration) {
    let depth = headers::number(req.headers(), &headers::DEPTH).unwrap_or(FIRST_DEPTH);
    let retried = req.headers().get(headers::RETRIED).cloned();
    headers::strip(req.headers_mut());
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let uri = Uri::builder().scheme("http").authority(address.to_string()).path_and_query(path);
    if let Ok(uri) = uri.build() {
        *req.uri_mut() = uri;
    }
    *req.version_mut() = hyper::Version::HTTP_11;
    let map = req.headers_mut();
    map.insert(headers::BUDGET_MS, header::HeaderValue::from(remaining.as_millis() as u64));
    map.insert(headers::DEPTH, header::HeaderValue::from(depth + 1));
    if let Some(retried) = retried {
        map.insert(headers::RETRIED, retried);
    }
}
