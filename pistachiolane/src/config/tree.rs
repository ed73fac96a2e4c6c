//! The settings in force, ready for the path of a request.

use {
    super::{ROOT, ROUTES, RouteTable, checks::parse},
    crate::schema::{
        RegionSettings, RootDocument, RoutesDocument, Rule, ServiceSettings, Subtree, TeamDocument,
        WorkKind,
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

record! {
    /// How one request is treated.
    #[derive(Copy)]
    pub struct RequestPolicy {
        /// Whether it may run more than once.
        pub kind: WorkKind,
        /// Its time budget.
        pub timeout: Duration,
        /// Its largest body in bytes.
        pub max_body_bytes: u64,
    }
}

/// All subtrees, parsed. Replaced whole when a subtree changes.
#[derive(Clone, Debug, Default)]
pub struct SettingsTree {
    /// The root subtree.
    pub root: RootDocument,
    services: HashMap<Arc<str>, Arc<ServiceSettings>>,
    routes: Option<Arc<RouteTable>>,
    routes_version: u64,
}

impl SettingsTree {
    /// Compiles subtrees. One that does not parse, as from a later release, is left out.
    pub fn new<'a>(subtrees: impl Iterator<Item = &'a Subtree> + Clone) -> Self {
        let root = subtrees
            .clone()
            .find(|s| s.name.as_ref() == ROOT)
            .and_then(|s| parse::<RootDocument>(ROOT, &s.document).ok())
            .unwrap_or_default();
        let routes = subtrees.clone().find(|s| s.name.as_ref() == ROUTES);
        let routes_version = routes.map_or(0, |s| s.version);
        let routes = routes.and_then(|s| parse::<RoutesDocument>(ROUTES, &s.document).ok());
        let routes = routes.map(|d| Arc::new(RouteTable::new(&d)));
        let mut services = HashMap::new();
        for subtree in subtrees {
            let Some(entry) = root.teams.get(subtree.name.as_ref()) else {
                continue;
            };
            let Ok(team) = parse::<TeamDocument>(&subtree.name, &subtree.document) else {
                continue;
            };
            for (name, settings) in team.services {
                if entry.services.iter().any(|s| s.as_ref() == name) {
                    services.insert(Arc::from(name), Arc::new(settings));
                }
            }
        }
        Self { root, services, routes, routes_version }
    }

    /// Settings of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSettings>> {
        self.services.get(name)
    }

    /// Routes by host and path prefix, if the settings have any.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Version of the routes; zero if there are none.
    pub fn routes_version(&self) -> u64 {
        self.routes_version
    }

    /// Number of services declared.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Budgets of a region, defaults where the tree names none.
    pub fn region(&self, name: &str) -> RegionSettings {
        let default = || RegionSettings { probes_per_second: 20, paid_bytes_per_second: 1_048_576 };
        self.root.regions.get(name).cloned().unwrap_or_else(default)
    }
}

impl RequestPolicy {
    /// Treatment of a request by the first rule that matches it.
    ///
    /// Without a rule, only methods that HTTP calls safe are idempotent.
    pub fn for_request(settings: &ServiceSettings, method: &str, path: &str) -> Self {
        let rule = settings.rules.iter().find(|r| matches(r, method, path));
        let safe = matches!(method, "GET" | "HEAD" | "OPTIONS");
        let default = if safe { WorkKind::Idempotent } else { WorkKind::NonIdempotent };
        let timeout_ms = rule.and_then(|r| r.timeout_ms).unwrap_or(settings.timeout_ms);
        Self {
            kind: rule.map_or(default, |r| r.kind),
            timeout: Duration::from_millis(u64::from(timeout_ms)),
            max_body_bytes: rule.and_then(|r| r.max_body_bytes).unwrap_or(settings.max_body_bytes),
        }
    }
}

fn matches(rule: &Rule, method: &str, path: &str) -> bool {
    (rule.method == "*" || rule.method == method) && path.starts_with(&rule.path)
}
