//! Reads settings from the store, and maintains the member registration there by which other nodes
//! find this one.

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

/// Kind of the objects that contain pistachiolane's native settings.
pub const SETTINGS_KIND: &str = "settings";

/// Kind of the member registrations, one object for each control address of a node.
const MEMBERS_KIND: &str = "members";

/// Maximum delay after the first failed call; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Upper limit of the delay after failed calls for the first nodes of a region: what expired in an
/// outage must be restored within two seconds of its end.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Upper limit of the delay for the other nodes, which receive changes from the first nodes once
/// the store is back.
const MAX_FOLLOWER_BACKOFF: Duration = Duration::from_secs(6);

/// Number of nodes in a region that check often whether a lost store is back, if the settings are
/// urgent.
const FAST_RECONNECT_NODES: u64 = 3;

/// Interval between two checks of whether the node has become a watcher, or of whether the
/// registration of a dead member can be removed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a member must be dead before its registration is removed; a host that restarts
/// takes much less.
const REGISTRATION_REMOVAL_DELAY: Duration = Duration::from_secs(60);

#[derive(Debug, Serialize, Deserialize)]
struct MemberRegistration {
    address: SocketAddr,
}

/// Exponential back-off with jitter, so that the nodes of a fleet don't retry at the same moment.
#[derive(Debug)]
struct Backoff {
    max_delay: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self { max_delay: INITIAL_BACKOFF }
    }

    fn reset(&mut self) {
        self.max_delay = INITIAL_BACKOFF;
    }

    async fn pause(&mut self) {
        self.pause_up_to(MAX_BACKOFF).await;
    }

    async fn pause_up_to(&mut self, limit: Duration) {
        let fraction: f64 = rand::rng().random_range(0.3..1.0);
        sleep(self.max_delay.mul_f64(fraction)).await;
        self.max_delay = (self.max_delay * 2).min(limit);
    }
}

/// Availability of the store; logs each change once.
#[derive(Debug, Default)]
struct Dependency {
    lost: bool,
}

impl Dependency {
    fn record_failure(&mut self, kind: &str, error: &StoreError) {
        if !std::mem::replace(&mut self.lost, true) {
            log::warn!(target: "store", kind, error = error.to_string().as_str(); "store lost");
        }
    }

    fn record_success(&mut self, kind: &str) {
        if std::mem::take(&mut self.lost) {
            log::info!(target: "store", kind; "store regained");
        }
    }
}

/// Returns the watch of pistachiolane's native settings.
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

