//! State of the local upstream, derived from its announcements.

use {
    crate::{schema::Announcement, tick::Tick},
    std::{collections::VecDeque, time::Duration},
};

/// Number of ended incarnations kept, so that a delayed announcement doesn't revive one.
const MAX_ENDED_INCARNATIONS: usize = 16;

record! {
    /// Input of the state of the local upstream.
    pub enum UpstreamEvent {
        /// The upstream announced itself as running or draining.
        Announced(Announcement),
        /// The upstream announced that it is stopping; this incarnation must never receive new
        /// work.
        Stopping {
            /// Name of the upstream.
            instance: String,
            /// Start of the incarnation in Unix milliseconds; zero if not given.
            started_ms: u64,
        },
    }
}

value! {
    /// Result of applying an [`UpstreamEvent`].
    pub enum UpstreamChange {
        /// A value that other nodes need has changed.
        Changed,
        /// Nothing that other nodes need has changed.
        Unchanged,
        /// The event is of an earlier, ended or unknown incarnation, or older than the current
        /// state.
        Outdated,
    }
}

#[derive(Debug)]
struct Current {
    announcement: Announcement,
    announced_at: Tick,
}

/// State of the newest incarnation of the local upstream.
///
/// Draining and stopping are final: only a new incarnation accepts work again.
#[derive(Debug)]
pub struct LocalUpstream {
    current: Option<Current>,
    /// Names and start times of ended incarnations, oldest first.
    ended: VecDeque<(String, u64)>,
}

impl LocalUpstream {
    /// Creates the state before the first announcement.
    pub fn new() -> Self {
        Self { current: None, ended: VecDeque::new() }
    }

    /// Returns the latest announcement, unless the upstream has expired or none has arrived.
    pub fn current(&self) -> Option<&Announcement> {
        self.current.as_ref().map(|c| &c.announcement)
    }

    /// Applies an event that arrived at `now`.
    pub fn apply(&mut self, now: Tick, event: UpstreamEvent) -> UpstreamChange {
        match event {
            UpstreamEvent::Announced(next) => self.on_announced(now, next),
            UpstreamEvent::Stopping { instance, started_ms } => {
                self.on_stopping(instance, started_ms)
            }
        }
    }

    /// Removes the upstream if no announcement has arrived for `limit`; returns whether it did.
    ///
    /// A draining incarnation is recorded as ended, because an announcement from before the
    /// draining may still arrive.
    pub fn expire(&mut self, now: Tick, limit: Duration) -> bool {
        let Some(expired) = self.current.take_if(|c| now.since(c.announced_at) >= limit) else {
            return false;
        };
        let Announcement { draining, instance, started_ms, .. } = expired.announcement;
        if draining {
            self.record_ended(instance, started_ms);
        }
        true
    }

    fn record_ended(&mut self, instance: String, started_ms: u64) {
        if self.ended.len() == MAX_ENDED_INCARNATIONS {
            self.ended.pop_front();
        }
        self.ended.push_back((instance, started_ms));
    }

    fn on_announced(&mut self, now: Tick, mut next: Announcement) -> UpstreamChange {
        if self.ended.iter().any(|(instance, started_ms)| {
            *instance == next.instance && *started_ms == next.started_ms
        }) {
            return UpstreamChange::Outdated;
        }
        let Some(current) = &mut self.current else {
            self.current = Some(Current { announcement: next, announced_at: now });
            return UpstreamChange::Changed;
        };
        let old = &mut current.announcement;
        let same_incarnation = is_same_incarnation(old, &next);
        if !same_incarnation && next.started_ms < old.started_ms {
            return UpstreamChange::Outdated;
        }
        // Sequence 0 means that the announcement carries no sequence.
        if same_incarnation && next.sequence <= old.sequence && next.sequence != 0 {
            return UpstreamChange::Outdated;
        }
        current.announced_at = now;
        next.draining |= same_incarnation && old.draining;
        let changed = !same_incarnation || differs(old, &next);
        *old = next;
        if changed { UpstreamChange::Changed } else { UpstreamChange::Unchanged }
    }

    fn on_stopping(&mut self, instance: String, started_ms: u64) -> UpstreamChange {
        let current = self.current.as_mut().map(|c| &mut c.announcement);
        let matches = |a: &&mut Announcement| {
            a.instance == instance && (started_ms == 0 || a.started_ms == started_ms)
        };
        let found = current.filter(matches);
        let started_ms = found.as_ref().map_or(started_ms, |a| a.started_ms);
        let change = match found {
            Some(announcement) if !announcement.draining => {
                announcement.draining = true;
                UpstreamChange::Changed
            }
            Some(_) => UpstreamChange::Unchanged,
            None => UpstreamChange::Outdated,
        };
        self.record_ended(instance, started_ms);
        change
    }
}

impl Default for LocalUpstream {
    fn default() -> Self {
        Self::new()
    }
}

/// Whether two announcements are of the same run of an upstream.
pub fn is_same_incarnation(a: &Announcement, b: &Announcement) -> bool {
    a.instance == b.instance && a.started_ms == b.started_ms
}

/// Whether two announcements of one incarnation differ in more than the sequence, the remaining
/// warm-up time and the number of connections.
fn differs(old: &Announcement, next: &Announcement) -> bool {
    let comparable =
        |a: &Announcement| Announcement { sequence: 0, cold_ms: 0, connections: 0, ..a.clone() };
    comparable(old) != comparable(next)
}
