//! Queue of observations of suspected requests that still have to be disseminated.

use {
    crate::schema::SuspectUpdate,
    std::collections::{BTreeMap, HashSet},
};

/// Number of times that each update is sent, as a multiple of the binary logarithm of the fleet size.
const SENDS_FACTOR: u32 = 2;

/// Maximum number of updates in one packet: at 24 bytes each they leave room for member updates.
const MAX_BATCH: usize = 16;

/// Identity of an observation: the fingerprint of the request, the crash, and whether it was answered.
type Key = (u64, u64, bool);

/// Observations with the number of times they were sent.
#[derive(Debug, Default)]
pub struct SuspectQueue {
    sends: BTreeMap<Key, (u32, SuspectUpdate)>,
}

impl SuspectQueue {
    /// Adds the observations that aren't queued yet, and removes those that no longer count.
    pub fn set(&mut self, updates: Vec<SuspectUpdate>) {
        let keys: HashSet<Key> = updates.iter().map(key).collect();
        self.sends.retain(|key, _| keys.contains(key));
        for update in updates {
            self.sends.entry(key(&update)).or_insert((0, update));
        }
    }

    /// Whether an update has to be sent to others in a fleet of this size.
    pub fn has_pending(&self, fleet_size: usize) -> bool {
        self.sends.values().any(|(sends, _)| *sends < max_sends(fleet_size))
    }

    /// Returns the updates for one packet, those sent least often first, and counts them as sent.
    pub fn next_batch(&mut self, fleet_size: usize) -> Vec<SuspectUpdate> {
        let mut pending: Vec<&mut (u32, SuspectUpdate)> =
            self.sends.values_mut().filter(|(sends, _)| *sends < max_sends(fleet_size)).collect();
        pending.sort_by_key(|(sends, _)| *sends);
        let batch = pending.into_iter().take(MAX_BATCH);
        batch
            .map(|(sends, update)| {
                *sends += 1;
                update.clone()
            })
            .collect()
    }
}

fn key(update: &SuspectUpdate) -> Key {
    (update.fingerprint, update.crash, update.survived)
}

fn max_sends(fleet_size: usize) -> u32 {
    SENDS_FACTOR * (usize::BITS - fleet_size.leading_zeros()).max(1)
}
