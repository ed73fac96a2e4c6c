//! Workspaces: callers that share keys, a priority, a limit and allowed regions.

use {
    crate::{routing::AllowedRegions, schema::WorkspaceSettings},
    std::sync::Arc,
};

record! {
    /// Workspace that the key of a request identifies.
    pub struct Workspace {
        /// Name, which upstreams receive.
        pub name: Arc<str>,
        /// Priority in place of the route's, if there is one.
        pub priority: Option<u8>,
        /// Limit over all nodes, if there is one.
        pub limit: Option<WorkspaceLimit>,
        /// Regions whose upstreams may run the requests.
        pub regions: AllowedRegions,
    }

    /// Requests of a workspace that all nodes together admit.
    #[derive(Copy)]
    pub struct WorkspaceLimit {
        /// Requests per second, above 0.
        pub requests_per_second: f64,
        /// Requests beyond the rate that may come at once.
        pub burst: f64,
    }
}

impl Workspace {
    /// Whether upstreams receive a name unchanged in a header, and whether it differs from no name.
    pub fn is_valid_name(name: &str) -> bool {
        !name.is_empty() && name.trim() == name && !name.chars().any(char::is_control)
    }

    /// Compiles a workspace of the settings.
    pub fn new(settings: &WorkspaceSettings) -> Self {
        let limit = WorkspaceLimit {
            requests_per_second: settings.requests_per_second,
            burst: settings.burst.max(0.0),
        };
        Self {
            name: Arc::clone(&settings.name),
            priority: settings.priority,
            limit: (limit.requests_per_second > 0.0).then_some(limit),
            regions: AllowedRegions::from_settings(&settings.regions),
        }
    }
}
