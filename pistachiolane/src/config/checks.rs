//! Validation of a subtree's document before it is written.

use {
    super::{EVACUATIONS, KeyDigest, ROOT, ROUTES, ValidationError, Workspace},
    crate::schema::{
        RootDocument, RouteSettings, RoutesDocument, Rule, ServiceSettings, TeamDocument,
        WorkspaceSettings,
    },
    serde::de::DeserializeOwned,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Maximum length of the name of a team, service or region in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum time budget in milliseconds.
const MAX_TIMEOUT_MS: u32 = 600_000;

/// Maximum size of a subtree's document in bytes; the platform limits a value to one megabyte.
const MAX_DOCUMENT_BYTES: usize = 900_000;

/// Validates the document of a subtree against the schema, the limits and the root subtree.
///
/// `root` is the root subtree in force, which lists the services that a team may declare.
///
/// # Errors
/// Returns every error found, each with its path.
pub fn check_document(
    name: &str,
    text: &str,
    root: &RootDocument,
) -> Result<(), Vec<ValidationError>> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let reason = format!("{} bytes, at most {MAX_DOCUMENT_BYTES} are allowed", text.len());
        return Err(vec![ValidationError::new(name, reason)]);
    }
    let errors = match name {
        ROOT => check_root(&parse(name, text)?),
        ROUTES => check_routes(&parse(name, text)?),
        _ => check_team(name, &parse(name, text)?, root),
    };
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

/// Parses a document; the error contains the path of the value that doesn't match the schema.
///
/// # Errors
/// Fails at the first value that doesn't match the schema.
pub fn parse<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Vec<ValidationError>> {
    let mut de = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut de).map_err(|e| {
        let path = e.path().to_string().replace(['.', '['], "/").replace(']', "");
        // The parser's message quotes the value, which may be a key that was given in place of its digest.
        let reason = if name == ROUTES && path.starts_with("workspaces") {
            "does not match the schema".to_owned()
        } else {
            e.into_inner().to_string()
        };
        vec![ValidationError::new(format!("{name}/{path}"), reason)]
    })
}

fn check_root(root: &RootDocument) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    let mut owners: BTreeMap<&Arc<str>, &String> = BTreeMap::new();
    for (team, entry) in &root.teams {
        check_name(&format!("{ROOT}/teams/{team}"), team, &mut errors);
        if [ROOT, ROUTES, EVACUATIONS].contains(&team.as_str()) {
            errors
                .push(ValidationError::new(format!("{ROOT}/teams/{team}"), "the name is reserved"));
        }
        for service in &entry.services {
            let path = format!("{ROOT}/teams/{team}/services");
            check_name(&path, service, &mut errors);
            if let Some(other) = owners.insert(service, team) {
                errors.push(ValidationError::new(
                    path,
                    format!("service `{service}` is already listed for team `{other}`"),
                ));
            }
        }
        if !entry.token_digest.is_empty() && !entry.token_digest.contains('$') {
            let path = format!("{ROOT}/teams/{team}/token_digest");
            errors.push(ValidationError::new(
                path,
                "not a digest; create one with `pistachiolane token`",
            ));
        }
    }
    for region in root.regions.keys() {
        check_name(&format!("{ROOT}/regions/{region}"), region, &mut errors);
    }
    errors
}

fn check_routes(document: &RoutesDocument) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    let mut unique_keys = BTreeSet::new();
    for (index, route) in document.routes.iter().enumerate() {
        let path = format!("{ROUTES}/routes/{index}");
        check_route(&path, route, &mut errors);
        if !unique_keys.insert((route.host.to_ascii_lowercase(), &route.prefix)) {
            errors.push(ValidationError::new(&path, "another route has the same host and prefix"));
        }
    }
    check_workspaces(&document.workspaces, &mut errors);
    for (service, rate) in &document.warm_up_rates {
        check_rate(&format!("{ROUTES}/warm_up_rates/{service}"), *rate, &mut errors);
    }
    errors
}

