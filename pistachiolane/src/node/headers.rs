//! Headers that nodes add for their own use and for callers and upstreams.

use {
    crate::schema::{LoadReport, decode_header},
    hyper::{HeaderMap, header::HeaderName},
};

/// Prefix of the names of all these headers.
const PREFIX: &str = "pistachiolane-";

/// Encoded attempt header, from entry to gate.
pub const ATTEMPT: HeaderName = HeaderName::from_static("pistachiolane-attempt");

/// Load report, from gate to entry.
pub const LOAD_REPORT: HeaderName = HeaderName::from_static("pistachiolane-report");

/// Reason of a gate's refusal, from gate to entry; its presence means that the attempt did not run.
pub const REFUSED: HeaderName = HeaderName::from_static("pistachiolane-refused");

/// Outcome of a call, to the caller: `answer`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("pistachiolane-outcome");

/// Reason of an outcome other than `answer`, to the caller.
pub const REASON: HeaderName = HeaderName::from_static("pistachiolane-reason");

/// Remaining time budget in milliseconds, to the upstream and from nested callers.
pub const BUDGET_MS: HeaderName = HeaderName::from_static("pistachiolane-budget-ms");

/// Nesting depth of calls, to the upstream and from nested callers.
pub const DEPTH: HeaderName = HeaderName::from_static("pistachiolane-depth");

/// Marks a request that repeats a failed one, to the upstream and from nested callers.
pub const RETRIED: HeaderName = HeaderName::from_static("pistachiolane-retried");

/// Fingerprint of a request as a decimal number, from entry to gate.
pub const FINGERPRINT: HeaderName = HeaderName::from_static("pistachiolane-fingerprint");

/// Identity of the upstream incarnation that crashed while it ran the attempt as a decimal number, from gate to
/// entry.
pub const CRASHED: HeaderName = HeaderName::from_static("pistachiolane-crashed");

/// Path at which a gate serves load probes.
pub const PROBE_PATH: &str = "/pistachiolane/probe";

/// Removes all headers with the system's prefix.
pub fn strip_internal(headers: &mut HeaderMap) {
    let internal: Vec<HeaderName> =
        headers.keys().filter(|k| k.as_str().starts_with(PREFIX)).cloned().collect();
    for name in internal {
        headers.remove(name);
    }
}

/// Removes the hop-by-hop headers, including those that `Connection` lists.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let standard = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    for name in standard.iter().copied().chain(listed.iter().map(String::as_str)) {
        headers.remove(name);
    }
}

/// Returns the load report in a gate's response, if there is a valid one.
pub fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    decode_header(headers.get(LOAD_REPORT)?.as_bytes()).ok()
}

/// Returns the value of a header as a number, if the header exists and is one.
pub fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
