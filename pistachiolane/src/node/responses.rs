//! Responses that a node generates itself.

use {
    crate::node::{
        body::{Body, full},
        headers,
    },
    crate::{attempt::NotRunReason, limits::RefusalReason, schema::LoadReport},
    hyper::{Response, StatusCode, header},
    serde::Serialize,
    std::time::Duration,
};

/// Builds a plain-text response of one line.
pub fn text(status: StatusCode, message: impl Into<String>) -> Response<Body> {
    let mut message = message.into();
    message.push('\n');
    let mut res = Response::new(full(message));
    *res.status_mut() = status;
    set_header(&mut res, &header::CONTENT_TYPE, "text/plain; charset=utf-8");
    res
}

/// Builds a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut res = Response::new(full(bytes));
            *res.status_mut() = status;
            set_header(&mut res, &header::CONTENT_TYPE, "application/json");
            res
        }
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Builds the response to a caller whose request was not run, with the time after which to retry.
pub fn not_run(reason: NotRunReason, retry_after: Duration, fractional: bool) -> Response<Body> {
    let message = format!("not run: {}", reason.name());
    let mut res = rejected(StatusCode::SERVICE_UNAVAILABLE, reason.name(), message);
    set_retry_after(&mut res, retry_after, fractional);
    res
}

/// Sets `Retry-After`: in fractions of a second if the caller accepts them, else rounded up to at
/// least 1 s.
pub fn set_retry_after(res: &mut Response<Body>, retry_after: Duration, fractional: bool) {
    let seconds = retry_after.as_secs_f64();
    let after =
        if fractional { format!("{seconds:.3}") } else { seconds.ceil().max(1.0).to_string() };
    set_header(res, &header::RETRY_AFTER, &after);
}

/// Builds the response to a caller whose request was rejected and not run.
pub fn rejected(status: StatusCode, reason: &str, message: impl Into<String>) -> Response<Body> {
    let mut res = text(status, message);
    set_header(&mut res, &headers::OUTCOME, "not-run");
    set_header(&mut res, &headers::REASON, reason);
    res
}

/// Builds the response to a caller or an entry whose request may have run.
pub fn unknown(status: StatusCode) -> Response<Body> {
    let mut res = text(status, "unknown: the request may have run, its answer is lost");
    set_header(&mut res, &headers::OUTCOME, "unknown");
    res
}

/// Builds the response to an entry whose attempt did not and will not run.
pub fn refused(reason: RefusalReason, report: &LoadReport) -> Response<Body> {
    let mut res = text(StatusCode::SERVICE_UNAVAILABLE, reason.name());
    set_header(&mut res, &headers::REFUSED, reason.name());
    attach_report(&mut res, report);
    res
}

/// Adds a load report to a response.
pub fn attach_report(res: &mut Response<Body>, report: &LoadReport) {
    if let Ok(value) = crate::schema::encode_header(report) {
        set_header(res, &headers::LOAD_REPORT, &value);
    }
}

/// Sets a header to a value that the node generated; an invalid value is ignored.
pub fn set_header(res: &mut Response<Body>, name: &header::HeaderName, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        res.headers_mut().insert(name.clone(), value);
    }
}
