//! Shares of the queued attempts that a gate started, by sub-queue.

use {
    super::{QueueKey, Urgency},
    crate::tick::Tick,
    std::{collections::BTreeMap, time::Duration},
};

/// Time after which a count weighs half: long enough for several attempts of a workspace with few requests, and short
/// compared with a burst.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// A workspace whose share is below this part of the share of all is served out of turn. Each workspace must get at
/// least a quarter of it; the rest is a margin for what is lost on the way.
const MIN_RELATIVE_SHARE: f64 = 0.35;

/// Counts below this are removed.
const MIN_COUNT: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: f64,
    started: f64,
}

/// Attempts that workspaces queued and that were started, with exponential decay.
///
/// Turns alone would give each workspace the same number of starts, so that in an overload a large one would be
/// refused nearly always while small ones are served in full.
#[derive(Debug, Default)]
pub(super) struct ServedShares {
    by_key: BTreeMap<QueueKey, Counts>,
    by_urgency: BTreeMap<Urgency, Counts>,
    next_decay: Tick,
}

impl Counts {
    fn halve(&mut self) -> bool {
        self.offered /= 2.0;
        self.started /= 2.0;
        self.offered >= MIN_COUNT
    }
}

impl ServedShares {
    pub(super) fn record_offered(&mut self, key: &QueueKey) {
        if key.is_workspace() {
            self.by_key.entry(key.clone()).or_default().offered += 1.0;
            self.by_urgency.entry(key.urgency).or_default().offered += 1.0;
        }
    }

    pub(super) fn record_started(&mut self, key: &QueueKey) {
        if key.is_workspace() {
            self.by_key.entry(key.clone()).or_default().started += 1.0;
            self.by_urgency.entry(key.urgency).or_default().started += 1.0;
        }
    }

    pub(super) fn decay(&mut self, now: Tick) {
        if now >= self.next_decay {
            self.next_decay = now + HALF_LIFE;
            self.by_key.retain(|_, counts| counts.halve());
            self.by_urgency.retain(|_, counts| counts.halve());
        }
    }

    /// Whether a workspace is served much less often than all of its urgency. One start more than there were must
    /// not change that, so that a few attempts decide nothing.
    pub(super) fn is_underserved(&self, key: &QueueKey) -> bool {
        let (Some(own), Some(all)) = (self.by_key.get(key), self.by_urgency.get(&key.urgency))
        else {
            return false;
        };
        (own.started + 1.0) * all.offered < own.offered * all.started * MIN_RELATIVE_SHARE
    }
}
