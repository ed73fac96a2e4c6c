//! A gate's record of non-idempotent attempts, from which it settles the outcome of each.

use {
    crate::{
        schema::{AttemptId, SettleRequest, Settlement},
        tick::Tick,
    },
    papaya::HashMap,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Time for which an attempt is kept after its end.
const ATTEMPT_RETENTION: Duration = Duration::from_secs(60);

/// Number of entries (nodes that send attempts) that are kept regardless of their age.
const MAX_ENTRIES: usize = 16_384;

/// Time for which an entry beyond [`MAX_ENTRIES`] is kept after its last use. No attempt of the entry can
/// arrive afterwards over an old connection: the time is longer than any time budget, and retired
/// connections were closed when they were retired.
const ENTRY_RETENTION: Duration = Duration::from_secs(3_600);

/// Number of attempts of one entry above which ended ones are removed, lowest sequence number first.
const MAX_ATTEMPTS_OF_ENTRY: usize = 4_096;

const WAITING: u8 = 0;
const RUNNING: u8 = 1;
const DONE: u8 = 2;
const NOT_RUN: u8 = 3;

/// Reason why an attempt must not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BeginError {
    /// A settlement retired the connection of the attempt.
    #[error("the connection of the attempt is retired")]
    ConnectionRetired,
    /// The attempt arrived before, or may have arrived; its outcome must be settled.
    #[error("the attempt is a duplicate or may be one")]
    Duplicate,
}

/// State of one attempt.
///
/// It changes from waiting to running to done, or from waiting to not run. A running attempt of
/// which nothing was sent to the upstream also changes to not run.
#[derive(Debug)]
pub struct AttemptState {
    state: AtomicU8,
    ended_at: AtomicU64,
}

impl AttemptState {
    fn new() -> Self {
        Self { state: AtomicU8::new(WAITING), ended_at: AtomicU64::new(0) }
    }

    /// Marks the attempt as running; `false` means that it must not run, because a settlement
    /// already reported it as *not run*.
    pub fn start(&self) -> bool {
        self.transition(WAITING, RUNNING)
    }

    /// Records that a waiting attempt was refused; returns whether it was still waiting.
    pub fn refuse(&self, now: Tick) -> bool {
        let refused = self.transition(WAITING, NOT_RUN);
        self.ended_at.store(now.0, Ordering::SeqCst);
        refused
    }

    /// Records the end of a running attempt, with or without a response.
    pub fn finish(&self, now: Tick) {
        self.ended_at.store(now.0, Ordering::SeqCst);
        let ended = self.transition(RUNNING, DONE);
        invariant!(ended, "only_running_attempts_end");
    }

    /// Records that nothing of a running attempt was sent to the upstream.
    pub fn finish_unsent(&self, now: Tick) {
        self.ended_at.store(now.0, Ordering::SeqCst);
        let ended = self.transition(RUNNING, NOT_RUN);
        invariant!(ended, "only_running_attempts_are_unsent");
    }

    fn transition(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }

    fn is_expired(&self, now: Tick) -> bool {
        self.has_ended()
            && now.since(Tick(self.ended_at.load(Ordering::SeqCst))) >= ATTEMPT_RETENTION
    }

    fn has_ended(&self) -> bool {
        matches!(self.state.load(Ordering::SeqCst), DONE | NOT_RUN)
    }

    fn settle(&self, now: Tick) -> Settlement {
        self.refuse(now);
        match self.state.load(Ordering::SeqCst) {
            NOT_RUN => Settlement::NotRun,
            RUNNING => Settlement::Running,
            _ => Settlement::Done,
        }
    }
}

#[derive(Debug, Default)]
struct EntryAttempts {
    /// Highest retired connection number; all lower numbers are retired too.
    retired_up_to: AtomicU64,
    /// Attempts up to this sequence number may have been removed.
    removed_up_to: AtomicU64,
    used_at: AtomicU64,
    /// Set before this record is removed from the ledger; an attempt that is added afterwards must be
    /// registered again in a new record.
    closed: AtomicBool,
    attempts: HashMap<u64, Arc<AttemptState>>,
}

/// Attempts received by one incarnation of a gate, grouped by entry. Thread-safe.
///
/// An attempt and its settlement share one [`AttemptState`], whichever arrives first. A retired
/// connection also blocks the attempts on it whose state was removed.
#[derive(Debug)]
pub struct Ledger {
    gate: u64,
    entries: HashMap<u64, Arc<EntryAttempts>>,
    removed_entries: AtomicBool,
}

impl Ledger {
    /// Creates an empty ledger for an incarnation of a gate.
    pub fn new(gate: u64) -> Self {
        Self { gate, entries: HashMap::new(), removed_entries: AtomicBool::new(false) }
    }

