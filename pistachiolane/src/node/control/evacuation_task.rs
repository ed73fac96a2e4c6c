//! Watches the store for evacuated availability zones and publishes them to the other nodes as a settings subtree.

use {
    crate::node::{
        control::{
            control_loop::ControlHandle,
            store_task::{
                Backoff, Dependency, IDLE_CHECK_INTERVAL, INITIAL_BACKOFF, MAX_BACKOFF,
                PEER_SETTINGS_TIMEOUT, STARTUP_CHECK_INTERVAL, count_read,
            },
        },
        integration::EvacuationsWatch,
        shared::Shared,
    },
    crate::{
        config::{EVACUATIONS, WatchedEvacuations},
        store::{Freshness, Listing, Position, StoreError},
        tick::Tick,
    },
    std::sync::{Arc, atomic::Ordering},
    tokio::time::sleep,
};

/// Part of the time in which an evacuation must hold that may pass between two calls to a store that fails, so that
/// the zones reach all nodes in the rest.
const BACKOFF_DIVISOR: u32 = 4;

/// State of the watch.
#[derive(Debug)]
struct EvacuationTask {
    shared: Arc<Shared>,
    control: ControlHandle,
    watch: EvacuationsWatch,
    watched: WatchedEvacuations,
}

/// Watches the evacuated zones in the store while the node is among the first watchers of its region. Any other node
/// takes them from its peers, and reads the store only if it has none or if its peers don't supply them.
pub async fn watch_evacuations(
    shared: Arc<Shared>,
    control: ControlHandle,
    watch: EvacuationsWatch,
) {
    let max_backoff = (watch.timeout / BACKOFF_DIVISOR).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
    let mut backoff = Backoff::new();
    let mut dependency = Dependency::default();
    let kind = Arc::clone(&watch.kind);
    let mut task =
        EvacuationTask { shared, control, watch, watched: WatchedEvacuations::default() };
    task.wait_for_peers().await;
    loop {
        let mut must_list = false;
        if task.is_known() && !task.is_watcher() {
            must_list = task.wait_until_overdue().await;
            if !must_list {
                continue;
            }
        }
        let requested_at = task.shared.now();
        let read = match task.watched.position() {
            Some(since) if !must_list => task.read_changes(since).await,
            _ => task.list().await,
        };
        match read {
            Ok(read_at) => {
                backoff.reset();
                dependency.record_success(&kind);
                task.publish().await;
                task.shared.confirm_evacuations(requested_at);
                task.shared.record_read(&task.shared.evacuations_read, read_at);
            }
            Err(StoreError::RevisionTooOld) => task.watched.discard_position(),
            Err(e) => {
                dependency.record_failure(&kind, &e);
                backoff.pause_up_to(max_backoff).await;
            }
        }
    }
}

impl EvacuationTask {
    fn is_watcher(&self) -> bool {
        self.shared.is_watcher(self.watch.watchers_per_region)
    }

    fn is_known(&self) -> bool {
        self.shared.settings_tree.load().evacuations().is_some()
    }

    /// Waits until the node has joined and, unless it then watches the store, knows the zones from its peers or
    /// [`PEER_SETTINGS_TIMEOUT`] has passed.
    async fn wait_for_peers(&self) {
        while !self.shared.has_joined.load(Ordering::Relaxed) {
            sleep(STARTUP_CHECK_INTERVAL).await;
        }
        let deadline = self.shared.now() + PEER_SETTINGS_TIMEOUT;
        while !self.is_watcher() && !self.is_known() && self.shared.now() < deadline {
            sleep(STARTUP_CHECK_INTERVAL).await;
        }
    }

    /// Waits for an interval, or until a read of the store is requested; returns whether it was.
    async fn wait_until_overdue(&self) -> bool {
        tokio::select! {
            () = sleep(IDLE_CHECK_INTERVAL) => false,
            () = self.shared.evacuations_overdue.notified() => true,
        }
    }

    /// Lists the zones; returns the time as of which the listing is complete.
    async fn list(&mut self) -> Result<Tick, StoreError> {
        let requested_at = self.shared.now();
        let listing = self.shared.store.list(&self.watch.kind, Freshness::Current).await;
        count_read(&self.shared, &listing);
        self.watched.replace(&listing?);
        Ok(requested_at)
    }

    /// Waits for changes after a position. When another version comes into force meanwhile, it is compared with what
    /// the store has shown here: a watcher that is behind may have published it. Returns the time as of which the
    /// changes are complete.
    async fn read_changes(&mut self, since: Position) -> Result<Tick, StoreError> {
        let Some(changes) = self.wait_for_changes(since).await else {
            return self.list().await;
        };
        count_read(&self.shared, &changes);
        self.watched.update(&changes?);
        Ok(self.shared.now())
    }

    /// Returns the changes, or `None` if a listing is requested before they arrive.
    async fn wait_for_changes(&self, since: Position) -> Option<Result<Listing, StoreError>> {
        let mut in_force = self.shared.evacuations_in_force.subscribe();
        let changes = self.shared.store.watch(&self.watch.kind, since, self.shared.watch_wait());
        tokio::pin!(changes);
        loop {
            tokio::select! {
                changes = &mut changes => return Some(changes),
                Ok(()) = in_force.changed() => self.publish().await,
                () = self.shared.evacuations_overdue.notified() => return None,
            }
        }
    }

    /// Puts the watched zones in force, unless those in force are the same or more recent.
    async fn publish(&self) {
        let in_force = self.control.subtrees(vec![Arc::from(EVACUATIONS)]).await;
        if let Some(subtree) = self.watched.publication(in_force.first()) {
            self.control.apply(vec![subtree], "store").await;
        }
    }
}
