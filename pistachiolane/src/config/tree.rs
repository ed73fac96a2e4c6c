//! The settings in force, compiled for lookup while a request is handled.

use {
    super::{EVACUATIONS, ROOT, ROUTES, RouteTable, checks::parse},
    crate::{
        routing::EvacuatedZones,
        schema::{
            EvacuationsDocument, RegionSettings, RootDocument, RoutesDocument, Rule,
            ServiceSettings, Subtree, TeamDocument, WorkKind,
        },
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

record! {
    /// Policy for one request.
    #[derive(Copy)]
    pub struct RequestPolicy {
        /// Whether the request may run more than once.
        pub kind: WorkKind,
        /// Time budget of the request.
        pub timeout: Duration,
        /// Maximum size of the request body in bytes.
        pub max_body_bytes: u64,
    }
}

/// All subtrees, parsed. The whole tree is replaced when a subtree changes.
#[derive(Clone, Debug, Default)]
pub struct SettingsTree {
    /// The root subtree.
    pub root: RootDocument,
    services: HashMap<Arc<str>, Arc<ServiceSettings>>,
    routes: Option<Arc<RouteTable>>,
    routes_version: u64,
    evacuations: Option<EvacuatedZones>,
}

impl SettingsTree {
    /// Compiles subtrees. A subtree that can't be parsed, such as one of a later release, is
    /// skipped as a whole: routes that can't be parsed leave the node without routes rather than
    /// with a part of them.
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
        let evacuations = subtrees.clone().find(|s| s.name.as_ref() == EVACUATIONS).and_then(|s| {
            let document = parse::<EvacuationsDocument>(EVACUATIONS, &s.document).ok()?;
            Some(EvacuatedZones { version: s.version, zones: document.zones })
        });
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
        Self { root, services, routes, routes_version, evacuations }
    }

    /// Returns the settings of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSettings>> {
        self.services.get(name)
    }

    /// Returns the routes by host and path prefix, unless their subtree is missing or can't be
    /// parsed.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Returns the version of the subtree of routes, or zero if there is no such subtree.
    pub fn routes_version(&self) -> u64 {
        self.routes_version
    }

    /// Returns the evacuated zones, unless their subtree is missing or can't be parsed.
    pub fn evacuations(&self) -> Option<&EvacuatedZones> {
        self.evacuations.as_ref()
    }

    /// Returns the number of services with settings.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Returns the budgets of a region, or the defaults if the region has no settings.
    pub fn region(&self, name: &str) -> RegionSettings {
        let default = || RegionSettings { probes_per_second: 20, paid_bytes_per_second: 1_048_576 };
        self.root.regions.get(name).cloned().unwrap_or_else(default)
    }
}

impl RequestPolicy {
    /// Returns the policy of the first rule that matches a request.
    ///
    /// Without a matching rule, only the safe methods GET, HEAD and OPTIONS are idempotent.
    pub fn for_request(settings: &ServiceSettings, method: &str, path: &str) -> Self {
        let rule = settings.rules.iter().find(|r| matches(r, method, path));
        let is_safe = matches!(method, "GET" | "HEAD" | "OPTIONS");
        let default = if is_safe { WorkKind::Idempotent } else { WorkKind::NonIdempotent };
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
