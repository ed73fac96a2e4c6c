//! Concurrency slots of a gate in one atomic counter.

use std::sync::atomic::{AtomicU32, Ordering};

/// Counts running requests against a limit.
#[derive(Debug, Default)]
pub struct Slots {
    running: AtomicU32,
}

impl Slots {
    /// Takes a slot if fewer than `limit` are in use; `false` if none is free.
    pub fn try_take(&self, limit: u32) -> bool {
        let take = |running: u32| (running < limit).then_some(running + 1);
        self.running.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok()
    }

    /// Releases a slot.
    pub fn release(&self) {
        let previous = self.running.fetch_sub(1, Ordering::SeqCst);
        invariant!(previous > 0, "slots_never_negative");
    }

    /// Returns the number of slots in use.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::SeqCst)
    }
}
