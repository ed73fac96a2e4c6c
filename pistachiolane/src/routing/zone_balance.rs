//! Shares of one service's requests that leave the entry's zone, shared between the threads that serve requests.

use {
    super::{AllowedRegions, BalanceTerms, PickRequest, ServiceTable, ZoneLoad, ZoneShares},
    crate::tick::{Tick, micros},
    arc_swap::ArcSwap,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Minimum time between two computations of a service's shares, which visit all its candidates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of different sets of allowed regions with shares of their own. Routes and workspaces usually name a
/// few; requests of further sets are served by expected completion time alone.
const MAX_REGION_SETS: usize = 8;

/// Shares of a service for each set of allowed regions.
#[derive(Debug, Default)]
pub struct ZoneBalance {
    sets: ArcSwap<Vec<Arc<RegionSetShares>>>,
}

#[derive(Debug)]
struct RegionSetShares {
    regions: AllowedRegions,
    updated_at: AtomicU64,
    shares: ArcSwap<ZoneShares>,
}

impl ZoneBalance {
    /// Returns the shares for a request, computed anew if the last computation is older than 50 ms.
    pub fn shares(
        &self,
        table: &ServiceTable,
        req: &PickRequest<'_>,
        terms: &BalanceTerms,
    ) -> Option<Arc<ZoneShares>> {
        let set = self.set(req.regions)?;
        if set.claim_update(req.now) {
            let candidates = table.candidates.iter().filter(|c| {
                req.allows_place_of(c) && c.is_usable(req.now) && c.is_healthy(req.now)
            });
            let zones = ZoneLoad::of_zones(req.now, candidates.map(AsRef::as_ref));
            let next = set.shares.load().next(req.now, &zones, terms, table.state.bytes.get());
            set.shares.store(Arc::new(next));
        }
        Some(set.shares.load_full())
    }

    fn set(&self, regions: &AllowedRegions) -> Option<Arc<RegionSetShares>> {
        let find = |sets: &[Arc<RegionSetShares>]| {
            sets.iter().find(|s| s.regions == *regions).map(Arc::clone)
        };
        if let Some(set) = find(&self.sets.load()) {
            return Some(set);
        }
        self.sets.rcu(|sets| {
            let mut sets = Vec::clone(sets);
            if sets.len() < MAX_REGION_SETS && find(&sets).is_none() {
                sets.push(Arc::new(RegionSetShares {
                    regions: regions.clone(),
                    updated_at: AtomicU64::new(0),
                    shares: ArcSwap::default(),
                }));
            }
            sets
        });
        find(&self.sets.load())
    }
}

impl RegionSetShares {
    /// Claims the right to compute the shares, for one thread at a time.
    fn claim_update(&self, now: Tick) -> bool {
        let is_due =
            |last: u64| (last == 0 || now.0 >= last + micros(UPDATE_INTERVAL)).then_some(now.0);
        self.updated_at.fetch_update(Ordering::AcqRel, Ordering::Acquire, is_due).is_ok()
    }
}
