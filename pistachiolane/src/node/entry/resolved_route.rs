//! Route of one request: from the routes in force, or without routes from the service that its
//! host names.

use {
    crate::{
        config::{RequestPolicy, Route, SettingsTree, Workspace},
        node::{
            entry::{
                authentication::{KeyFault, authenticate},
                entry_server::host_name,
            },
            shared::Shared,
        },
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
    /// Whether callers send keys, which are not passed on.
    pub keys_required: bool,
}

/// Reason why a request has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::node) enum RouteFault {
    /// No route or service matches.
    NotFound,
    /// There are routes, but this build can't parse them.
    Unusable,
    /// The route needs a key, and the request has none that is known.
    Unauthorized(KeyFault),
}

impl ResolvedRoute {
    /// Returns the route for a request. The route, the workspace and the version are those of one version of the
    /// settings.
    ///
    /// # Errors
    /// Fails if no route or service matches, or if the caller is not authenticated. Without a route nothing is known
    /// about keys, so that a missing route comes first.
    pub fn for_request(shared: &Shared, head: &Parts) -> Result<Self, RouteFault> {
        let tree = shared.settings_tree.load();
        let host = host_name(head);
        match tree.routes() {
            Some(routes) => {
                let route = routes.find(&host, head.uri.path()).ok_or(RouteFault::NotFound)?;
                let workspace =
                    authenticate(routes, route, &head.headers).map_err(RouteFault::Unauthorized)?;
                let draw = rand::rng().random_range(0.0..1.0);
                Self::for_route(shared, &tree, route, workspace, draw).ok_or(RouteFault::NotFound)
            }
            // The routes may require keys, so nothing is served without them.
            None if tree.routes_version() > 0 => Err(RouteFault::Unusable),
            None => Self::for_service(&tree, &host, head).ok_or(RouteFault::NotFound),
        }
    }

    /// Returns the name of the caller's workspace; empty if there is none.
    pub fn workspace_name(&self) -> Arc<str> {
        self.workspace.as_ref().map_or_else(|| Arc::from(""), |w| Arc::clone(&w.name))
    }

    /// Uses a route of the settings, with the priority and the regions of the caller's workspace.
    fn for_route(
        shared: &Shared,
        tree: &SettingsTree,
        route: &Route,
        workspace: Option<Arc<Workspace>>,
        draw: f64,
    ) -> Option<Self> {
        let priority = workspace.as_ref().and_then(|w| w.priority);
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
            priority: priority.unwrap_or(route.priority),
            regions: route.regions_for(workspace.as_deref()),
            workspace,
            keys_required: tree.routes().is_some_and(|routes| routes.keys_required),
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
            keys_required: false,
        })
    }
}

/// Returns the class of all requests of one route, or of one service without routes.
fn request_class(name: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish() as u32
}
