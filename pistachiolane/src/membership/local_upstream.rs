//! The upstream beside the node, by what it says of itself.

use {
    crate::{schema::Announcement, tick::Tick},
    std::{collections::VecDeque, time::Duration},
};

/// Incarnations that are remembered as gone, so that a delayed announcement does not bring one back.
const REMEMBERED: usize = 16;

record! {
    /// What an upstream says of itself.
    pub enum UpstreamEvent {
        /// It is there, or drains.
        Announced(Announcement),
        /// It leaves and wants no new work, ever.
        Deregistered {
            /// Its name.
            instance: String,
            /// Start of the incarnation in Unix milliseconds; zero if not given.
            started_ms: u64,
        },
    }
}

value! {
    /// Effect of news.
    pub enum UpstreamChange {
        /// Something that others must know has changed.
        Changed,
        /// The upstream is as it was.
        Unchanged,
        /// The news is of an earlier incarnation, or older than what is known.
        Outdated,
    }
}

#[derive(Debug)]
struct Known {
    announcement: Announcement,
    heard_at: Tick,
}

/// Keeps the newest incarnation. Its draining and leaving are final: only a new incarnation takes work again.
#[derive(Debug)]
pub struct LocalUpstream {
    known: Option<Known>,
    gone: VecDeque<(String, u64)>,
}

impl LocalUpstream {
    /// No upstream has been heard of.
    pub fn new() -> Self {
        Self { known: None, gone: VecDeque::new() }
    }

    /// The upstream as it is now.
    pub fn current(&self) -> Option<&Announcement> {
        self.known.as_ref().map(|k| &k.announcement)
    }

    /// Takes news that came at `now`.
    pub fn apply(&mut self, now: Tick, news: UpstreamEvent) -> UpstreamChange {
        match news {
            UpstreamEvent::Announced(next) => self.announced(now, next),
            UpstreamEvent::Deregistered { instance, started_ms } => {
                self.leaving(instance, started_ms)
            }
        }
    }

    /// Forgets the upstream if it has been silent for `limit`; `true` if it was known.
    ///
    /// That it drained is kept: an announcement from before it may arrive later still.
    pub fn expire(&mut self, now: Tick, limit: Duration) -> bool {
        let Some(silent) = self.known.take_if(|k| now.since(k.heard_at) >= limit) else {
            return false;
        };
        let Announcement { draining, instance, started_ms, .. } = silent.announcement;
        if draining {
            self.remember_gone(instance, started_ms);
        }
        true
    }

    fn remember_gone(&mut self, instance: String, started_ms: u64) {
        if self.gone.len() == REMEMBERED {
            self.gone.pop_front();
        }
        self.gone.push_back((instance, started_ms));
    }

    fn announced(&mut self, now: Tick, mut next: Announcement) -> UpstreamChange {
        if self.gone.iter().any(|(i, s)| *i == next.instance && *s == next.started_ms) {
            return UpstreamChange::Outdated;
        }
        let Some(known) = &mut self.known else {
            self.known = Some(Known { announcement: next, heard_at: now });
            return UpstreamChange::Changed;
        };
        let old = &mut known.announcement;
        let same = old.instance == next.instance && old.started_ms == next.started_ms;
        if !same && next.started_ms < old.started_ms {
            return UpstreamChange::Outdated;
        }
        if same && next.sequence <= old.sequence && next.sequence != 0 {
            return UpstreamChange::Outdated;
        }
        known.heard_at = now;
        next.draining |= same && old.draining;
        let changed = !same || differs(old, &next);
        *old = next;
        if changed { UpstreamChange::Changed } else { UpstreamChange::Unchanged }
    }

    fn leaving(&mut self, instance: String, started_ms: u64) -> UpstreamChange {
        let current = self.known.as_mut().map(|k| &mut k.announcement);
        let matches = |a: &&mut Announcement| {
            a.instance == instance && (started_ms == 0 || a.started_ms == started_ms)
        };
        let found = current.filter(matches);
        let started_ms = found.as_ref().map_or(started_ms, |a| a.started_ms);
        let effect = match found {
            Some(announcement) if !announcement.draining => {
                announcement.draining = true;
                UpstreamChange::Changed
            }
            Some(_) => UpstreamChange::Unchanged,
            None => UpstreamChange::Outdated,
        };
        self.remember_gone(instance, started_ms);
        effect
    }
}

impl Default for LocalUpstream {
    fn default() -> Self {
        Self::new()
    }
}

/// Whether two announcements of one incarnation differ in more than their age.
fn differs(old: &Announcement, next: &Announcement) -> bool {
    let fixed =
        |a: &Announcement| Announcement { sequence: 0, cold_ms: 0, connections: 0, ..a.clone() };
    fixed(old) != fixed(next)
}
