//! Reads settings from the store, and maintains the member registration there by which other nodes
//! find this one.

use {
    crate::node::{
        control::{control_loop::ControlHandle, registered_size::RegisteredSize},
        integration::SettingsWatch,
        shared::Shared,
    },
    crate::{
        config::{WriteResult, lost_subtrees},
        limits::WATCHERS_PER_REGION,
        metrics::Metrics,
        schema::{Health, MemberRecord, StoredSubtree, Subtree},
        store::{Freshness, Listing, MAX_WATCH_WAIT, Object, Position, StoreError},
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
    tokio::time::{sleep, timeout},
};

/// Kind of the objects that contain pistachiolane's native settings.
pub const SETTINGS_KIND: &str = "settings";

/// Kind of the member registrations, one object for each control address of a node.
const MEMBERS_KIND: &str = "members";

/// Maximum delay after the first failed call; it doubles with each further failure.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Upper limit of the delay after failed calls: state that expired in an outage must be restored
/// within two seconds of its end.
pub const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Upper limit of the delay in a ready node's watch of settings that are not urgent or that the first
/// node of its region retries sooner.
const MAX_RELAXED_BACKOFF: Duration = Duration::from_secs(6);

/// Time after joining for which a node that does not watch the store waits for the settings of its
/// peers before it reads the store.
pub const PEER_SETTINGS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between two checks of whether the node has joined or has received settings.
pub const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of listings without an answer of a registered node after which a node registers itself.
const LISTINGS_BEFORE_REGISTRATION: u32 = 2;

/// Maximum wait for an answer of a registered node after a listing.
const JOIN_WAIT: Duration = Duration::from_millis(900);

/// Maximum wait after a first listing without any registration, as at the first start of a fleet. The
/// nodes that wait least register themselves, and the others find them.
const FIRST_START_WAIT: Duration = Duration::from_millis(2_500);

/// Range of factors that spreads the waits of nodes that start at the same time.
const JOIN_JITTER_FACTORS: std::ops::Range<f64> = 0.1..1.0;

/// Number of nodes in a region that check the registrations.
const REGISTRARS_PER_REGION: u64 = 2;

/// Number of alive members of a region that are registered, so that a node that starts finds one.
const MIN_REGISTERED_PER_REGION: usize = 4;

/// Interval between two checks of whether the node has become a watcher, or of whether the
/// registration of a dead member can be removed.
pub const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a member must be dead before its registration is removed; the restart of a host
/// takes much less.
const REGISTRATION_REMOVAL_DELAY: Duration = Duration::from_secs(60);

#[derive(Debug, Serialize, Deserialize)]
struct MemberRegistration {
    address: SocketAddr,
}

/// Exponential back-off with jitter, so that the nodes of a fleet don't retry at the same moment.
#[derive(Debug)]
pub struct Backoff {
    max_delay: Duration,
}

impl Backoff {
    /// Creates a back-off without failed calls.
    pub fn new() -> Self {
        Self { max_delay: INITIAL_BACKOFF }
    }

    /// Forgets the failed calls.
    pub fn reset(&mut self) {
        self.max_delay = INITIAL_BACKOFF;
    }

    async fn pause(&mut self) {
        self.pause_up_to(MAX_BACKOFF).await;
    }

    /// Waits after a failed call; `limit` bounds the delay after the next ones.
    pub async fn pause_up_to(&mut self, limit: Duration) {
        let fraction: f64 = rand::rng().random_range(0.3..1.0);
        sleep(self.max_delay.mul_f64(fraction)).await;
        self.max_delay = (self.max_delay * 2).min(limit);
    }
}

/// Availability of the store; logs each change once.
#[derive(Debug, Default)]
pub struct Dependency {
    lost: bool,
}

impl Dependency {
    /// Records that a call failed.
    pub fn record_failure(&mut self, kind: &str, error: &StoreError) {
        if !std::mem::replace(&mut self.lost, true) {
            log::warn!(target: "store", kind, error = error.to_string().as_str(); "store lost");
        }
    }

    /// Records that a call succeeded.
    pub fn record_success(&mut self, kind: &str) {
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

/// Watches settings in the store while the node is among the first watchers of its region. Any other
/// node takes them from its peers, and reads the store only if it has none.
pub async fn watch_settings(shared: Arc<Shared>, control: ControlHandle, watch: SettingsWatch) {
    let mut backoff = Backoff::new();
    let mut dependency = Dependency::default();
    let mut position: Option<Position> = None;
    wait_for_peer_settings(&shared, &watch).await;
    loop {
        let is_watcher = shared.is_watcher(watch.watchers_per_region);
        let has_settings = position.is_some() || shared.is_ready();
        let mut is_overdue = false;
        if has_settings && !is_watcher {
            is_overdue = wait_until_overdue(&shared, &watch).await;
            if !is_overdue {
                continue;
            }
        }
        let read = match position {
            Some(since) if !is_overdue => read_changes(&shared, &watch, since).await,
            _ => list(&shared, &watch).await,
        };
        match read {
            Ok((listing, read_at)) => {
                backoff.reset();
                dependency.record_success(&watch.kind);
                let subtrees = decode_listing(&watch, &listing);
                if &*watch.kind == SETTINGS_KIND && position.is_none() {
                    restore_lost_subtrees(&shared, &control, &listing, &subtrees).await;
                }
                position = Some(listing.position);
                if !subtrees.is_empty() {
                    control.apply(subtrees, "store").await;
                }
                shared.has_settings.store(true, Ordering::Relaxed);
                if watch.is_urgent {
                    shared.settings_age.resolve(shared.now());
                    shared.record_read(&shared.configuration_read, read_at);
                }
            }
            Err(StoreError::RevisionTooOld) => {
                log::info!(
                    target: "store", kind = &*watch.kind;
                    "watch history expired; listing again"
                );
                position = None;
            }
            Err(e) => {
                dependency.record_failure(&watch.kind, &e);
                let is_first = shared.watch_rank.load(Ordering::Relaxed) == 0;
                let is_relaxed = shared.is_ready() && !(watch.is_urgent && is_first);
                backoff
                    .pause_up_to(if is_relaxed { MAX_RELAXED_BACKOFF } else { MAX_BACKOFF })
                    .await;
            }
        }
    }
}

/// Waits for an interval, or until a read of the store is requested; returns whether it was.
async fn wait_until_overdue(shared: &Shared, watch: &SettingsWatch) -> bool {
    tokio::select! {
        () = sleep(IDLE_CHECK_INTERVAL) => false,
        () = shared.settings_overdue.notified(), if watch.is_urgent => true,
    }
}

/// Lists the objects; returns them with the time as of which the listing is complete.
async fn list(shared: &Shared, watch: &SettingsWatch) -> Result<(Listing, Tick), StoreError> {
    let requested_at = shared.now();
    let listing = shared.store.list(&watch.kind, Freshness::Current).await;
    count_read(shared, &listing);
    Ok((listing?, requested_at))
}

/// Waits for changes after a position; returns them with the time as of which they are complete. A read that is
/// requested meanwhile is a listing, as the call that waits may never be answered.
async fn read_changes(
    shared: &Shared,
    watch: &SettingsWatch,
    since: Position,
) -> Result<(Listing, Tick), StoreError> {
    let wait = if watch.is_urgent { shared.watch_wait() } else { MAX_WATCH_WAIT };
    let changes = tokio::select! {
        changes = shared.store.watch(&watch.kind, since, wait) => changes,
        () = shared.settings_overdue.notified(), if watch.is_urgent => {
            return list(shared, watch).await;
        }
    };
    count_read(shared, &changes);
    Ok((changes?, shared.now()))
}

/// Waits until the node has joined and, unless it then watches the store, has settings of its peers or
/// [`PEER_SETTINGS_TIMEOUT`] has passed.
async fn wait_for_peer_settings(shared: &Shared, watch: &SettingsWatch) {
    while !shared.has_joined.load(Ordering::Relaxed) {
        sleep(STARTUP_CHECK_INTERVAL).await;
    }
    let deadline = shared.now() + PEER_SETTINGS_TIMEOUT;
    while !shared.is_watcher(watch.watchers_per_region)
        && !shared.is_ready()
        && shared.now() < deadline
    {
        sleep(STARTUP_CHECK_INTERVAL).await;
    }
}

/// Returns the subtrees in the objects of a listing; an object that is not one is logged and skipped.
fn decode_listing(watch: &SettingsWatch, listing: &Listing) -> Vec<Subtree> {
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
    subtrees
}

/// Writes the subtrees in force that the store has lost, as it does when it comes back from an older
/// copy. If another node writes one first, the watch returns it.
async fn restore_lost_subtrees(
    shared: &Shared,
    control: &ControlHandle,
    listing: &Listing,
    stored: &[Subtree],
) {
    let in_force = control.snapshot().await.map(|s| s.subtrees).unwrap_or_default();
    for subtree in lost_subtrees(in_force, stored) {
        let object = listing.items.iter().find(|o| o.name == subtree.name);
        let expected = object.map_or(0, |o| o.revision);
        let value = stored_value(&subtree);
        let written = shared.store.put(SETTINGS_KIND, &subtree.name, expected, &value).await;
        Metrics::count(&shared.metrics.store_calls, write_outcome_label(&written));
        log::warn!(
            target: "store", subtree = &*subtree.name, version = subtree.version,
            era = listing.position.era, result = write_outcome_label(&written);
            "subtree in force was missing in the store, written again"
        );
    }
}

/// Returns the value of the object that holds a subtree.
pub fn stored_value(subtree: &Subtree) -> serde_json::Value {
    serde_json::json!(StoredSubtree {
        change: subtree.change.clone(),
        document: subtree.document.clone(),
        version: subtree.version,
    })
}

/// Returns the subtree in a settings object, or `None` if the value is not a subtree.
pub fn parse_subtree(object: &Object) -> Option<Subtree> {
    let stored: StoredSubtree = serde_json::from_value(object.value.clone()).ok()?;
    let version = if stored.version == 0 { object.revision } else { stored.version };
    Some(Subtree {
        name: Arc::clone(&object.name),
        version,
        change: stored.change,
        document: stored.document,
    })
}

/// Joins the nodes that are registered in the store, and registers this one if that fails. Then, while
/// the node is among the first of its region, keeps some members of the region registered, and removes
/// the registrations of dead ones.
pub async fn maintain_member_registrations(shared: Arc<Shared>, control: ControlHandle) {
    let mut registered_size = join(&shared, &control).await;
    let mut dead_addresses = HashMap::new();
    let mut checked: Option<CheckedRegistrations> = None;
    loop {
        sleep(IDLE_CHECK_INTERVAL).await;
        let Some(snapshot) = control.snapshot().await else {
            return;
        };
        registered_size.check(&shared, &control, &snapshot).await;
        let rank = shared.watch_rank.load(Ordering::Relaxed);
        if rank >= REGISTRARS_PER_REGION {
            checked = None;
            continue;
        }
        let members = snapshot.members;
        let is_sufficient = |c: &CheckedRegistrations| {
            c.era == shared.store.era() && c.count_alive(&members, &shared) > 0
        };
        if !checked.as_ref().is_some_and(is_sufficient) {
            checked = check_registrations(&shared, &control, &members).await;
        }
        if rank == 0 {
            remove_dead_registrations(&shared, &members, &mut dead_addresses).await;
        }
    }
}

/// Registrations as a node last read or wrote them.
#[derive(Debug)]
struct CheckedRegistrations {
    era: u64,
    addresses: Vec<SocketAddr>,
}

impl CheckedRegistrations {
    /// Returns the number of alive members of the node's region that are registered.
    fn count_alive(&self, members: &[MemberRecord], shared: &Shared) -> usize {
        alive_in_region(members, shared).filter(|m| self.addresses.contains(&m.control)).count()
    }
}

fn alive_in_region<'a>(
    members: &'a [MemberRecord],
    shared: &Shared,
) -> impl Iterator<Item = &'a MemberRecord> {
    let region = Arc::clone(&shared.settings.region);
    members.iter().filter(move |m| m.region == region && m.health == Health::Alive)
}

/// Lists all registrations, joins the nodes that stale listings did not show, and registers members of
/// the region while too few alive ones are registered, as after the store came back from an older copy.
async fn check_registrations(
    shared: &Shared,
    control: &ControlHandle,
    members: &[MemberRecord],
) -> Option<CheckedRegistrations> {
    let listing = shared.store.list(MEMBERS_KIND, Freshness::Current).await;
    count_read(shared, &listing);
    let listing = listing.ok()?;
    let addresses: Vec<SocketAddr> = listing.items.iter().filter_map(parse_address).collect();
    control.add_seeds(addresses.clone()).await;
    let mut checked = CheckedRegistrations { era: listing.position.era, addresses };
    let missing = MIN_REGISTERED_PER_REGION.saturating_sub(checked.count_alive(members, shared));
    let unregistered: Vec<SocketAddr> = alive_in_region(members, shared)
        .map(|m| m.control)
        .filter(|address| !checked.addresses.contains(address))
        .take(missing)
        .collect();
    for address in unregistered {
        register(shared, address).await;
        log::info!(
            target: "membership", address = address.to_string().as_str(), era = checked.era;
            "member registered, because too few of the region were"
        );
        checked.addresses.push(address);
    }
    Some(checked)
}

/// Writes the registration of an address.
async fn register(shared: &Shared, address: SocketAddr) {
    let mut backoff = Backoff::new();
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

/// Joins the fleet through registered nodes.
///
/// A node that finds none in [`LISTINGS_BEFORE_REGISTRATION`] listings registers itself. It then reads
/// the current registrations, so that of two nodes that register at the same time at least one finds
/// the other. Returns the size of the fleet as it was registered.
async fn join(shared: &Shared, control: &ControlHandle) -> RegisteredSize {
    let mut registered_size = RegisteredSize::default();
    let mut backoff = Backoff::new();
    let mut dependency = Dependency::default();
    let mut freshness = Freshness::MayBeStale;
    for listings in 1.. {
        registered_size.read_first(shared, control).await;
        let listing = shared.store.list(MEMBERS_KIND, freshness).await;
        count_read(shared, &listing);
        freshness = Freshness::MayBeStale;
        let mut max_wait = JOIN_WAIT;
        match listing {
            Ok(listing) => {
                dependency.record_success(MEMBERS_KIND);
                max_wait = match listings {
                    1 if listing.items.is_empty() => FIRST_START_WAIT,
                    _ if listing.items.is_empty() => Duration::ZERO,
                    _ => JOIN_WAIT,
                };
                control.add_seeds(listing.items.iter().filter_map(parse_address).collect()).await;
            }
            Err(e) => dependency.record_failure(MEMBERS_KIND, &e),
        }
        let wait = max_wait.mul_f64(rand::rng().random_range(JOIN_JITTER_FACTORS));
        if has_members_within(control, wait).await {
            break;
        }
        match listings {
            ..LISTINGS_BEFORE_REGISTRATION => {}
            LISTINGS_BEFORE_REGISTRATION => {
                register(shared, shared.settings.control_advertise).await;
                freshness = Freshness::Current;
            }
            _ => backoff.pause_up_to(MAX_RELAXED_BACKOFF).await,
        }
    }
    registered_size
}

async fn has_members_within(control: &ControlHandle, wait: Duration) -> bool {
    let has_members = async {
        while control.members().await.len() <= 1 {
            sleep(STARTUP_CHECK_INTERVAL).await;
        }
    };
    timeout(wait, has_members).await.is_ok()
}

async fn remove_dead_registrations(
    shared: &Shared,
    members: &[MemberRecord],
    dead_addresses: &mut HashMap<SocketAddr, Tick>,
) {
    let is_in_use =
        |a: SocketAddr| members.iter().any(|m| m.control == a && m.health != Health::Dead);
    let is_dead_in_region =
        |m: &&MemberRecord| m.region == shared.settings.region && m.health == Health::Dead;
    let unused: Vec<SocketAddr> = members
        .iter()
        .filter(is_dead_in_region)
        .map(|m| m.control)
        .filter(|a| !is_in_use(*a))
        .collect();
    let now = shared.now();
    dead_addresses.retain(|address, _| unused.contains(address));
    for address in unused {
        let dead_since = *dead_addresses.entry(address).or_insert(now);
        if now.since(dead_since) < REGISTRATION_REMOVAL_DELAY {
            continue;
        }
        // Restarts the delay, so that the address is checked again only after another period.
        dead_addresses.insert(address, now);
        let name = registration_name(address);
        let found = shared.store.get(MEMBERS_KIND, &name).await;
        count_read(shared, &found);
        if let Ok(Some(object)) = found {
            let removed = shared.store.delete(MEMBERS_KIND, &name, object.revision).await;
            Metrics::count(&shared.metrics.store_calls, write_outcome_label(&removed));
            log::info!(
                target: "membership", address = name.as_str();
                "requested the removal of the registration of a dead member"
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

/// Returns the name of a write's result in logs and metrics.
pub fn write_outcome_label(result: &WriteResult) -> &'static str {
    match result {
        WriteResult::Written(_) => "written",
        WriteResult::Conflict => "conflict",
        WriteResult::NotWritten | WriteResult::Lost => "failed",
    }
}

/// Counts a read of the store by its result.
pub fn count_read<T>(shared: &Shared, result: &Result<T, StoreError>) {
    let label = match result {
        Ok(_) => "read",
        Err(StoreError::OverBudget) => "over-budget",
        Err(_) => "failed",
    };
    Metrics::count(&shared.metrics.store_calls, label);
}
