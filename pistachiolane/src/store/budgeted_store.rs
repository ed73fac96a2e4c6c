//! The store with the node's share of the fleet's budget of calls.

use {
    super::{
        Freshness, ListRequest, Listing, Object, ReadRequest, StoreCalls, StoreError, WatchRequest,
        WriteRequest,
    },
    crate::{
        config::WriteResult,
        limits::{MILLICALLS_PER_CALL, TokenBucket, platform_share_millicalls},
        tick::{Tick, micros},
    },
    serde_json::Value,
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Calls that one node may make at once.
const BURST_CALLS: u64 = 16;

/// Longest time that a watch waits for a change; the store's own bound.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// The store as one node uses it.
#[derive(Clone, Debug)]
pub struct Store {
    calls: Arc<StoreCalls>,
    budget: Arc<TokenBucket>,
    started: Instant,
}

impl Store {
    /// A store behind an adapter's calls.
    pub fn new(calls: StoreCalls) -> Self {
        let budget = Arc::new(TokenBucket::new(
            platform_share_millicalls(1, 1, true),
            BURST_CALLS * MILLICALLS_PER_CALL,
        ));
        Self { calls: Arc::new(calls), budget, started: Instant::now() }
    }

    /// Sets this node's share of the budget by the fleet that it knows.
    pub fn share_budget(&self, members: u64, regions: u64, is_watcher: bool) {
        self.budget.set(
            platform_share_millicalls(members, regions, is_watcher),
            BURST_CALLS * MILLICALLS_PER_CALL,
        );
    }

    /// Reads an object; `None` if there is none.
    ///
    /// # Errors
    /// Fails when the store cannot be asked.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.take()?;
        (self.calls.read)(ReadRequest { kind: Arc::from(kind), name: Arc::from(name) }).await
    }

    /// Writes an object on condition that `expected` is its present revision, zero if there is none.
    pub async fn put(&self, kind: &str, name: &str, expected: u64, value: &Value) -> WriteResult {
        self.write(kind, name, expected, Some(value.clone())).await
    }

    /// Deletes an object on condition that `expected` is its present revision.
    pub async fn delete(&self, kind: &str, name: &str, expected: u64) -> WriteResult {
        self.write(kind, name, expected, None).await
    }

    /// Lists the objects of a kind.
    ///
    /// # Errors
    /// Fails when the store cannot be asked.
    pub async fn list(&self, kind: &str, freshness: Freshness) -> Result<Listing, StoreError> {
        self.take()?;
        (self.calls.list)(ListRequest { kind: Arc::from(kind), freshness }).await
    }

    /// Waits for changes of a kind after a revision; empty when none came in time.
    ///
    /// # Errors
    /// Fails when the store cannot be asked.
    pub async fn watch(&self, kind: &str, since: u64) -> Result<Listing, StoreError> {
        self.take()?;
        (self.calls.watch)(WatchRequest { kind: Arc::from(kind), since, wait: WATCH_WAIT }).await
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        expected: u64,
        value: Option<Value>,
    ) -> WriteResult {
        if self.take().is_err() {
            return WriteResult::NotWritten;
        }
        let (kind, name) = (Arc::from(kind), Arc::from(name));
        (self.calls.write)(WriteRequest { kind, name, expected, value }).await
    }

    fn take(&self) -> Result<(), StoreError> {
        let now = Tick(micros(self.started.elapsed()));
        if self.budget.try_take(now, MILLICALLS_PER_CALL) {
            Ok(())
        } else {
            Err(StoreError::OverBudget)
        }
    }
}
