//! The store calls that an adapter implements.

use {
    super::{Listing, Object, Position, StoreError},
    crate::config::WriteResult,
    futures::future::BoxFuture,
    serde_json::Value,
    std::{fmt, sync::Arc, time::Duration},
};

value! {
    /// Freshness that a read requires; stale reads are cheaper.
    pub enum Freshness {
        /// The result includes every write acknowledged before the read.
        Current,
        /// The result may be seconds old.
        MayBeStale,
    }
}

record! {
    /// Request to list all objects of a kind.
    pub struct ListRequest {
        /// Kind of the objects.
        pub kind: Arc<str>,
        /// Required freshness of the listing.
        pub freshness: Freshness,
    }

    /// Request to read one object.
    pub struct ReadRequest {
        /// Kind of the objects.
        pub kind: Arc<str>,
        /// Name of the object.
        pub name: Arc<str>,
    }

    /// Request to wait for changes of a kind.
    pub struct WatchRequest {
        /// Kind of the objects.
        pub kind: Arc<str>,
        /// Position after which changes are returned.
        pub since: Position,
        /// Maximum wait.
        pub wait: Duration,
    }

    /// Request for a conditional write.
    pub struct WriteRequest {
        /// Kind of the objects.
        pub kind: Arc<str>,
        /// Name of the object.
        pub name: Arc<str>,
        /// Revision that the object must have; zero if it must not exist.
        pub expected_revision: u64,
        /// New value; `None` deletes the object.
        pub value: Option<Value>,
    }
}

type AdapterFn<A, T> = Box<dyn Fn(A) -> BoxFuture<'static, T> + Send + Sync>;

/// Store calls, as functions that an adapter supplies.
pub struct StoreAdapter {
    /// Lists the objects of a kind.
    pub list: AdapterFn<ListRequest, Result<Listing, StoreError>>,
    /// Waits for changes of a kind; returns an empty listing on timeout.
    pub watch: AdapterFn<WatchRequest, Result<Listing, StoreError>>,
    /// Reads one object of a kind; returns `None` if it does not exist.
    pub read: AdapterFn<ReadRequest, Result<Option<Object>, StoreError>>,
    /// Creates, replaces or deletes an object.
    pub write: AdapterFn<WriteRequest, WriteResult>,
}

impl fmt::Debug for StoreAdapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreAdapter").finish_non_exhaustive()
    }
}
