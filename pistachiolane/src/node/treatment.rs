//! How one request is treated: by the routes in force, or by the service that its host names.

use {
    super::{entry::host_name, shared::Shared},
    crate::config::{RequestPolicy, Route, SettingsTree},
    hyper::http::request::Parts,
    rand::RngExt,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
};

/// Upstreams that may run a request of a service without routes: the budget of retries bounds it.
const ATTEMPTS_WITHOUT_ROUTE: u32 = 3;

/// Where a request goes and what it may cost.
#[derive(Clone, Debug)]
pub(super) struct Treatment {
    /// Name of the route; the service's without routes.
    pub route: Arc<str>,
    /// Service that is to run it.
    pub service: Arc<str>,
    /// Version of the routes that decided; zero without routes.
    pub version: u64,
    /// Kind of work, time budget and largest body.
    pub limits: RequestPolicy,
    /// Retries and hedges for each hundred requests.
    pub retry_percent: u32,
    /// Whether hedges are allowed.
    pub hedge: bool,
    /// Upstreams that may run it.
    pub max_attempts: u32,
    /// Time within which an answer has its full value.
    pub target_latency: Duration,
    /// Class of requests that take about as long.
    pub class: u32,
    /// Rank under overload; 0 is served first.
    pub priority: u8,
}

impl Treatment {
    /// Treatment of a request; `None` if no route and no service is meant.
    pub fn of(shared: &Shared, head: &Parts) -> Option<Self> {
        let tree = shared.tree.load();
        let host = host_name(head);
        match tree.routes() {
            Some(routes) => {
                let route = routes.find(&host, head.uri.path())?;
                let draw = rand::rng().random_range(0.0..1.0);
                Self::of_route(shared, &tree, route, draw)
            }
            None => Self::of_service(&tree, &host, head),
        }
    }

    fn of_route(shared: &Shared, tree: &SettingsTree, route: &Route, draw: f64) -> Option<Self> {
        Some(Self {
            route: Arc::clone(&route.name),
            service: Arc::clone(route.select_target(draw)?),
            version: tree.routes_version(),
            limits: route.policy,
            retry_percent: shared.tunables.load().retry_percent,
            hedge: true,
            max_attempts: route.max_attempts,
            target_latency: route.target_latency,
            class: class(&route.name),
            priority: route.priority,
        })
    }

    /// The service is the first label of the host.
    fn of_service(tree: &SettingsTree, host: &str, head: &Parts) -> Option<Self> {
        let name = host.split('.').next()?;
        let settings = tree.service(name)?;
        Some(Self {
            route: Arc::from(name),
            service: Arc::from(name),
            version: 0,
            limits: RequestPolicy::for_request(settings, head.method.as_str(), head.uri.path()),
            retry_percent: settings.retry_percent,
            hedge: settings.hedge,
            max_attempts: ATTEMPTS_WITHOUT_ROUTE,
            target_latency: Duration::MAX,
            class: class(name),
            priority: 0,
        })
    }
}

/// Requests of one route are of one class.
fn class(name: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish() as u32
}
