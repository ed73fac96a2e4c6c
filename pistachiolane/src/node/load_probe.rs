//! Requests to the local upstream for its current load, when no response has shown it recently.

use {
    super::{body::full, gate_server::GateServer, shared::Shared, upstream_pool::UpstreamPool},
    hyper::{HeaderMap, Request, header},
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
        let is_useful = is_stale && slowness.may_defer(service_time);
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
        if let Some((path, pool)) = probe_target(&shared, &gate) {
            let shown = timeout(PROBE_TIMEOUT, probe(&path, &pool)).await.ok().flatten();
            shared.metrics.upstream_probes.inc();
            if let Some(headers) = shown {
                gate.record_slowness(&headers);
            }
        }
        shared.load_probe.finished.notify_waiters();
        shared.queue.wake();
        sleep(MIN_PROBE_INTERVAL).await;
    }
}

/// Returns the path on which the local upstream shows its load, and the connections to it.
fn probe_target(shared: &Shared, gate: &GateServer) -> Option<(Arc<str>, Arc<UpstreamPool>)> {
    let announced = shared.upstream.load_full()?;
    let tree = shared.settings_tree.load();
    let path = tree.routes()?.load_path(&announced.service)?;
    Some((Arc::clone(path), gate.current_pool(&announced)))
}

async fn probe(path: &str, pool: &UpstreamPool) -> Option<HeaderMap> {
    let req = Request::get(path).header(header::HOST, "upstream").body(full("")).ok()?;
    let (res, connection) = pool.send(req, true).await.ok()?;
    let (parts, body) = res.into_parts();
    pool.recycle(connection, body).await.then_some(parts.headers)
}
