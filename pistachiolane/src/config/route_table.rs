//! Routes by host and longest path prefix, ready for the path of a request.

use {
    super::RequestPolicy,
    crate::schema::{CallerLimits, RouteSettings, RoutesDocument},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Where the requests of a host and a path prefix go, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: Arc<str>,
    /// Kind of work, time budget and largest body.
    pub policy: RequestPolicy,
    /// Time within which an answer has its full value.
    pub target_latency: Duration,
    /// Rank under overload; 0 is served first.
    pub priority: u8,
    /// Upstreams that one call may be sent to.
    pub max_attempts: u32,
    targets: Vec<Target>,
    total_weight: u64,
}

#[derive(Clone, Debug, PartialEq)]
struct Target {
    service: Arc<str>,
    weight: u64,
}

/// All routes of one version of the settings.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    connections: HashMap<String, u32>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

impl Route {
    fn new(settings: &RouteSettings, limits: &CallerLimits) -> Self {
        let targets: Vec<Target> = settings
            .targets
            .iter()
            .map(|t| Target { service: Arc::clone(&t.service), weight: u64::from(t.weight) })
            .collect();
        Self {
            name: Arc::clone(&settings.name),
            policy: RequestPolicy {
                kind: settings.kind,
                timeout: Duration::from_millis(u64::from(settings.timeout_ms)),
                max_body_bytes: limits.max_body_bytes,
            },
            target_latency: Duration::from_millis(u64::from(settings.target_latency_ms)),
            priority: settings.priority,
            max_attempts: settings.max_attempts.max(1),
            total_weight: targets.iter().map(|t| t.weight).sum(),
            targets,
        }
    }

    /// The service for one request: a target in proportion to its weight, by `draw` from `0.0..1.0`.
    pub fn select_target(&self, draw: f64) -> Option<&Arc<str>> {
        let mut at = (draw * self.total_weight as f64) as u64;
        for target in &self.targets {
            match at.checked_sub(target.weight) {
                None => return Some(&target.service),
                Some(rest) => at = rest,
            }
        }
        // Only rounding up to the total leads here.
        self.targets.iter().rfind(|t| t.weight > 0).map(|t| &t.service)
    }
}

impl RouteTable {
    /// The table of a document.
    pub fn new(document: &RoutesDocument) -> Self {
        let limits = document.limits.clone().unwrap_or_default();
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for settings in &document.routes {
            let host = hosts.entry(settings.host.to_ascii_lowercase()).or_default();
            host.insert(settings.prefix.clone(), Arc::new(Route::new(settings, &limits)));
        }
        let connections = document.connections.iter().map(|(k, v)| (k.clone(), *v)).collect();
        Self { hosts, connections, limits }
    }

    /// The route of a host name, without a port and in lower case, with the longest prefix of a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let slashes = path.char_indices().rev().filter(|(_, c)| *c == '/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }

    /// Connections that an upstream of a service accepts, if that is known.
    pub fn connections(&self, service: &str) -> Option<u32> {
        self.connections.get(service).copied()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