/// Reads settings from the store once at the start, and watches them while the node is a watcher.
pub async fn watch_settings(shared: Arc<Shared>, control: ControlHandle, watch: SettingsWatch) {
    let mut backoff = Backoff::new();
    let mut dependency = Dependency::default();
    let mut revision = None;
    loop {
        let is_watcher = shared.watch_rank.load(Ordering::Relaxed) < watch.watchers_per_region;
        if revision.is_some() && !is_watcher {
            sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        let listing = match revision {
            None => shared.store.list(&watch.kind, Freshness::Current).await,
            Some(since) => shared.store.watch(&watch.kind, since).await,
        };
        count_read(&shared, &listing);
        match listing {
            Ok(listing) => {
                backoff.reset();
                dependency.record_success(&watch.kind);
                revision = Some(listing.revision);
                apply_listing(&shared, &control, &watch, &listing).await;
            }
            Err(StoreError::RevisionTooOld) => {
                log::info!(
                    target: "store", kind = &*watch.kind;
                    "watch history expired; listing again"
                );
                revision = None;
            }
            Err(e) => {
                dependency.record_failure(&watch.kind, &e);
                let reconnects_fast =
                    shared.watch_rank.load(Ordering::Relaxed) < FAST_RECONNECT_NODES;
                let is_follower = shared.is_ready() && !(reconnects_fast && watch.is_urgent);
                backoff
                    .pause_up_to(if is_follower { MAX_FOLLOWER_BACKOFF } else { MAX_BACKOFF })
                    .await;
            }
        }
    }
}

async fn apply_listing(
    shared: &Shared,
    control: &ControlHandle,
    watch: &SettingsWatch,
    listing: &Listing,
) {
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

/// Returns the subtree in a settings object, or `None` if the value is not a subtree.
pub fn parse_subtree(object: &Object) -> Option<Subtree> {
    let stored: StoredSubtree = serde_json::from_value(object.value.clone()).ok()?;
    Some(Subtree {
        name: Arc::clone(&object.name),
        version: object.revision,
        change: stored.change,
        document: stored.document,
    })
}

/// Registers the node in the store, joins the nodes that are registered there, and then removes the
/// registrations of dead members.
pub async fn maintain_member_registrations(shared: Arc<Shared>, control: ControlHandle) {
    register(&shared).await;
    join(&shared, &control).await;
    let mut dead = HashMap::new();
    loop {
        sleep(IDLE_CHECK_INTERVAL).await;
        if shared.watch_rank.load(Ordering::Relaxed) == 0 {
            remove_dead_registrations(&shared, &control, &mut dead).await;
        }
    }
}

/// Writes the node's registration. It must precede the read of the others: of two nodes that start
/// at the same time, at least one then finds the other.
async fn register(shared: &Shared) {
    let mut backoff = Backoff::new();
    let address = shared.settings.control_advertise;
    let value = serde_json::json!(MemberRegistration { address });
    loop {
        let written = shared.store.put(MEMBERS_KIND, &registration_name(address), 0, &value).await;
        Metrics::count(&shared.metrics.store_calls, write_outcome_label(&written));
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
        count_read(shared, &listing);
        match listing {
            Ok(listing) => {
                dependency.record_success(MEMBERS_KIND);
                control.add_seeds(listing.items.iter().filter_map(parse_address).collect()).await;
                if listing.items.len() > 1 {
                    return;
                }
            }
            Err(e) => dependency.record_failure(MEMBERS_KIND, &e),
        }
        // Other nodes may be starting and register a moment later.
        backoff.pause().await;
        if control.members().await.len() > 1 {
            return;
        }
    }
}

async fn remove_dead_registrations(
    shared: &Shared,
    control: &ControlHandle,
    dead: &mut HashMap<SocketAddr, Tick>,
) {
    let members = control.members().await;
    let is_in_use =
        |a: SocketAddr| members.iter().any(|m| m.control == a && m.health != Health::Dead);
    let is_dead_here =
        |m: &&MemberRecord| m.region == shared.settings.region && m.health == Health::Dead;
    let unused: Vec<SocketAddr> =
        members.iter().filter(is_dead_here).map(|m| m.control).filter(|a| !is_in_use(*a)).collect();
    let now = shared.now();
    dead.retain(|address, _| unused.contains(address));
    for address in unused {
        let dead_since = *dead.entry(address).or_insert(now);
        if now.since(dead_since) < REGISTRATION_REMOVAL_DELAY {
            continue;
        }
        // Restarts the delay, so that the address is checked again only after another period.
        dead.insert(address, now);
        let name = registration_name(address);
        let found = shared.store.get(MEMBERS_KIND, &name).await;
        count_read(shared, &found);
        if let Ok(Some(object)) = found {
            let removed = shared.store.delete(MEMBERS_KIND, &name, object.revision).await;
            Metrics::count(&shared.metrics.store_calls, write_outcome_label(&removed));
            log::info!(
                target: "membership", address = name.as_str();
                "removed the registration of a dead member"
            );
        }
    }
}

fn registration_name(address: SocketAddr) -> String {
    address.to_string().replace([':', '.', '[', ']'], "-")
}

fn parse_address(object: &Object) -> Option<SocketAddr> {
    let registration = MemberRegistration::deserialize(&object.value);
    let registration = registration.inspect_err(|e| {
        log::warn!(target: "membership", object = &*object.name; "registration skipped: {e}");
    });
    Some(registration.ok()?.address)
}

fn write_outcome_label(result: &WriteResult) -> &'static str {
    match result {
        WriteResult::Written(_) => "written",
        WriteResult::Conflict => "conflict",
        WriteResult::NotWritten | WriteResult::Lost => "failed",
    }
}

fn count_read<T>(shared: &Shared, result: &Result<T, StoreError>) {
    let label = match result {
        Ok(_) => "read",
        Err(StoreError::OverBudget) => "over-budget",
        Err(_) => "failed",
    };
    Metrics::count(&shared.metrics.store_calls, label);
}
