//! Answers that a node gives itself.

use {
    super::{
        body::{Body, full},
        headers,
    },
    crate::{attempt::NotRunReason, limits::RefusalReason, schema::LoadReport},
    hyper::{Response, StatusCode, header},
    serde::Serialize,
    std::time::Duration,
};

/// A plain answer with a line of text.
pub fn text(status: StatusCode, message: impl Into<String>) -> Response<Body> {
    let mut message = message.into();
    message.push('\n');
    let mut res = Response::new(full(message));
    *res.status_mut() = status;
    set_header(&mut res, &header::CONTENT_TYPE, "text/plain; charset=utf-8");
    res
}

/// An answer with a JSON value.
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

/// Tells a caller that its request was not run and when to come back.
pub fn not_run(
    reason: NotRunReason,
    retry_after: Duration,
    fractional_seconds: bool,
) -> Response<Body> {
    let message = format!("not run: {}", reason.name());
    let mut res = rejected(StatusCode::SERVICE_UNAVAILABLE, reason.name(), message);
    set_retry_after(&mut res, retry_after, fractional_seconds);
    res
}

/// Tells a caller when to come back: in fractions of a second if it reads them, else rounded up.
pub fn set_retry_after(res: &mut Response<Body>, retry_after: Duration, fractional_seconds: bool) {
    let seconds = retry_after.as_secs_f64();
    let after = if fractional_seconds {
        format!("{seconds:.3}")
    } else {
        seconds.ceil().max(1.0).to_string()
    };
    set_header(res, &header::RETRY_AFTER, &after);
}

/// Tells a caller that its request was refused for what it is; it was not run.
pub fn rejected(status: StatusCode, reason: &str, message: impl Into<String>) -> Response<Body> {
    let mut res = text(status, message);
    set_header(&mut res, &headers::OUTCOME, "not-run");
    set_header(&mut res, &headers::REASON, reason);
    res
}

/// Tells a caller, or an entry, that the request may have run.
pub fn unknown(status: StatusCode) -> Response<Body> {
    let mut res = text(status, "unknown: the request may have run, its answer is lost");
    set_header(&mut res, &headers::OUTCOME, "unknown");
    res
}

/// Tells an entry that an attempt did not and will not run.
pub fn refused(reason: RefusalReason, report: &LoadReport) -> Response<Body> {
    let mut res = text(StatusCode::SERVICE_UNAVAILABLE, reason.name());
    set_header(&mut res, &headers::REFUSED, reason.name());
    attach_report(&mut res, report);
    res
}

/// Adds a load report to an answer.
pub fn attach_report(res: &mut Response<Body>, report: &LoadReport) {
    if let Ok(value) = crate::schema::encode_header(report) {
        set_header(res, &headers::LOAD_REPORT, &value);
    }
}

/// Sets a header to a value made by the node itself.
pub fn set_header(res: &mut Response<Body>, name: &header::HeaderName, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        res.headers_mut().insert(name.clone(), value);
    }
}
