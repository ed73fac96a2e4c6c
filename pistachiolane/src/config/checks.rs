//! Checks of a subtree's document before it is written.

use {
    super::{ROOT, ROUTES, ValidationError},
    crate::schema::{
        RootDocument, RouteSettings, RoutesDocument, Rule, ServiceSettings, TeamDocument,
    },
    serde::de::DeserializeOwned,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Longest name of a team, service or region in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Longest time budget in milliseconds.
const MAX_TIMEOUT_MS: u32 = 600_000;

/// Largest document of a subtree in bytes; the platform holds a megabyte in a value.
const MAX_DOCUMENT_BYTES: usize = 900_000;

/// Checks the document of a subtree against the schema, the limits and its parent.
///
/// `root` is the root subtree in force, which says what a team may declare.
///
/// # Errors
/// Gives every fault found, each with its path.
pub fn check_document(
    name: &str,
    text: &str,
    root: &RootDocument,
) -> Result<(), Vec<ValidationError>> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let reason = format!("{} bytes, at most {MAX_DOCUMENT_BYTES} are allowed", text.len());
        return Err(vec![ValidationError::new(name, reason)]);
    }
    let faults = match name {
        ROOT => check_root(&parse(name, text)?),
        ROUTES => check_routes(&parse(name, text)?),
        _ => check_team(name, &parse(name, text)?, root),
    };
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}

/// Reads a document; a fault names the path of the value that does not fit the schema.
///
/// # Errors
/// Fails at the first value that does not fit.
pub fn parse<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Vec<ValidationError>> {
    let mut de = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut de).map_err(|e| {
        let path = e.path().to_string().replace(['.', '['], "/").replace(']', "");
        vec![ValidationError::new(format!("{name}/{path}"), e.into_inner().to_string())]
    })
}

fn check_root(root: &RootDocument) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    let mut owners: BTreeMap<&Arc<str>, &String> = BTreeMap::new();
    for (team, entry) in &root.teams {
        check_name(&format!("{ROOT}/teams/{team}"), team, &mut faults);
        if team == ROOT || team == ROUTES {
            faults.push(ValidationError::new(format!("{ROOT}/teams/{team}"), "the name is taken"));
        }
        for service in &entry.services {
            let path = format!("{ROOT}/teams/{team}/services");
            check_name(&path, service, &mut faults);
            if let Some(other) = owners.insert(service, team) {
                faults.push(ValidationError::new(
                    path,
                    format!("`{service}` belongs to team `{other}`"),
                ));
            }
        }
        if !entry.token_digest.is_empty() && !entry.token_digest.contains('$') {
            let path = format!("{ROOT}/teams/{team}/token_digest");
            faults.push(ValidationError::new(
                path,
                "not a digest; make one with `pistachiolane token`",
            ));
        }
    }
    for region in root.regions.keys() {
        check_name(&format!("{ROOT}/regions/{region}"), region, &mut faults);
    }
    faults
}

fn check_routes(document: &RoutesDocument) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    let mut seen = BTreeSet::new();
    for (at, route) in document.routes.iter().enumerate() {
        let path = format!("{ROUTES}/routes/{at}");
        check_route(&path, route, &mut faults);
        if !seen.insert((route.host.to_ascii_lowercase(), &route.prefix)) {
            faults.push(ValidationError::new(&path, "another route has this host and prefix"));
        }
    }
    faults
}

fn check_route(path: &str, route: &RouteSettings, faults: &mut Vec<ValidationError>) {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        faults.push(ValidationError::new(format!("{path}/prefix"), "begins and ends with `/`"));
    }
    if route.host.is_empty() || route.host.contains([':', '/']) {
        faults.push(ValidationError::new(format!("{path}/host"), "a host name without a port"));
    }
    if route.targets.iter().all(|t| t.weight == 0) {
        faults.push(ValidationError::new(
            format!("{path}/targets"),
            "no target has a weight above 0",
        ));
    }
    if route.max_attempts == 0 {
        faults.push(ValidationError::new(format!("{path}/max_attempts"), "at least 1"));
    }
    check_timeout(&format!("{path}/timeout_ms"), route.timeout_ms, faults);
}

fn check_team(name: &str, team: &TeamDocument, root: &RootDocument) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    let Some(entry) = root.teams.get(name) else {
        return vec![ValidationError::new(name, format!("no such team in `{ROOT}/teams`"))];
    };
    for (service, settings) in &team.services {
        let path = format!("{name}/services/{service}");
        check_name(&path, service, &mut faults);
        if !entry.services.iter().any(|s| s.as_ref() == service) {
            let reason = format!("not among `{ROOT}/teams/{name}/services`");
            faults.push(ValidationError::new(&path, reason));
        }
        check_service(&path, settings, &mut faults);
    }
    faults
}

fn check_service(path: &str, settings: &ServiceSettings, faults: &mut Vec<ValidationError>) {
    check_timeout(&format!("{path}/timeout_ms"), settings.timeout_ms, faults);
    if settings.retry_percent > 100 {
        let reason = format!("{}, at most 100 are allowed", settings.retry_percent);
        faults.push(ValidationError::new(format!("{path}/retry_percent"), reason));
    }
    for (at, rule) in settings.rules.iter().enumerate() {
        check_rule(&format!("{path}/rules/{at}"), rule, faults);
    }
}

fn check_rule(path: &str, rule: &Rule, faults: &mut Vec<ValidationError>) {
    if !rule.path.starts_with('/') {
        faults.push(ValidationError::new(format!("{path}/path"), "a path prefix begins with `/`"));
    }
    let is_token = !rule.method.is_empty() && rule.method.bytes().all(|b| b.is_ascii_uppercase());
    if rule.method != "*" && !is_token {
        faults.push(ValidationError::new(
            format!("{path}/method"),
            "an HTTP method in capitals, or `*`",
        ));
    }
    if let Some(timeout_ms) = rule.timeout_ms {
        check_timeout(&format!("{path}/timeout_ms"), timeout_ms, faults);
    }
}

fn check_timeout(path: &str, timeout_ms: u32, faults: &mut Vec<ValidationError>) {
    if timeout_ms == 0 || timeout_ms > MAX_TIMEOUT_MS {
        let reason = format!("{timeout_ms}, expected 1 to {MAX_TIMEOUT_MS} milliseconds");
        faults.push(ValidationError::new(path, reason));
    }
}

fn check_name(path: &str, name: &str, faults: &mut Vec<ValidationError>) {
    let legal = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(legal) {
        let reason = format!("`{name}`: a name has 1 to {MAX_NAME_BYTES} of a-z, 0-9 and -");
        faults.push(ValidationError::new(path, reason));
    }
}
