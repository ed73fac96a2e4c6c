//! Route of one request: from the routes in force, or without routes from the service that its
//! host names.

use {
    crate::{
        config::{RequestPolicy, Route, SettingsTree, Workspace},
        node::{entry::entry_server::host_name, shared::Shared},
        routing::AllowedRegions,
    },
    hyper::http::request::Parts,
    rand::RngExt,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
};

/// Most upstreams that may run a request of a service without routes; the retry budget limits it
/// further.
const MAX_ATTEMPTS_WITHOUT_ROUTE: u32 = 3;

/// Route of one request: the service that runs it, and the limits on its time, size and attempts.
#[derive(Clone, Debug)]
pub(in crate::node) struct ResolvedRoute {
    /// Name of the route; without routes, the name of the service.
    pub name: Arc<str>,
    /// Service that runs the request.
    pub service: Arc<str>,
    /// Version of the routes that were used; 0 without routes.
    pub version: u64,
    /// Kind of work, time budget and largest body size.
    pub policy: RequestPolicy,
    /// Retries and hedges allowed per hundred requests.
    pub retry_percent: u32,
    /// Whether hedges are allowed.
    pub hedge: bool,
    /// Most upstreams that may run the request.
    pub max_attempts: u32,
    /// Target latency; a later response is of less value to the caller.
    pub target_latency: Duration,
    /// Class of requests with similar service times.
    pub class: u32,
    /// Priority under overload; 0 is served first.
    pub priority: u8,
    /// Regions whose upstreams may run the request.
    pub regions: AllowedRegions,
    /// Workspace of the caller, if there is one.
    pub workspace: Option<Arc<Workspace>>,
}

impl ResolvedRoute {
    /// Returns the route for a request; `None` if no route or service matches.
    pub fn for_request(shared: &Shared, head: &Parts) -> Option<Self> {
        let tree = shared.settings_tree.load();
        let host = host_name(head);
        match tree.routes() {
            Some(routes) => {
                let route = routes.find(&host, head.uri.path())?;
                let draw = rand::rng().random_range(0.0..1.0);
                Self::for_route(shared, &tree, route, draw)
            }
            None => Self::for_service(&tree, &host, head),
        }
    }

    fn for_route(shared: &Shared, tree: &SettingsTree, route: &Route, draw: f64) -> Option<Self> {
        let workspace: Option<Arc<Workspace>> = None;
        Some(Self {
            name: Arc::clone(&route.name),
            service: Arc::clone(route.select_target(draw)?),
            version: tree.routes_version(),
            policy: route.policy,
            retry_percent: shared.tunables.load().retry_percent,
            hedge: true,
            max_attempts: route.max_attempts,
            target_latency: route.target_latency,
            class: request_class(&route.name),
            priority: route.priority,
            regions: route.regions_for(workspace.as_deref()),
            workspace,
        })
    }

    /// Uses the first label of the host as the name of the service.
    fn for_service(tree: &SettingsTree, host: &str, head: &Parts) -> Option<Self> {
        let name = host.split('.').next()?;
        let settings = tree.service(name)?;
        Some(Self {
            name: Arc::from(name),
            service: Arc::from(name),
            version: 0,
            policy: RequestPolicy::for_request(settings, head.method.as_str(), head.uri.path()),
            retry_percent: settings.retry_percent,
            hedge: settings.hedge,
            max_attempts: MAX_ATTEMPTS_WITHOUT_ROUTE,
            target_latency: Duration::MAX,
            class: request_class(name),
            priority: 0,
            regions: AllowedRegions::All,
            workspace: None,
        })
    }
}

/// Returns the class of all requests of one route, or of one service without routes.
fn request_class(name: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish() as u32
}
