//! All holders of a bounded resource.

use {
    super::Holder,
    crate::tick::Tick,
    papaya::HashMap,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Holders of a bounded resource.
#[derive(Debug, Default)]
pub struct Holders {
    all: HashMap<u64, Arc<Holder>>,
    last_key: AtomicU64,
}

impl Holders {
    /// Adds a holder and returns the key to remove it.
    pub fn add(&self, holder: &Arc<Holder>) -> u64 {
        let key = self.last_key.fetch_add(1, Ordering::Relaxed);
        self.all.pin().insert(key, Arc::clone(holder));
        key
    }

    /// Removes a holder.
    pub fn remove(&self, key: u64) {
        self.all.pin().remove(&key);
    }

    /// Returns the number of holders.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the holder that has stalled longest, if that is `min_stall` or more.
    pub fn longest_stalled(&self, now: Tick, min_stall: Duration) -> Option<Arc<Holder>> {
        let all = self.all.pin();
        let stalled = all.values().filter_map(|h| Some((h.stalled_for(now)?, h)));
        let longest = stalled.max_by_key(|(stalled, _)| *stalled);
        longest.filter(|(stalled, _)| *stalled >= min_stall).map(|(_, h)| Arc::clone(h))
    }
}
