//! What an adapter gives a node.

use {
    super::{Dialect, NodeHandle},
    crate::{
        schema::Subtree,
        store::{Object, StoreCalls},
    },
    futures::future::BoxFuture,
    std::{fmt, io, sync::Arc},
};

type Decode = Box<dyn Fn(&Object) -> Result<Subtree, String> + Send + Sync>;
type StartServices = Box<dyn FnOnce(NodeHandle) -> BoxFuture<'static, io::Result<()>> + Send>;

/// A kind of objects that hold settings.
pub struct SettingsWatch {
    /// Kind.
    pub kind: Arc<str>,
    /// Nodes of a region that watch the kind; the others hear from them.
    pub watchers_per_region: u64,
    /// Whether a change has to be in force within seconds of the store's return.
    pub is_urgent: bool,
    /// Reads the subtree in an object, or says what is wrong with it.
    pub decode: Decode,
}

/// Everything that depends on where the product runs.
pub struct Integration {
    /// Calls of the platform's store.
    pub store: StoreCalls,
    /// Settings of another writer without which a node is not ready, if there are any.
    pub settings: Option<SettingsWatch>,
    /// Headers of callers and upstreams.
    pub dialect: Dialect,
    /// Starts what else the node serves, once it runs.
    pub start_services: StartServices,
}

impl Integration {
    /// The product's own interface, with a store.
    pub fn native(store: StoreCalls) -> Self {
        let start_services: StartServices = Box::new(|_node| Box::pin(async { Ok(()) }));
        Self { store, settings: None, dialect: Dialect::own(), start_services }
    }
}

impl fmt::Debug for SettingsWatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SettingsWatch").field("kind", &self.kind).finish_non_exhaustive()
    }
}

impl fmt::Debug for Integration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Integration").field("settings", &self.settings).finish_non_exhaustive()
    }
}
