//! Configuration objects in the format that the platform's operator writes.

use {
    super::platform_upstream::HEALTH_PATH,
    serde_json::{Value, json},
};

/// Columns of the route table, in the order of the values in a row.
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

/// Maximum number of connections to one upstream, the same for every service.
const MAX_CONNECTIONS: u32 = 260;

/// A route to one service, with its own name as the path prefix.
#[derive(Clone, Debug)]
pub struct RouteRow<'a> {
    /// Route name.
    pub name: String,
    /// Value of the host header that the route matches.
    pub host: &'a str,
    /// Route type, which decides whether requests may be retried.
    pub route_type: &'a str,
    /// Request timeout in seconds.
    pub timeout_s: f64,
    /// Target service.
    pub service: &'a str,
    /// Maximum number of attempts for one request, each to another upstream.
    pub max_attempts: u32,
}

/// Builds a configuration with routes, services and caller limits.
pub fn configuration(version: &str, routes: &[RouteRow<'_>], services: &[&str]) -> Value {
    let row = |r: &RouteRow<'_>| {
        let path = format!("/{}/", r.name);
        json!([
            r.name,
            r.host,
            path,
            r.route_type,
            r.timeout_s,
            0.5, // target_latency_s
            1,   // priority
            r.service,
            r.max_attempts,
            null
        ])
    };
    let rows: Vec<Value> = routes.iter().map(row).collect();
    let services: Vec<Value> =
        services.iter().map(|name| json!([name, MAX_CONNECTIONS, HEALTH_PATH])).collect();
    json!({
        "version": version,
        "routes": { "columns": ROUTE_COLUMNS, "rows": rows },
        "services": { "columns": ["name", "max_connections", "health_path"], "rows": services },
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 100_000, "header_timeout_s": 3,
            "idle_timeout_s": 15 },
    })
}
