//! Store client that limits its calls to the node's share of the fleet's call budget.

use {
    super::{
        Freshness, ListRequest, Listing, Object, Position, ReadRequest, StoreAdapter, StoreError,
        WatchRequest, WriteRequest,
    },
    crate::{
        config::WriteResult,
        limits::{MILLICALLS_PER_CALL, TokenBucket, platform_share_millicalls},
        tick::{Tick, micros},
    },
    serde_json::Value,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
};

/// Number of calls that one node may make in a burst.
const BURST_CALLS: u64 = 16;

/// Maximum time that a watch waits for a change; the store has the same limit.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Store client of one node.
#[derive(Clone, Debug)]
pub struct Store {
    adapter: Arc<StoreAdapter>,
    budget: Arc<TokenBucket>,
    era: Arc<AtomicU64>,
    started: Instant,
}

impl Store {
    /// Creates a store client that uses an adapter.
    pub fn new(adapter: StoreAdapter) -> Self {
        let budget = Arc::new(TokenBucket::new(
            platform_share_millicalls(1, 1, true),
            BURST_CALLS * MILLICALLS_PER_CALL,
        ));
        Self { adapter: Arc::new(adapter), budget, era: Arc::default(), started: Instant::now() }
    }

    /// Sets this node's share of the budget from the size of the fleet in its membership view.
    pub fn set_budget_share(&self, members: u64, regions: u64, is_watcher: bool) {
        self.budget.set(
            platform_share_millicalls(members, regions, is_watcher),
            BURST_CALLS * MILLICALLS_PER_CALL,
        );
    }

    /// Returns the latest era of the store that a listing or a watch has shown.
    pub fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Reads an object; returns `None` if it does not exist.
    ///
    /// # Errors
    /// Fails if the node's call budget is used up or the call to the store fails.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.take_budget()?;
        (self.adapter.read)(ReadRequest { kind: Arc::from(kind), name: Arc::from(name) }).await
    }

    /// Writes an object if `expected_revision` is its current revision, or if `expected_revision` is zero
    /// and the object does not exist.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        expected_revision: u64,
        value: &Value,
    ) -> WriteResult {
        self.write(kind, name, expected_revision, Some(value.clone())).await
    }

    /// Deletes an object if `expected_revision` is its current revision.
    pub async fn delete(&self, kind: &str, name: &str, expected_revision: u64) -> WriteResult {
        self.write(kind, name, expected_revision, None).await
    }

    /// Lists the objects of a kind.
    ///
    /// # Errors
    /// Fails if the node's call budget is used up or the call to the store fails.
    pub async fn list(&self, kind: &str, freshness: Freshness) -> Result<Listing, StoreError> {
        self.take_budget()?;
        let listing = (self.adapter.list)(ListRequest { kind: Arc::from(kind), freshness }).await?;
        self.era.fetch_max(listing.position.era, Ordering::Relaxed);
        Ok(listing)
    }

    /// Waits for changes of a kind after a position, for [`MAX_WATCH_WAIT`] at most; returns an empty listing on timeout.
    ///
    /// # Errors
    /// Fails if the node's call budget is used up or the call to the store fails.
    pub async fn watch(
        &self,
        kind: &str,
        since: Position,
        wait: Duration,
    ) -> Result<Listing, StoreError> {
        self.take_budget()?;
        let req = WatchRequest { kind: Arc::from(kind), since, wait };
        (self.adapter.watch)(req).await
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        expected_revision: u64,
        value: Option<Value>,
    ) -> WriteResult {
        if self.take_budget().is_err() {
            return WriteResult::NotWritten;
        }
        let (kind, name) = (Arc::from(kind), Arc::from(name));
        (self.adapter.write)(WriteRequest { kind, name, expected_revision, value }).await
    }

    fn take_budget(&self) -> Result<(), StoreError> {
        let now = Tick(micros(self.started.elapsed()));
        if self.budget.try_take(now, MILLICALLS_PER_CALL) {
            Ok(())
        } else {
            Err(StoreError::OverBudget)
        }
    }
}
