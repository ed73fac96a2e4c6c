//! Reads settings from the store, and keeps the node's own entry there by which others find it.

use {
    super::{control_loop::ControlHandle, integration::SettingsWatch, shared::Shared},
    crate::{
        config::WriteResult,
        limits::WATCHERS_PER_REGION,
        metrics::Metrics,
        schema::{Health, MemberRecord, StoredSubtree, Subtree},
        store::{Freshness, Listing, Object, StoreError},
        tick::Tick,
    },
    rand::RngExt,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Kind of the objects that hold the product's own settings.
pub const SETTINGS_KIND: &str = "settings";

/// Kind of the objects that name the control addresses of nodes, one for each address.
const MEMBERS_KIND: &str = "members";

/// First pause after a failed call; doubles up to the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// Longest pause after failed calls of the first nodes of a region: what lapsed in an outage is to be back two
/// seconds after it.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Longest pause of the others, which hear of the store's return from the first by what they pass on.
const MAX_FOLLOWER_BACKOFF: Duration = Duration::from_secs(6);

/// Nodes of a region that look for the store's return.
const LOOKOUTS: u64 = 3;

/// Time between two looks at whether the node has become a watcher, or a dead member's entry can go.
const IDLE_PERIOD: Duration = Duration::from_secs(1);

/// Time for which a member is dead before its entry is removed; a host that restarts is back long before.
const FORGET_AFTER: Duration = Duration::from_secs(60);

#[derive(Debug, Serialize, Deserialize)]
struct MemberEntry {
    address: SocketAddr,
}

/// Back-off with full jitter, so that a fleet does not return in step.
#[derive(Debug)]
struct Backoff {
    longest: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self { longest: FIRST_BACKOFF }
    }

    fn reset(&mut self) {
        self.longest = FIRST_BACKOFF;
    }

    async fn pause(&mut self) {
        self.pause_up_to(MAX_BACKOFF).await;
    }

    async fn pause_up_to(&mut self, most: Duration) {
        let share: f64 = rand::rng().random_range(0.3..1.0);
        sleep(self.longest.mul_f64(share)).await;
        self.longest = (self.longest * 2).min(most);
    }
}

/// Tells a dependency that was lost from one that answers, and logs each change once.
#[derive(Debug, Default)]
struct Dependency {
    lost: bool,
}

impl Dependency {
    fn failed(&mut self, kind: &str, error: &StoreError) {
        if !std::mem::replace(&mut self.lost, true) {
            log::warn!(target: "store", kind, error = error.to_string().as_str(); "store lost");
        }
    }

    fn answered(&mut self, kind: &str) {
        if std::mem::take(&mut self.lost) {
            log::info!(target: "store", kind; "store regained");
        }
    }
}

/// The product's own settings.
pub fn native_settings_watch() -> SettingsWatch {
    SettingsWatch {
        kind: Arc::from(SETTINGS_KIND),
        watchers_per_region: WATCHERS_PER_REGION,
        is_urgent: false,
        decode: Box::new(|object| {
            parse_subtree(object).ok_or_else(|| "not a settings subtree".to_owned())
        }),
    }
}

/// Brings settings from the store: once at the start, and for as long as the node is a watcher.
pub async fn watch_settings(shared: Arc<Shared>, control: ControlHandle, watch: SettingsWatch) {
    let mut backoff = Backoff::new();
    let mut dependency = Dependency::default();
    let mut revision = None;
    loop {
        let watches = shared.watch_rank.load(Ordering::Relaxed) < watch.watchers_per_region;
        if revision.is_some() && !watches {
            sleep(IDLE_PERIOD).await;
            continue;
        }
        let listing = match revision {
            None => shared.store.list(&watch.kind, Freshness::Current).await,
            Some(since) => shared.store.watch(&watch.kind, since).await,
        };
        count(&shared, &listing);
        match listing {
            Ok(listing) => {
                backoff.reset();
                dependency.answered(&watch.kind);
                revision = Some(listing.revision);
                take(&shared, &control, &watch, &listing).await;
            }
            Err(StoreError::HistoryGone) => {
                log::info!(target: "store", kind = &*watch.kind; "history gone, listing again");
                revision = None;
            }
            Err(e) => {
                dependency.failed(&watch.kind, &e);
                let looks_out = shared.watch_rank.load(Ordering::Relaxed) < LOOKOUTS;
                let waits = shared.is_ready() && !(looks_out && watch.is_urgent);
                backoff.pause_up_to(if waits { MAX_FOLLOWER_BACKOFF } else { MAX_BACKOFF }).await;
            }
        }
    }
}

