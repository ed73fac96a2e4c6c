//! Age of the last read of settings in the store by any node, and when another node has to read them.

use {
    crate::tick::Tick,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Age of the last read from which the first node of a region reads the store. One node of the fleet confirms its settings
/// every 1.5 s, and gossip passes that on to all regions within two seconds.
const OVERDUE: Duration = Duration::from_secs(4);

/// Additional age for each rank, so that few nodes replace a watcher that gets no answer.
const OVERDUE_PER_RANK: Duration = Duration::from_millis(250);

/// Minimum and maximum time between two reads of a node while the last read stays overdue, as in an outage of the
/// store.
const RETRY_INTERVALS: std::ops::RangeInclusive<Duration> =
    Duration::from_secs(2)..=Duration::from_secs(16);

/// Encoded age if there was no read.
const NO_READ_MS: u32 = u32::MAX;

/// Time of the last read of one kind of settings, by this node or by one that holds the same settings. What the store
/// had acknowledged by then is in force here. Thread-safe.
#[derive(Debug, Default)]
pub struct LastRead {
    /// Time in microseconds; zero if there was no read.
    at: AtomicU64,
}

impl LastRead {
    /// Records a read whose result is in force.
    pub fn record(&self, at: Tick) {
        self.at.fetch_max(at.0.max(1), Ordering::Relaxed);
    }

    /// Records the read of a node that holds the same settings.
    pub fn record_age_ms(&self, now: Tick, age_ms: u32) {
        let at = now - Duration::from_millis(u64::from(age_ms));
        // Ticks count from the start of the process, so an earlier read has none.
        if age_ms != NO_READ_MS && at > Tick(0) {
            self.record(at);
        }
    }

    /// Returns the time since the last read, if there was one.
    pub fn age(&self, now: Tick) -> Option<Duration> {
        let at = self.at.load(Ordering::Relaxed);
        (at > 0).then(|| now.since(Tick(at)))
    }

    /// Whether a node should have read the store meanwhile.
    pub fn is_overdue(&self, now: Tick) -> bool {
        self.age(now).is_some_and(|age| age >= OVERDUE)
    }

    /// Returns the age in milliseconds as it is sent to other nodes.
    pub fn age_ms(&self, now: Tick) -> u32 {
        let to_ms = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(NO_READ_MS);
        self.age(now).map_or(NO_READ_MS, to_ms)
    }
}

/// Decides when a node reads the store because those that watch it for all nodes don't.
#[derive(Debug)]
pub struct OverdueReads {
    next_at: Tick,
    retry_interval: Duration,
}

impl Default for OverdueReads {
    fn default() -> Self {
        Self { next_at: Tick(0), retry_interval: *RETRY_INTERVALS.start() }
    }
}

impl OverdueReads {
    /// Whether a node reads the store now. `age` is that of the last read by any node, `rank` the node's place among
    /// those of its region that watch the store. The age counts from the first read that is known.
    pub fn is_due(&mut self, now: Tick, age: Option<Duration>, rank: u64) -> bool {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let limit = OVERDUE + OVERDUE_PER_RANK.saturating_mul(rank);
        if age.is_none_or(|age| age < limit) {
            self.retry_interval = *RETRY_INTERVALS.start();
            return false;
        }
        if now < self.next_at {
            return false;
        }
        self.next_at = now + self.retry_interval;
        self.retry_interval = (self.retry_interval * 2).min(*RETRY_INTERVALS.end());
        true
    }
}
