//! What an adapter gives a node.

use {
    super::{HeaderDialect, NodeHandle},
    crate::{
        schema::Subtree,
        store::{Object, StoreAdapter},
    },
    futures::future::BoxFuture,
    std::{fmt, io, sync::Arc},
};

type Decode = Box<dyn Fn(&Object) -> Result<Subtree, String> + Send + Sync>;
type Services = Box<dyn FnOnce(NodeHandle) -> BoxFuture<'static, io::Result<()>> + Send>;

/// A kind of objects that hold settings.
pub struct Feed {
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
    pub store: StoreAdapter,
    /// Settings of another writer without which a node is not ready, if there are any.
    pub settings: Option<Feed>,
    /// Headers of callers and upstreams.
    pub dialect: HeaderDialect,
    /// Starts what else the node serves, once it runs.
    pub services: Services,
}

impl Integration {
    /// The product's own interface, with a store.
    pub fn own(store: StoreAdapter) -> Self {
        let services: Services = Box::new(|_node| Box::pin(async { Ok(()) }));
        Self { store, settings: None, dialect: HeaderDialect::native(), services }
    }
}

impl fmt::Debug for Feed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Feed").field("kind", &self.kind).finish_non_exhaustive()
    }
}

impl fmt::Debug for Integration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Integration").field("settings", &self.settings).finish_non_exhaustive()
    }
}
