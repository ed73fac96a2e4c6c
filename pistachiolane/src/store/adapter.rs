//! The calls that an adapter supplies.

use {
    super::{Listing, Object, StoreError},
    crate::config::WriteResult,
    futures::future::BoxFuture,
    serde_json::Value,
    std::{fmt, sync::Arc, time::Duration},
};

value! {
    /// Whether a reading may be some seconds old, which is cheaper.
    pub enum Freshness {
        /// It shows everything acknowledged before.
        Current,
        /// It may be seconds old.
        MayBeStale,
    }
}

record! {
    /// A listing of all objects of a kind.
    pub struct ListRequest {
        /// Kind.
        pub kind: Arc<str>,
        /// Whether it may be old.
        pub freshness: Freshness,
    }

    /// A reading of one object.
    pub struct ReadRequest {
        /// Kind.
        pub kind: Arc<str>,
        /// Name.
        pub name: Arc<str>,
    }

    /// A wait for changes of a kind.
    pub struct WatchRequest {
        /// Kind.
        pub kind: Arc<str>,
        /// Revision after which changes count.
        pub since: u64,
        /// Longest wait.
        pub wait: Duration,
    }

    /// A conditional write.
    pub struct WriteRequest {
        /// Kind.
        pub kind: Arc<str>,
        /// Name.
        pub name: Arc<str>,
        /// Revision that the object must have; zero if there must be none.
        pub expected: u64,
        /// New value; `None` deletes the object.
        pub value: Option<Value>,
    }
}

type AdapterFn<A, T> = Box<dyn Fn(A) -> BoxFuture<'static, T> + Send + Sync>;

/// The calls of a store.
pub struct StoreAdapter {
    /// Lists a kind.
    pub list: AdapterFn<ListRequest, Result<Listing, StoreError>>,
    /// Waits for changes of a kind; an empty listing when none came in time.
    pub watch: AdapterFn<WatchRequest, Result<Listing, StoreError>>,
    /// Reads one object of a kind; `None` if there is none.
    pub read: AdapterFn<ReadRequest, Result<Option<Object>, StoreError>>,
    /// Creates, replaces or deletes an object.
    pub write: AdapterFn<WriteRequest, WriteResult>,
}

impl fmt::Debug for StoreAdapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreAdapter").finish_non_exhaustive()
    }
}
