//! What the local upstream states about itself in its responses: the rate of requests that it accepts.

use {
    super::shared::Shared,
    crate::{membership::is_same_incarnation, schema::Announcement},
    hyper::HeaderMap,
};

/// Kind of response that statements are read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementSource {
    /// Response to a request that ran, which carries every statement that holds.
    Response,
    /// Rejection or response to a health check, which may lack a statement that holds.
    Other,
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
    apply_rate(shared, announced, headers, source);
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
