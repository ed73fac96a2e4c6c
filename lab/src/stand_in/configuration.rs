//! Configurations as the platform's operator writes them.

use serde_json::{Value, json};

/// Fields of a route, in the order of a row.
const ROUTE_COLUMNS: [&str; 10] = [
    "name",
    "host",
    "path_prefix",
    "route_type",
    "timeout_s",
    "target_latency_s",
    "priority",
    "service",
    "max_attempts",
    "traffic_split",
];

/// Connections that one upstream of any service accepts.
const MAX_CONNECTIONS: u32 = 260;

/// A route to one service, under a prefix of its own name.
#[derive(Clone, Debug)]
pub struct RouteRow<'a> {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: &'a str,
    /// What may be repeated.
    pub route_type: &'a str,
    /// Longest time of a request in seconds.
    pub timeout_s: f64,
    /// Service.
    pub service: &'a str,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
}

/// A configuration of routes and services, with the limits of callers.
pub fn configuration(version: &str, routes: &[RouteRow<'_>], services: &[&str]) -> Value {
    let row = |r: &RouteRow<'_>| {
        let path = format!("/{}/", r.name);
        json!([
            r.name,
            r.host,
            path,
            r.route_type,
            r.timeout_s,
            0.5,
            1,
            r.service,
            r.max_attempts,
            null
        ])
    };
    let rows: Vec<Value> = routes.iter().map(row).collect();
    let services: Vec<Value> = services.iter().map(|name| json!([name, MAX_CONNECTIONS])).collect();
    json!({
        "version": version,
        "routes": { "columns": ROUTE_COLUMNS, "rows": rows },
        "services": { "columns": ["name", "max_connections"], "rows": services },
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 100_000, "header_timeout_s": 3,
            "idle_timeout_s": 15 },
    })
}
