//! Requests to the local upstream for its current load, when no response has shown it recently.

use {
    crate::node::{
        body::full,
        gate::{
            gate_server::GateServer,
            upstream_pool::UpstreamPool,
            upstream_statements::{StatementSource, apply_statements},
        },
        shared::Shared,
    },
    crate::schema::Announcement,
    hyper::{Request, Response, header},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Age of the last known slowness from which a request that a slow phase would defer waits for a probe.
const STALE_AFTER: Duration = Duration::from_millis(60);

/// Time limit of a probe; an upstream shows its load at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);

/// Minimum time between two probes.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(30);

/// Signals between requests, the queue and the task that probes.
#[derive(Debug, Default)]
pub struct LoadProbe {
    requested: Notify,
    finished: Notify,
}

impl LoadProbe {
    /// Requests a probe if a request of this service time could be deferred and the last known slowness
    /// is stale; returns whether it did.
    pub fn request_if_stale(&self, shared: &Shared, service_time: Duration) -> bool {
        let slowness = &shared.admission.gate.slowness;
        // An upstream that has shown no slowness yet may never do so.
        let is_stale = slowness.age(shared.now()).is_some_and(|age| age > STALE_AFTER);
        // A limit may count probes as well; the few requests that it leaves show the load.
        let is_limited = shared.admission.gate.stated_rate.in_force(shared.now()).is_some();
        let is_useful = is_stale && !is_limited && slowness.may_defer(service_time);
        if is_useful {
            self.requested.notify_one();
        }
        is_useful
    }

    /// Waits until the slowness is known well enough to decide on a request of this service time.
    pub async fn refresh(&self, shared: &Shared, service_time: Duration) {
        let finished = self.finished.notified();
        if self.request_if_stale(shared, service_time) {
            // After a probe that failed, the request is decided on without a current value.
            let _timed_out = timeout(PROBE_TIMEOUT, finished).await;
        }
    }
}

/// Probes the local upstream whenever that is requested. Runs until its task is dropped.
pub async fn run_load_probes(shared: Arc<Shared>, gate: Arc<GateServer>) {
    loop {
        shared.load_probe.requested.notified().await;
        if let Some(announced) = shared.upstream.load_full() {
            read_health(&shared, &gate, &announced, PROBE_TIMEOUT).await;
        }
        shared.load_probe.finished.notify_waiters();
        shared.queue.wake();
        sleep(MIN_PROBE_INTERVAL).await;
    }
}

/// Reads the health response of the upstream `announced` and puts what it states in force; returns whether there was
/// a successful one in time.
pub(in crate::node) async fn read_health(
    shared: &Shared,
    gate: &GateServer,
    announced: &Announcement,
    limit: Duration,
) -> bool {
    let Some((path, pool)) = probe_target(shared, gate, announced) else {
        return false;
    };
    let asked = shared.now();
    let probe = probe(shared, &path, &pool, announced);
    let Some(res) = timeout(limit, probe).await.ok().flatten() else {
        return false;
    };
    gate.record_slowness(res.headers());
    let source = StatementSource::of_health(&res, asked);
    apply_statements(shared, announced, res.headers(), source);
    source != StatementSource::Other
}

/// Returns the path on which an upstream shows its state, and the connections to it.
pub(in crate::node) fn probe_target(
    shared: &Shared,
    gate: &GateServer,
    announced: &Announcement,
) -> Option<(Arc<str>, Arc<UpstreamPool>)> {
    let tree = shared.settings_tree.load();
    let path = tree.routes()?.load_path(&announced.service)?;
    Some((Arc::clone(path), gate.current_pool(announced)))
}

/// Returns the response of the upstream `announced` on its health path; `None` if there is no whole response
/// or another instance listens on the address.
pub(in crate::node) async fn probe(
    shared: &Shared,
    path: &str,
    pool: &UpstreamPool,
    announced: &Announcement,
) -> Option<Response<()>> {
    shared.metrics.upstream_probes.inc();
    let req = Request::get(path).header(header::HOST, "upstream").body(full("")).ok()?;
    let (res, connection) = pool.send(req, true).await.ok()?;
    let (parts, body) = res.into_parts();
    let instance = shared.dialect.instance.as_ref().and_then(|name| parts.headers.get(name));
    let is_other = instance.is_some_and(|instance| instance != announced.instance.as_str());
    let is_whole = pool.recycle(connection, body).await;
    (is_whole && !is_other).then(|| Response::from_parts(parts, ()))
}
