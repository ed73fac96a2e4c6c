//! Dependencies of a node that an adapter supplies.

use {
    crate::node::{HeaderDialect, NodeHandle},
    crate::{
        schema::Subtree,
        store::{Object, StoreAdapter},
    },
    futures::future::BoxFuture,
    std::{fmt, io, sync::Arc, time::Duration},
};

type Decode = Box<dyn Fn(&Object) -> Result<Subtree, String> + Send + Sync>;
type StartServices = Box<dyn FnOnce(NodeHandle) -> BoxFuture<'static, io::Result<()>> + Send>;

/// Watch of the store objects of one kind that contain settings.
pub struct SettingsWatch {
    /// Kind of the objects.
    pub kind: Arc<str>,
    /// Number of nodes in a region that watch the kind; the others receive changes from them.
    pub watchers_per_region: u64,
    /// Whether a change must be in force within seconds after the connection to the store is
    /// regained.
    pub is_urgent: bool,
    /// Returns the subtree in an object, or a description of the fault.
    pub decode: Decode,
}

/// Watch of the store objects that name evacuated availability zones: a zone is evacuated while an object of its name
/// exists.
#[derive(Debug)]
pub struct EvacuationsWatch {
    /// Kind of the objects.
    pub kind: Arc<str>,
    /// Number of nodes in a region that watch the kind; the others receive changes from them.
    pub watchers_per_region: u64,
    /// Time after the acknowledgement of an object's creation within which the evacuation must hold.
    pub timeout: Duration,
}

/// The parts of a node that depend on the platform.
pub struct Integration {
    /// Calls to the platform's store.
    pub store: StoreAdapter,
    /// Watch of settings that the platform maintains, if any; the node is not ready until they are
    /// in force.
    pub settings: Option<SettingsWatch>,
    /// Watch of evacuated zones, if the deployment has evacuations.
    pub evacuations: Option<EvacuationsWatch>,
    /// Names of the headers that are exchanged with callers and upstreams.
    pub dialect: HeaderDialect,
    /// Starts the adapter's additional services; called after the tasks of the node are started.
    pub start_services: StartServices,
}

impl Integration {
    /// Creates an integration with pistachiolane's native interface and the given store.
    pub fn native(store: StoreAdapter) -> Self {
        let start_services: StartServices = Box::new(|_node| Box::pin(async { Ok(()) }));
        Self {
            store,
            settings: None,
            evacuations: None,
            dialect: HeaderDialect::native(),
            start_services,
        }
    }
}

impl fmt::Debug for SettingsWatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SettingsWatch").field("kind", &self.kind).finish_non_exhaustive()
    }
}

impl fmt::Debug for Integration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Integration")
            .field("settings", &self.settings)
            .field("evacuations", &self.evacuations)
            .finish_non_exhaustive()
    }
}
