//! Names of the headers that callers and upstreams use, set by the platform's adapter.

use {hyper::header::HeaderName, std::time::Duration};

/// Parses the slowness of an upstream from a header value: the service time in percent of the
/// usual one.
pub type ParseSlowness = fn(&str) -> Option<u32>;

/// Parses the rate that an upstream states to accept from a header value, in requests per second.
pub type ParseRate = fn(&str) -> Option<f64>;

/// Whether a header value states that the upstream is leaving.
pub type StatesLeaving = fn(&str) -> bool;

/// Parses the time for which the upstream stays cold from a header value.
pub type ParseWarmUp = fn(&str) -> Option<Duration>;

/// Headers that callers and upstreams use. A header that is `None` is neither read nor set.
#[derive(Clone, Debug)]
pub struct HeaderDialect {
    /// Request id, passed on as the caller sent it and echoed by the upstream.
    pub request_id: Option<HeaderName>,
    /// Remaining time budget in milliseconds, from callers and to upstreams.
    pub budget_ms: HeaderName,
    /// To the upstream: id of the instance that the request is intended for.
    pub expected_instance: Option<HeaderName>,
    /// To the upstream: service on the host of the entry that accepted the request.
    pub caller_service: Option<HeaderName>,
    /// To the upstream: name of the caller's workspace.
    pub workspace: Option<HeaderName>,
    /// From the upstream, on responses to health checks: header with the time for which it stays cold, and the
    /// function that parses it.
    pub warm_up: Option<(HeaderName, ParseWarmUp)>,
    /// From the upstream: present if the request did not run.
    pub not_run: Option<HeaderName>,
    /// From the upstream: present on every response that the service itself generated.
    pub signature: Option<HeaderName>,
    /// From the upstream: header with its slowness, and the function that parses it.
    pub slowness: Option<(HeaderName, ParseSlowness)>,
    /// From the upstream: header with the rate of requests that it accepts, present on each response while that
    /// limit holds, and the function that parses it.
    pub rate_limit: Option<(HeaderName, ParseRate)>,
    /// From the upstream: header that states that it is leaving, and the function that decodes it.
    pub leaving: Option<(HeaderName, StatesLeaving)>,
    /// From the upstream: its instance id, on responses to health checks.
    pub instance: Option<HeaderName>,
    /// Whether callers accept fractions of a second in `Retry-After`.
    pub fractional_retry_after: bool,
}

impl HeaderDialect {
    /// Returns the headers of the built-in interface, without an adapter.
    pub fn native() -> Self {
        Self {
            request_id: None,
            budget_ms: crate::node::headers::BUDGET_MS,
            expected_instance: None,
            caller_service: None,
            workspace: None,
            warm_up: None,
            not_run: None,
            signature: None,
            slowness: None,
            rate_limit: None,
            leaving: None,
            instance: None,
            fractional_retry_after: false,
        }
    }

    /// Returns the headers that callers may not set; they are removed from callers' requests.
    pub fn reserved(&self) -> impl Iterator<Item = &HeaderName> {
        let slowness = self.slowness.as_ref().map(|(name, _)| name);
        let names = [
            &self.expected_instance,
            &self.caller_service,
            &self.workspace,
            &self.not_run,
            &self.signature,
        ];
        names.into_iter().filter_map(Option::as_ref).chain(slowness)
    }
}
