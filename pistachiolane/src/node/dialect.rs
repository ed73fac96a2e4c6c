//! Names of the headers that callers and upstreams use, as an adapter gives them.

use hyper::header::HeaderName;

/// Reads how long work takes at this moment from a header, in percent of the usual time.
pub type ParseSlowness = fn(&str) -> Option<u32>;

/// Headers of callers and upstreams. Headers that are `None` are neither read nor set.
#[derive(Clone, Debug)]
pub struct HeaderDialect {
    /// Identity of a request, passed on as the caller sent it and echoed by the upstream.
    pub request_id: Option<HeaderName>,
    /// Time budget in milliseconds, from callers and to upstreams.
    pub budget_ms: HeaderName,
    /// To the upstream: the instance that the request is meant for.
    pub expected_instance: Option<HeaderName>,
    /// To the upstream: the service beside the node that took the request.
    pub caller_service: Option<HeaderName>,
    /// From the upstream: its presence says that the request did not run.
    pub not_run: Option<HeaderName>,
    /// From the upstream: present on each answer that is the service's own.
    pub signature: Option<HeaderName>,
    /// From the upstream: a header that tells how much its neighbours slow it down, and how it is read.
    pub slowness: Option<(HeaderName, ParseSlowness)>,
    /// Whether callers read fractions of a second in `Retry-After`.
    pub fractional_retry_after: bool,
}

impl HeaderDialect {
    /// The product's own interface.
    pub fn native() -> Self {
        Self {
            request_id: None,
            budget_ms: super::headers::BUDGET_MS,
            expected_instance: None,
            caller_service: None,
            not_run: None,
            signature: None,
            slowness: None,
            fractional_retry_after: false,
        }
    }

    /// Headers that only the system may set on a request, and that callers' own are removed of.
    pub fn reserved(&self) -> impl Iterator<Item = &HeaderName> {
        let slowness = self.slowness.as_ref().map(|(name, _)| name);
        let names = [&self.expected_instance, &self.caller_service, &self.not_run, &self.signature];
        names.into_iter().filter_map(Option::as_ref).chain(slowness)
    }
}
