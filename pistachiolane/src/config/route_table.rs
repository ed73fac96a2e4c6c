//! Routes by host and longest path prefix, compiled for lookup while a request is handled.

use {
    super::{KeyDigest, RequestPolicy, Workspace},
    crate::{
        limits::shared::LimitRule,
        routing::AllowedRegions,
        schema::{CallerLimits, RouteSettings, RoutesDocument},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Targets and policy of the requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, for logs and metrics.
    pub name: Arc<str>,
    /// Kind of work, time budget and maximum body size.
    pub policy: RequestPolicy,
    /// Response time above which a response counts as late.
    pub target_latency: Duration,
    /// Priority under overload; 0 is served first.
    pub priority: u8,
    /// Maximum number of upstreams that one call may be sent to.
    pub max_attempts: u32,
    /// Regions whose upstreams may run the requests.
    pub regions: AllowedRegions,
    /// Whether requests need no key.
    pub is_key_exempt: bool,
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
    load_paths: HashMap<String, Arc<str>>,
    warm_up_rates: HashMap<String, f64>,
    workspaces: WorkspacesByKey,
    /// Names of two workspaces for each key that is held by more than one, and so identifies none.
    pub shared_keys: Vec<[Arc<str>; 2]>,
    /// Whether requests need the key of a workspace, unless their route is exempt.
    pub keys_required: bool,
    /// Limits of workspaces, which hold over all nodes.
    pub shared_limits: Vec<LimitRule>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

type WorkspacesByKey = HashMap<KeyDigest, Arc<Workspace>>;

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
            regions: AllowedRegions::from_settings(&settings.regions),
            is_key_exempt: settings.key_exempt,
            total_weight: targets.iter().map(|t| t.weight).sum(),
            targets,
        }
    }

    /// Returns the regions that both the route and the caller's workspace, if there is one, allow.
    pub fn regions_for(&self, workspace: Option<&Workspace>) -> AllowedRegions {
        workspace.map_or_else(|| self.regions.clone(), |w| self.regions.intersection(&w.regions))
    }

    /// Returns the service of a target chosen by weight; `draw` is a uniform random number in
    /// `0.0..1.0`.
    pub fn select_target(&self, draw: f64) -> Option<&Arc<str>> {
        let mut offset = (draw * self.total_weight as f64) as u64;
        for target in &self.targets {
            match offset.checked_sub(target.weight) {
                None => return Some(&target.service),
                Some(rest) => offset = rest,
            }
        }
        // Reached only if rounding makes the offset equal to the total weight.
        self.targets.iter().rfind(|t| t.weight > 0).map(|t| &t.service)
    }
}

impl RouteTable {
    /// Compiles the table of a document.
    pub fn new(document: &RoutesDocument) -> Self {
        let limits = document.limits.clone().unwrap_or_default();
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for settings in &document.routes {
            let host = hosts.entry(settings.host.to_ascii_lowercase()).or_default();
            host.insert(settings.prefix.clone(), Arc::new(Route::new(settings, &limits)));
        }
        let connections = document.connections.iter().map(|(k, v)| (k.clone(), *v)).collect();
        let load_paths =
            document.load_paths.iter().map(|(k, v)| (k.clone(), Arc::from(v.as_str()))).collect();
        let (workspaces, shared_keys) = index_workspaces(document);
        Self {
            hosts,
            connections,
            load_paths,
            warm_up_rates: document.warm_up_rates.iter().map(|(k, v)| (k.clone(), *v)).collect(),
            workspaces,
            shared_keys,
            keys_required: document.keys_required,
            shared_limits: shared_limits(document),
            limits,
        }
    }

    /// Returns the route with the longest matching path prefix of a host.
    ///
    /// `host` must be in lower case and without a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let slashes = path.char_indices().rev().filter(|(_, c)| *c == '/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns the number of connections that an upstream of a service accepts, if known.
    pub fn connections(&self, service: &str) -> Option<u32> {
        self.connections.get(service).copied()
    }

    /// Returns the path on which an upstream of a service shows its load, if known.
    pub fn load_path(&self, service: &str) -> Option<&Arc<str>> {
        self.load_paths.get(service)
    }

    /// Returns the requests per second that a cold upstream of a service tolerates, if there is a limit.
    pub fn warm_up_rate(&self, service: &str) -> Option<f64> {
        self.warm_up_rates.get(service).copied()
    }

    /// Returns the workspace that a key identifies.
    pub fn workspace(&self, digest: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.workspaces.get(digest)
    }

    /// Returns the number of keys that identify a workspace.
    pub fn key_count(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Returns the limits of the workspaces that have one.
fn shared_limits(document: &RoutesDocument) -> Vec<LimitRule> {
    let rule =
        |workspace: Workspace| Some(LimitRule { limit: workspace.limit?, name: workspace.name });
    document.workspaces.iter().map(Workspace::new).filter_map(rule).collect()
}

/// Returns the workspace of each key by its digest, and the workspaces that share a key, which identifies neither.
///
/// A workspace whose name upstreams can't receive unchanged is skipped, because its requests would run under another
/// name or none.
fn index_workspaces(document: &RoutesDocument) -> (WorkspacesByKey, Vec<[Arc<str>; 2]>) {
    let mut workspaces: HashMap<KeyDigest, Option<Arc<Workspace>>> = HashMap::new();
    let mut shared_keys = Vec::new();
    for settings in document.workspaces.iter().filter(|w| Workspace::is_valid_name(&w.name)) {
        let workspace = Arc::new(Workspace::new(settings));
        for digest in settings.key_digests.iter().filter_map(|text| KeyDigest::from_hex(text)) {
            let entry = workspaces.entry(digest).or_insert_with(|| Some(Arc::clone(&workspace)));
            if let Some(other) = entry.take_if(|other| other.name != workspace.name) {
                shared_keys.push([Arc::clone(&other.name), Arc::clone(&workspace.name)]);
            }
        }
    }
    let by_digest = workspaces.into_iter().filter_map(|(digest, w)| Some((digest, w?))).collect();
    (by_digest, shared_keys)
}
