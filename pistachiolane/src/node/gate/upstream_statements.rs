//! What the local upstream states about itself in its responses: the rate of requests that it accepts, and that it
//! is leaving.

use {
    crate::node::{
        dialect::HeaderDialect,
        gate::{
            cold_upstream::apply_health,
            gate_server::GateServer,
            load_probe::{probe, probe_target},
        },
        shared::Shared,
    },
    crate::{membership::is_same_incarnation, schema::Announcement, tick::Tick},
    hyper::{HeaderMap, Response},
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Time limit for reading the statements of an upstream before its first request; its announcement is acknowledged
/// after that, and the upstream waits for the acknowledgement for a second.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two checks whether routes are in force, which name the path to read from.
const ROUTES_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Kind of response that statements are read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementSource {
    /// Response to a request that ran, which carries every statement that holds.
    Response,
    /// Response to a health check that was sent at `asked`; it may lack the rate that holds, but states a cold phase.
    Health {
        /// Time at which the health check was sent.
        asked: Tick,
    },
    /// Rejection, which may lack a statement that holds.
    Other,
}

impl StatementSource {
    /// Returns the source of the statements of a response to a health check that was sent at `asked`. One that failed says
    /// nothing by what it lacks.
    pub fn of_health(res: &Response<()>, asked: Tick) -> Self {
        if res.status().is_success() { Self::Health { asked } } else { Self::Other }
    }
}

/// Whether a response states that the upstream is leaving.
pub fn states_leaving(dialect: &HeaderDialect, headers: &HeaderMap) -> bool {
    let leaving = dialect.leaving.as_ref();
    leaving.is_some_and(|(name, states)| {
        headers.get(name).and_then(|value| value.to_str().ok()).is_some_and(states)
    })
}

/// Puts the statements of a response of the upstream `announced` in force, unless another incarnation has replaced it.
pub fn apply_statements(
    shared: &Shared,
    announced: &Announcement,
    headers: &HeaderMap,
    source: StatementSource,
) {
    let current = shared.upstream.load();
    if !current.as_ref().is_some_and(|current| is_same_incarnation(current, announced)) {
        return;
    }
    if states_leaving(&shared.dialect, headers) && shared.admission.gate.mark_upstream_draining() {
        log::info!(
            target: "upstream", instance = announced.instance.as_str(), service = &*announced.service;
            "upstream states that it is leaving, no new requests"
        );
        shared.leaving_upstream.send_replace(Some(announced.clone()));
    }
    apply_rate(shared, announced, headers, source);
    if let StatementSource::Health { asked } = source {
        apply_health(shared, announced, headers, asked);
    }
}

fn apply_rate(
    shared: &Shared,
    announced: &Announcement,
    headers: &HeaderMap,
    source: StatementSource,
) {
    let Some((name, parse)) = &shared.dialect.rate_limit else {
        return;
    };
    let instance = announced.instance.as_str();
    let stated = match headers.get(name) {
        Some(value) => {
            let Some(rate) = value.to_str().ok().and_then(parse) else {
                log::warn!(
                    target: "upstream", instance, value:? = value;
                    "stated rate limit is unreadable, the previous one stays"
                );
                return;
            };
            Some(rate)
        }
        None if source == StatementSource::Response => None,
        None => return,
    };
    let rate = &shared.admission.gate.stated_rate;
    if rate.set(stated) {
        // 0 stands for no limit.
        let per_second = rate.get().unwrap_or(0.0);
        shared.metrics.upstream_rate_limit.set(per_second);
        log::info!(target: "upstream", instance, per_second; "stated rate limit changed");
    }
}

/// Reads the statements of an upstream that this node has sent no request to yet. A node that has just started
/// knows nothing of what the upstream stated before.
///
/// Returns `None` if the upstream has no health check or its response is late.
pub async fn read_first_statements(
    shared: &Arc<Shared>,
    gate: &GateServer,
    announced: &Announcement,
) -> Option<Response<()>> {
    let dialect = &shared.dialect;
    if dialect.leaving.is_none() && dialect.rate_limit.is_none() && dialect.warm_up.is_none() {
        return None;
    }
    let read = async {
        while shared.settings_tree.load().routes().is_none() {
            sleep(ROUTES_CHECK_INTERVAL).await;
        }
        let (path, pool) = probe_target(shared, gate, announced)?;
        probe(shared, &path, &pool, announced).await
    };
    let started = shared.now();
    let res = timeout(FIRST_READ_TIMEOUT, read).await.ok().flatten();
    let elapsed_ms = shared.now().since(started).as_millis() as u64;
    log::info!(
        target: "upstream", instance = announced.instance.as_str(), elapsed_ms,
        is_read = res.is_some();
        "statements read before the first request"
    );
    res
}