async fn take(shared: &Shared, control: &ControlHandle, watch: &SettingsWatch, listing: &Listing) {
    let mut subtrees = Vec::new();
    for object in &listing.items {
        match (watch.decode)(object) {
            Ok(subtree) => subtrees.push(subtree),
            Err(why) => log::warn!(
                target: "settings", kind = &*watch.kind, object = &*object.name,
                revision = object.revision, why = why.as_str();
                "object skipped"
            ),
        }
    }
    if !subtrees.is_empty() {
        control.apply(subtrees, "store").await;
    }
    shared.has_settings.store(true, Ordering::Relaxed);
}

/// The subtree in a settings object; `None` if its value is not one.
pub fn parse_subtree(object: &Object) -> Option<Subtree> {
    let stored: StoredSubtree = serde_json::from_value(object.value.clone()).ok()?;
    Some(Subtree {
        name: Arc::clone(&object.name),
        version: object.revision,
        change: stored.change,
        document: stored.document,
    })
}

/// Enters the node into the store, joins those who stand there, and later removes entries of the dead.
pub async fn maintain_member_registrations(shared: Arc<Shared>, control: ControlHandle) {
    register(&shared).await;
    join(&shared, &control).await;
    let mut dead = HashMap::new();
    loop {
        sleep(IDLE_PERIOD).await;
        if shared.watch_rank.load(Ordering::Relaxed) == 0 {
            forget_dead(&shared, &control, &mut dead).await;
        }
    }
}

/// Makes the node's entry before it reads those of others: of two nodes that start at once, one at least sees
/// the other.
async fn register(shared: &Shared) {
    let mut backoff = Backoff::new();
    let address = shared.settings.control_advertise;
    let value = serde_json::json!(MemberEntry { address });
    loop {
        let written = shared.store.put(MEMBERS_KIND, &entry_name(address), 0, &value).await;
        Metrics::count(&shared.metrics.store_calls, write_case(&written));
        match written {
            WriteResult::Written(_) | WriteResult::Conflict => return,
            WriteResult::NotWritten | WriteResult::Lost => backoff.pause().await,
        }
    }
}

async fn join(shared: &Shared, control: &ControlHandle) {
    let mut backoff = Backoff::new();
    let mut dependency = Dependency::default();
    loop {
        let listing = shared.store.list(MEMBERS_KIND, Freshness::Current).await;
        count(shared, &listing);
        match listing {
            Ok(listing) => {
                dependency.answered(MEMBERS_KIND);
                control.add_seeds(listing.items.iter().filter_map(address).collect()).await;
                if listing.items.len() > 1 {
                    return;
                }
            }
            Err(e) => dependency.failed(MEMBERS_KIND, &e),
        }
        // Others may start at this moment, and enter themselves a moment later.
        backoff.pause().await;
        if control.members().await.len() > 1 {
            return;
        }
    }
}

async fn forget_dead(
    shared: &Shared,
    control: &ControlHandle,
    dead: &mut HashMap<SocketAddr, Tick>,
) {
    let members = control.members().await;
    let living = |a: SocketAddr| members.iter().any(|m| m.control == a && m.health != Health::Dead);
    let here = |m: &&MemberRecord| m.region == shared.settings.region && m.health == Health::Dead;
    let gone: Vec<SocketAddr> =
        members.iter().filter(here).map(|m| m.control).filter(|a| !living(*a)).collect();
    let now = shared.now();
    dead.retain(|address, _| gone.contains(address));
    for address in gone {
        let since = *dead.entry(address).or_insert(now);
        if now.since(since) < FORGET_AFTER {
            continue;
        }
        // Another look comes with the next period of silence.
        dead.insert(address, now);
        let name = entry_name(address);
        let found = shared.store.get(MEMBERS_KIND, &name).await;
        count(shared, &found);
        if let Ok(Some(object)) = found {
            let removed = shared.store.delete(MEMBERS_KIND, &name, object.revision).await;
            Metrics::count(&shared.metrics.store_calls, write_case(&removed));
            log::info!(target: "membership", address = name.as_str(); "entry of a dead member removed");
        }
    }
}

fn entry_name(address: SocketAddr) -> String {
    address.to_string().replace([':', '.', '[', ']'], "-")
}

fn address(object: &Object) -> Option<SocketAddr> {
    let entry = MemberEntry::deserialize(&object.value);
    let entry = entry.inspect_err(|e| {
        log::warn!(target: "membership", object = &*object.name; "entry skipped: {e}");
    });
    Some(entry.ok()?.address)
}

fn write_case(result: &WriteResult) -> &'static str {
    match result {
        WriteResult::Written(_) => "written",
        WriteResult::Conflict => "conflict",
        WriteResult::NotWritten | WriteResult::Lost => "failed",
    }
}

fn count<T>(shared: &Shared, result: &Result<T, StoreError>) {
    let case = match result {
        Ok(_) => "read",
        Err(StoreError::OverBudget) => "over-budget",
        Err(_) => "failed",
    };
    Metrics::count(&shared.metrics.store_calls, case);
}
