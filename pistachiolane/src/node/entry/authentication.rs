//! Authentication of callers: the key of a request identifies its workspace.

use {
    crate::config::{KeyDigest, Route, RouteTable, Workspace},
    hyper::{HeaderMap, header},
    std::sync::Arc,
};

/// Scheme of the `Authorization` header, compared without case.
const SCHEME: &[u8] = b"bearer";

/// Reason why a request does not identify a workspace. It never contains any part of the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(in crate::node) enum KeyFault {
    #[error("no `Authorization` header")]
    Missing,
    #[error("more than one `Authorization` header")]
    Repeated,
    #[error("`Authorization` is not `Bearer` and one key")]
    Malformed,
    #[error("unknown key")]
    Unknown,
}

/// Returns the workspace of a request; `None` if it has none and needs none.
///
/// On an exempt route a key only names the workspace, so that a caller may use one header for all routes: a request
/// without a usable key is treated as one without a key.
///
/// # Errors
/// Fails if the route needs a key and the request has none that is known.
pub(in crate::node) fn authenticate(
    routes: &RouteTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Workspace>>, KeyFault> {
    if !routes.keys_required {
        return Ok(None);
    }
    match find_workspace(routes, headers) {
        Err(_) if route.is_key_exempt => Ok(None),
        workspace => workspace.map(Some),
    }
}

fn find_workspace(routes: &RouteTable, headers: &HeaderMap) -> Result<Arc<Workspace>, KeyFault> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next().ok_or(KeyFault::Missing)?;
    if values.next().is_some() {
        return Err(KeyFault::Repeated);
    }
    let key = bearer_key(value.as_bytes()).ok_or(KeyFault::Malformed)?;
    routes.workspace(&KeyDigest::new(key)).map(Arc::clone).ok_or(KeyFault::Unknown)
}

/// Returns the key in the value of an `Authorization` header.
///
/// White space around the value is not part of it (RFC 9110, 5.5), and one or more spaces follow the scheme (11.4).
/// A key contains no white space, so a list of credentials is not accepted.
fn bearer_key(value: &[u8]) -> Option<&[u8]> {
    let (scheme, rest) = value.trim_ascii().split_at_checked(SCHEME.len())?;
    let key = rest.trim_ascii_start();
    let has_separator = rest.first() == Some(&b' ');
    let is_one_word = !key.is_empty() && !key.iter().any(u8::is_ascii_whitespace);
    (scheme.eq_ignore_ascii_case(SCHEME) && has_separator && is_one_word).then_some(key)
}
