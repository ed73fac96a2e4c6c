//! Requests that crash the upstreams that run them: suspects after the first crash, refused after the third.

use {
    super::{Fingerprint, Survivals, survivals},
    crate::{schema::SuspectUpdate, tick::Tick},
    arc_swap::ArcSwap,
    std::{
        collections::HashMap,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Number of crashed upstreams from which a request is not sent on. Below it, a request may have run beside the cause
/// of the crashes by chance.
const CRASHES_TO_REFUSE: usize = 3;

/// Number of crashed upstreams from which a request is not sent a second time for the same call.
const CRASHES_TO_STOP_RETRIES: usize = 2;

/// Time from the last crash during which a request stays suspected or refused.
pub const QUARANTINE: Duration = Duration::from_secs(600);

/// Maximum number of suspects; beyond it, the ones with the fewest crashes and the earliest end are dropped.
const MAX_SUSPECTS: usize = 1_024;

/// Maximum number of crashes kept for one suspect.
const MAX_CRASHES: usize = 8;

value! {
    /// What is known against a request.
    pub enum Suspicion {
        /// Nothing.
        None,
        /// Upstreams crashed while they ran it.
        Suspect {
            /// Whether a second attempt of the same call is still sent.
            may_retry: bool,
        },
        /// It crashed too many upstreams and is not sent on.
        Refused {
            /// Time until it is sent on again.
            remaining: Duration,
        },
    }
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Identities of the upstream incarnations that crashed under the request.
    crashes: Vec<u64>,
    /// Whether an upstream answered the request; then its crashes are ignored.
    survived: bool,
    ends_at: Tick,
}

type Suspects = HashMap<u64, Suspect>;

/// Suspected requests as this node knows them, from its own gate and from other nodes. Thread-safe.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: ArcSwap<Suspects>,
    survivals: Survivals,
    version: AtomicU64,
}

impl Quarantine {
    /// Returns what is known against a request.
    pub fn suspicion(&self, now: Tick, fingerprint: Fingerprint) -> Suspicion {
        let suspects = self.suspects.load();
        match suspects.get(&fingerprint.0) {
            Some(s) if s.survived || s.ends_at <= now => Suspicion::None,
            Some(s) if s.crashes.len() >= CRASHES_TO_REFUSE => {
                Suspicion::Refused { remaining: s.ends_at.since(now) }
            }
            Some(s) => Suspicion::Suspect { may_retry: s.crashes.len() < CRASHES_TO_STOP_RETRIES },
            None => Suspicion::None,
        }
    }

    /// Records that an upstream crashed while it ran a request; returns the number of crashes known of it.
    pub fn record_crash(&self, now: Tick, fingerprint: Fingerprint, crash: u64) -> usize {
        let remaining_s = QUARANTINE.as_secs() as u32;
        let fingerprint_number = fingerprint.0;
        let survived = self.survivals.contains(now, fingerprint);
        self.apply(
            now,
            &SuspectUpdate { fingerprint: fingerprint_number, crash, remaining_s, survived },
        );
        let suspects = self.suspects.load();
        suspects.get(&fingerprint_number).map_or(0, |suspect| suspect.crashes.len())
    }

    /// Records that an upstream answered a request, which clears it of suspicion.
    pub fn record_survival(&self, now: Tick, fingerprint: Fingerprint) {
        self.survivals.record(now, fingerprint);
        let is_suspected =
            self.suspects.load().get(&fingerprint.0).is_some_and(|suspect| !suspect.survived);
        if is_suspected {
            let remaining_s = survivals::MAX_AGE.as_secs() as u32;
            self.apply(
                now,
                &SuspectUpdate {
                    fingerprint: fingerprint.0,
                    crash: 0,
                    remaining_s,
                    survived: true,
                },
            );
        }
    }

    /// Applies what this or another node observed.
    pub fn apply(&self, now: Tick, update: &SuspectUpdate) {
        let survived =
            update.survived || self.survivals.contains(now, Fingerprint(update.fingerprint));
        let mut is_changed = false;
        self.suspects.rcu(|suspects| {
            let mut suspects: Suspects = suspects.as_ref().clone();
            suspects.retain(|_, suspect| suspect.ends_at > now);
            is_changed = merge(&mut suspects, now, update, survived);
            drop_weakest(&mut suspects);
            suspects
        });
        if is_changed {
            self.version.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Returns a number that rises with each change that other nodes need.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    /// Returns all that other nodes need: one update for each crash, or one for a request that was answered.
    pub fn updates(&self, now: Tick) -> Vec<SuspectUpdate> {
        let suspects = self.suspects.load();
        let live = suspects.iter().filter(|(_, suspect)| suspect.ends_at > now);
        live.flat_map(|(&fingerprint, suspect)| {
            let remaining_s = suspect.ends_at.since(now).as_secs() as u32;
            let survived = suspect.survived;
            let crashes = if survived { vec![0] } else { suspect.crashes.clone() };
            crashes.into_iter().map(move |crash| SuspectUpdate {
                fingerprint,
                crash,
                remaining_s,
                survived,
            })
        })
        .collect()
    }
}

/// Merges an update and returns whether it changed anything but the end of the suspicion.
fn merge(suspects: &mut Suspects, now: Tick, update: &SuspectUpdate, survived: bool) -> bool {
    let remaining = Duration::from_secs(u64::from(update.remaining_s)).min(QUARANTINE);
    if remaining.is_zero() {
        return false;
    }
    let suspect = suspects.entry(update.fingerprint).or_insert_with(|| Suspect {
        crashes: Vec::new(),
        survived: false,
        ends_at: now,
    });
    if suspect.survived {
        return false;
    }
    if survived {
        let ends_at = now + survivals::MAX_AGE;
        *suspect = Suspect { crashes: Vec::new(), survived, ends_at };
        return true;
    }
    suspect.ends_at = suspect.ends_at.max(now + remaining);
    let is_new = !suspect.crashes.contains(&update.crash) && suspect.crashes.len() < MAX_CRASHES;
    if is_new {
        suspect.crashes.push(update.crash);
    }
    is_new
}

fn drop_weakest(suspects: &mut Suspects) {
    while suspects.len() > MAX_SUSPECTS {
        let weakest = suspects.iter().min_by_key(|(_, s)| (s.crashes.len(), s.ends_at.0));
        let Some(fingerprint) = weakest.map(|(&fingerprint, _)| fingerprint) else {
            return;
        };
        suspects.remove(&fingerprint);
    }
}