    /// Registers an attempt that arrived over a connection, before its admission is decided.
    ///
    /// # Errors
    /// Fails if the connection is retired or the attempt may be a duplicate; the attempt must not run then.
    pub fn begin(
        &self,
        now: Tick,
        id: AttemptId,
        connection: u64,
    ) -> Result<Arc<AttemptState>, BeginError> {
        loop {
            let record = self.entry_attempts(now, id.entry, id.sequence.saturating_sub(1));
            let begun = record.begin(now, id.sequence, connection);
            if !record.closed.load(Ordering::SeqCst) {
                return begun;
            }
        }
    }

    /// Retires a connection permanently and returns the settlement of an attempt on it.
    pub fn settle(&self, now: Tick, req: &SettleRequest) -> Settlement {
        if req.gate != self.gate {
            return Settlement::Unknown;
        }
        let record = self.entry_attempts(now, req.id.entry, req.id.sequence);
        record.retired_up_to.fetch_max(req.connection, Ordering::SeqCst);
        let attempts = record.attempts.pin();
        if let Some(state) = attempts.get(&req.id.sequence) {
            return state.settle(now);
        }
        if req.id.sequence <= record.removed_up_to.load(Ordering::SeqCst) {
            return Settlement::Unknown;
        }
        // A new state that is settled as not run blocks the attempt if it arrives later on any
        // connection.
        let state = attempts.get_or_insert_with(req.id.sequence, || Arc::new(AttemptState::new()));
        state.settle(now)
    }

    /// Removes attempts that ended long ago, and idle entries. Running attempts are never removed.
    ///
    /// Must not be called concurrently.
    pub fn sweep(&self, now: Tick) {
        let entries = self.entries.pin();
        let mut surplus = entries.len().saturating_sub(MAX_ENTRIES);
        for (&id, record) in &entries {
            record.sweep(now);
            if surplus == 0 {
                continue;
            }
            let idle = now.since(Tick(record.used_at.load(Ordering::SeqCst))) >= ENTRY_RETENTION;
            if !idle || !record.attempts.is_empty() {
                continue;
            }
            self.removed_entries.store(true, Ordering::SeqCst);
            record.closed.store(true, Ordering::SeqCst);
            if record.attempts.is_empty() {
                entries.remove(&id);
                surplus -= 1;
            } else {
                record.closed.store(false, Ordering::SeqCst);
            }
        }
    }

    /// Returns the number of attempts in the ledger.
    pub fn len(&self) -> usize {
        self.entries.pin().values().map(|r| r.attempts.len()).sum()
    }

    /// Whether the ledger contains no attempt.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the record of an entry; creates it on the entry's first attempt or settlement.
    ///
    /// If the ledger ever removed an entry, a new record treats all attempts up to `unknown_up_to`
    /// as possibly removed.
    fn entry_attempts(&self, now: Tick, entry: u64, unknown_up_to: u64) -> Arc<EntryAttempts> {
        let entries = self.entries.pin();
        let record = entries.get_or_insert_with(entry, || {
            let removed_any = self.removed_entries.load(Ordering::SeqCst);
            let removed_up_to = if removed_any { unknown_up_to } else { 0 };
            Arc::new(EntryAttempts {
                removed_up_to: AtomicU64::new(removed_up_to),
                ..EntryAttempts::default()
            })
        });
        record.used_at.fetch_max(now.0, Ordering::SeqCst);
        Arc::clone(record)
    }
}

impl EntryAttempts {
    fn begin(
        &self,
        now: Tick,
        sequence: u64,
        connection: u64,
    ) -> Result<Arc<AttemptState>, BeginError> {
        if sequence <= self.removed_up_to.load(Ordering::SeqCst) {
            return Err(BeginError::Duplicate);
        }
        let state = Arc::new(AttemptState::new());
        if self.attempts.pin().try_insert(sequence, Arc::clone(&state)).is_err() {
            return Err(BeginError::Duplicate);
        }
        if connection <= self.retired_up_to.load(Ordering::SeqCst) {
            state.refuse(now);
            return Err(BeginError::ConnectionRetired);
        }
        Ok(state)
    }

    fn sweep(&self, now: Tick) {
        let attempts = self.attempts.pin();
        let surplus = attempts.len().saturating_sub(MAX_ATTEMPTS_OF_ENTRY);
        let mut ended: Vec<u64> =
            attempts.iter().filter(|(_, s)| s.has_ended()).map(|(&sequence, _)| sequence).collect();
        ended.sort_unstable();
        for (index, sequence) in ended.into_iter().enumerate() {
            let is_old = attempts.get(&sequence).is_some_and(|s| s.is_expired(now));
            if is_old || index < surplus {
                // Raised before the removal, so that a concurrent settlement always finds the
                // attempt or the raised `removed_up_to`.
                self.removed_up_to.fetch_max(sequence, Ordering::SeqCst);
                attempts.remove(&sequence);
            }
        }
    }
}
