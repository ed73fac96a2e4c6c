//! Reads settings and seeds from the platform, and keeps the region's seeds there up to date.

use {
    super::{control_loop::ControlHandle, shared::Shared},
    crate::{
        config::WriteResult,
        metrics::Metrics,
        platform::{Listing, Object, PlatformError},
        schema::{Health, StoredSubtree, Subtree},
    },
    rand::RngExt,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Kind of the objects that hold settings.
pub const SETTINGS_KIND: &str = "settings";

/// Kind of the objects that name nodes to join, one for each region.
const SEEDS_KIND: &str = "seeds";

/// Seeds that an object names.
const SEEDS_PER_REGION: usize = 5;

/// Time between two looks at the region's seeds by a watcher.
const SEEDS_PERIOD: Duration = Duration::from_secs(10);

/// First pause after a failed call; doubles up to the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// Longest pause after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Time between two looks at whether the node has become a watcher.
const IDLE_PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug, Serialize, Deserialize)]
struct Seeds {
    addresses: Vec<SocketAddr>,
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
        let share: f64 = rand::rng().random_range(0.1..1.0);
        sleep(self.longest.mul_f64(share)).await;
        self.longest = (self.longest * 2).min(MAX_BACKOFF);
    }
}

/// Brings settings from the platform: once at the start, and for as long as the node is a watcher.
pub async fn run_settings(shared: Arc<Shared>, control: ControlHandle) {
    let mut backoff = Backoff::new();
    let mut revision = None;
    loop {
        if revision.is_some() && !shared.watches.load(Ordering::Relaxed) {
            sleep(IDLE_PERIOD).await;
            continue;
        }
        let listing = match revision {
            None => shared.platform.list(SETTINGS_KIND).await,
            Some(since) => shared.platform.watch(SETTINGS_KIND, since).await,
        };
        count(&shared, &listing);
        match listing {
            Ok(listing) => {
                backoff.reset();
                revision = Some(listing.revision);
                take(&shared, &control, listing).await;
            }
            Err(_) => backoff.pause().await,
        }
    }
}

async fn take(shared: &Shared, control: &ControlHandle, listing: Listing) {
    let subtrees = listing.items.iter().filter_map(subtree).collect();
    control.apply(subtrees).await;
    shared.has_settings.store(true, Ordering::Relaxed);
}

/// The subtree in a settings object; `None` if its value is not one.
pub fn subtree(object: &Object) -> Option<Subtree> {
    let stored: StoredSubtree = serde_json::from_value(object.value.clone()).ok()?;
    Some(Subtree {
        name: Arc::clone(&object.name),
        version: object.version,
        change: stored.change,
        document: stored.document,
    })
}

/// Joins by the platform's seeds, then keeps the region's seeds alive while the node is a watcher.
pub async fn run_seeds(shared: Arc<Shared>, control: ControlHandle) {
    let mut backoff = Backoff::new();
    let mut alone = Backoff::new();
    loop {
        let listing = shared.platform.list(SEEDS_KIND).await;
        count(&shared, &listing);
        match listing {
            Err(_) => backoff.pause().await,
            Ok(listing) => {
                backoff.reset();
                let seeds = listing.items.iter().flat_map(addresses).collect();
                control.seeds(seeds).await;
                refresh(&shared, &control, &listing).await;
                if control.members().await.len() <= 1 {
                    // Others may start at this moment, and be named a moment later.
                    alone.pause().await;
                    continue;
                }
                let jitter: f64 = rand::rng().random_range(0.5..1.5);
                sleep(SEEDS_PERIOD.mul_f64(jitter)).await;
                wait_until_watcher(&shared).await;
            }
        }
    }
}

async fn wait_until_watcher(shared: &Shared) {
    while !shared.watches.load(Ordering::Relaxed) {
        sleep(IDLE_PERIOD).await;
    }
}

/// Writes the region's seeds anew if too few of those named are alive.
async fn refresh(shared: &Shared, control: &ControlHandle, listing: &Listing) {
    if !shared.watches.load(Ordering::Relaxed) {
        return;
    }
    let region = &shared.settings.region;
    let mut alive: Vec<SocketAddr> = control
        .members()
        .await
        .into_iter()
        .filter(|m| m.health == Health::Alive && m.region == *region)
        .map(|m| m.control)
        .collect();
    let object = listing.items.iter().find(|o| o.name == *region);
    let named = object.map(addresses).unwrap_or_default();
    let good = named.iter().filter(|a| alive.contains(a)).count();
    let enough = alive.len().min(SEEDS_PER_REGION.div_ceil(2));
    if good >= enough {
        return;
    }
    alive.sort_by_key(|a| !named.contains(a));
    alive.truncate(SEEDS_PER_REGION);
    let version = object.map_or(0, |o| o.version);
    let value = serde_json::json!(Seeds { addresses: alive });
    let written = shared.platform.put(SEEDS_KIND, region, version, &value).await;
    let case = match written {
        WriteResult::Written(_) => "written",
        WriteResult::Conflict => "conflict",
        WriteResult::NotWritten | WriteResult::Lost => "failed",
    };
    Metrics::count(&shared.metrics.platform_calls, case);
}

fn addresses(object: &Object) -> Vec<SocketAddr> {
    serde_json::from_value::<Seeds>(object.value.clone()).map(|s| s.addresses).unwrap_or_default()
}

fn count<T>(shared: &Shared, result: &Result<T, PlatformError>) {
    let case = match result {
        Ok(_) => "read",
        Err(PlatformError::OverBudget) => "over-budget",
        Err(_) => "failed",
    };
    Metrics::count(&shared.metrics.platform_calls, case);
}
