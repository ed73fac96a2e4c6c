//! The store with the node's share of the fleet's budget of calls.

use {
    super::{
        Freshness, ListRequest, Listing, Object, ReadRequest, StoreAdapter, StoreError,
        WatchRequest, WriteRequest,
    },
    crate::{
        config::WriteResult,
        limits::{MILLI, TokenBucket, platform_share},
        tick::{Tick, micros},
    },
    serde_json::Value,
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Calls that one node may make at once.
const BURST_CALLS: u64 = 16;

/// Longest time that a watch waits for a change; the store's own bound.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// The store as one node uses it.
#[derive(Clone, Debug)]
pub struct Store {
    adapter: Arc<StoreAdapter>,
    budget: Arc<TokenBucket>,
    started: Instant,
}

impl Store {
    /// A store behind an adapter's calls.
    pub fn new(adapter: StoreAdapter) -> Self {
        let budget = Arc::new(TokenBucket::new(platform_share(1, 1, true), BURST_CALLS * MILLI));
        Self { adapter: Arc::new(adapter), budget, started: Instant::now() }
    }

    /// Sets this node's share of the budget by the fleet that it knows.
    pub fn set_budget_share(&self, members: u64, regions: u64, is_watcher: bool) {
        self.budget.set(platform_share(members, regions, is_watcher), BURST_CALLS * MILLI);
    }

    /// Reads an object; `None` if there is none.
    ///
    /// # Errors
    /// Fails when the store cannot be asked.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.take_budget()?;
        (self.adapter.read)(ReadRequest { kind: Arc::from(kind), name: Arc::from(name) }).await
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
        self.take_budget()?;
        (self.adapter.list)(ListRequest { kind: Arc::from(kind), freshness }).await
    }

    /// Waits for changes of a kind after a revision; empty when none came in time.
    ///
    /// # Errors
    /// Fails when the store cannot be asked.
    pub async fn watch(&self, kind: &str, since: u64) -> Result<Listing, StoreError> {
        self.take_budget()?;
        (self.adapter.watch)(WatchRequest { kind: Arc::from(kind), since, wait: MAX_WATCH_WAIT })
            .await
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        expected: u64,
        value: Option<Value>,
    ) -> WriteResult {
        if self.take_budget().is_err() {
            return WriteResult::NotWritten;
        }
        let (kind, name) = (Arc::from(kind), Arc::from(name));
        (self.adapter.write)(WriteRequest { kind, name, expected, value }).await
    }

    fn take_budget(&self) -> Result<(), StoreError> {
        let now = Tick(micros(self.started.elapsed()));
        if self.budget.try_take(now, MILLI) { Ok(()) } else { Err(StoreError::OverBudget) }
    }
}