/// Checks that each key identifies one workspace, and that upstreams receive the name of each unchanged.
fn check_workspaces(workspaces: &[WorkspaceSettings], errors: &mut Vec<ValidationError>) {
    let mut names = BTreeSet::new();
    let mut holders: BTreeMap<KeyDigest, &Arc<str>> = BTreeMap::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        let path = format!("{ROUTES}/workspaces/{index}");
        let name = &workspace.name;
        if !Workspace::is_valid_name(name) || name.len() > MAX_NAME_BYTES {
            let reason = format!(
                "expected 1 to {MAX_NAME_BYTES} bytes without control characters or outer spaces"
            );
            errors.push(ValidationError::new(format!("{path}/name"), reason));
        }
        if !names.insert(name) {
            let reason = "another workspace has the same name";
            errors.push(ValidationError::new(format!("{path}/name"), reason));
        }
        check_rate(&format!("{path}/requests_per_second"), workspace.requests_per_second, errors);
        check_rate(&format!("{path}/burst"), workspace.burst, errors);
        for (place, text) in workspace.key_digests.iter().enumerate() {
            let path = format!("{path}/key_digests/{place}");
            let Some(digest) = KeyDigest::from_hex(text) else {
                // The text may be a key, so it is not repeated.
                errors.push(ValidationError::new(path, "not a digest in hexadecimal"));
                continue;
            };
            let holder = *holders.entry(digest).or_insert(name);
            if holder != name {
                let reason = format!("workspace `{holder}` has the same key");
                errors.push(ValidationError::new(path, reason));
            }
        }
    }
}

fn check_rate(path: &str, per_second: f64, errors: &mut Vec<ValidationError>) {
    if !per_second.is_finite() || per_second < 0.0 {
        errors.push(ValidationError::new(path, "must be a number of at least 0"));
    }
}

fn check_route(path: &str, route: &RouteSettings, errors: &mut Vec<ValidationError>) {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        errors.push(ValidationError::new(format!("{path}/prefix"), "must begin and end with `/`"));
    }
    if route.host.is_empty() || route.host.contains([':', '/']) {
        errors.push(ValidationError::new(
            format!("{path}/host"),
            "must be a host name without a port",
        ));
    }
    if route.targets.iter().all(|t| t.weight == 0) {
        errors.push(ValidationError::new(
            format!("{path}/targets"),
            "at least one target must have a weight above 0",
        ));
    }
    if route.max_attempts == 0 {
        errors.push(ValidationError::new(format!("{path}/max_attempts"), "must be at least 1"));
    }
    check_timeout(&format!("{path}/timeout_ms"), route.timeout_ms, errors);
}

fn check_team(name: &str, team: &TeamDocument, root: &RootDocument) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    let Some(entry) = root.teams.get(name) else {
        return vec![ValidationError::new(name, format!("team is not declared in `{ROOT}/teams`"))];
    };
    for (service, settings) in &team.services {
        let path = format!("{name}/services/{service}");
        check_name(&path, service, &mut errors);
        if !entry.services.iter().any(|s| s.as_ref() == service) {
            let reason = format!("service is not listed in `{ROOT}/teams/{name}/services`");
            errors.push(ValidationError::new(&path, reason));
        }
        check_service(&path, settings, &mut errors);
    }
    errors
}

fn check_service(path: &str, settings: &ServiceSettings, errors: &mut Vec<ValidationError>) {
    check_timeout(&format!("{path}/timeout_ms"), settings.timeout_ms, errors);
    if settings.retry_percent > 100 {
        let reason = format!("{}, at most 100 are allowed", settings.retry_percent);
        errors.push(ValidationError::new(format!("{path}/retry_percent"), reason));
    }
    for (index, rule) in settings.rules.iter().enumerate() {
        check_rule(&format!("{path}/rules/{index}"), rule, errors);
    }
}

fn check_rule(path: &str, rule: &Rule, errors: &mut Vec<ValidationError>) {
    if !rule.path.starts_with('/') {
        errors.push(ValidationError::new(
            format!("{path}/path"),
            "a path prefix must begin with `/`",
        ));
    }
    let is_method = !rule.method.is_empty() && rule.method.bytes().all(|b| b.is_ascii_uppercase());
    if rule.method != "*" && !is_method {
        errors.push(ValidationError::new(
            format!("{path}/method"),
            "must be an HTTP method in capitals, or `*`",
        ));
    }
    if let Some(timeout_ms) = rule.timeout_ms {
        check_timeout(&format!("{path}/timeout_ms"), timeout_ms, errors);
    }
}

fn check_timeout(path: &str, timeout_ms: u32, errors: &mut Vec<ValidationError>) {
    if timeout_ms == 0 || timeout_ms > MAX_TIMEOUT_MS {
        let reason = format!("{timeout_ms}, expected 1 to {MAX_TIMEOUT_MS} milliseconds");
        errors.push(ValidationError::new(path, reason));
    }
}

fn check_name(path: &str, name: &str, errors: &mut Vec<ValidationError>) {
    let legal = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(legal) {
        let reason = format!(
            "`{name}`: a name must have 1 to {MAX_NAME_BYTES} characters of a-z, 0-9 and -"
        );
        errors.push(ValidationError::new(path, reason));
    }
}
