//! A gate's memory of non-idempotent attempts, so that it can tell what became of one.

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

/// Time for which the end of an attempt is remembered.
const ATTEMPT_RETENTION: Duration = Duration::from_secs(60);

/// Entries that are remembered whatever their age.
const MAX_ENTRIES: usize = 16_384;

/// Time for which an entry beyond that number is remembered after its last attempt; longer than any time
/// budget, and its retired connections were killed when they were retired.
const ENTRY_RETENTION: Duration = Duration::from_secs(3_600);

/// Ended attempts of one entry that are remembered.
const MAX_ATTEMPTS_OF_ENTRY: usize = 4_096;

const WAITING: u8 = 0;
const RUNNING: u8 = 1;
const DONE: u8 = 2;
const NOT_RUN: u8 = 3;

/// Why an attempt may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BeginError {
    /// Its connection was retired by a settlement.
    #[error("the attempt's connection is retired")]
    ConnectionRetired,
    /// The attempt came before, or may have; what became of it must be settled.
    #[error("the attempt is known already")]
    Duplicate,
}

/// One attempt's state; moves from waiting to running to done, or from waiting to not run.
#[derive(Debug)]
pub struct AttemptState {
    state: AtomicU8,
    ended_at: AtomicU64,
}

impl AttemptState {
    fn new() -> Self {
        Self { state: AtomicU8::new(WAITING), ended_at: AtomicU64::new(0) }
    }

    /// Moves to running; `false` means that a settlement said *not run* and it must not run.
    pub fn start(&self) -> bool {
        self.transition(WAITING, RUNNING)
    }

    /// Notes that a waiting attempt was refused.
    pub fn refuse(&self, now: Tick) -> bool {
        let refused = self.transition(WAITING, NOT_RUN);
        self.ended_at.store(now.0, Ordering::SeqCst);
        refused
    }

    /// Notes the end of a running attempt, with or without an answer.
    pub fn finish(&self, now: Tick) {
        self.ended_at.store(now.0, Ordering::SeqCst);
        let ended = self.transition(RUNNING, DONE);
        invariant!(ended, "only_running_attempts_end");
    }

    /// Notes that nothing of a running attempt was sent to the upstream.
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
    /// Connections up to this number are retired.
    retired_up_to: AtomicU64,
    /// Attempts up to this number may have been removed_up_to.
    removed_up_to: AtomicU64,
    used_at: AtomicU64,
    /// Set when the record leaves the ledger; nothing may be added to it then.
    closed: AtomicBool,
    attempts: HashMap<u64, Arc<AttemptState>>,
}

/// Attempts of one run of a gate, by entry. Several threads may use it at once.
///
/// An attempt and its settlement meet at one map entry, whichever comes first; the retired connection also
/// stops attempts whose own entry was removed_up_to.
#[derive(Debug)]
pub struct Ledger {
    gate: u64,
    entries: HashMap<u64, Arc<EntryAttempts>>,
    removed_entries: AtomicBool,
}

impl Ledger {
    /// An empty ledger of a gate's run.
    pub fn new(gate: u64) -> Self {
        Self { gate, entries: HashMap::new(), removed_entries: AtomicBool::new(false) }
    }

    /// Registers an attempt that came over a connection, before anything is decided about it.
    ///
    /// # Errors
    /// Fails when the connection is retired or the attempt is known; the attempt must then not run.
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

    /// Retires a connection for good and tells what became of an attempt on it.
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
        // An entry that is refused from the start keeps a late arrival from running on any connection.
        let state = attempts.get_or_insert_with(req.id.sequence, || Arc::new(AttemptState::new()));
        state.settle(now)
    }

    /// Forgets what ended long ago. Running attempts are never removed_up_to.
    ///
    /// One caller at a time.
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

    /// Attempts remembered.
    pub fn len(&self) -> usize {
        self.entries.pin().values().map(|r| r.attempts.len()).sum()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The record of an entry, made at the first attempt or settlement.
    ///
    /// If the ledger ever forgot an entry, a new record vouches only for attempts after `unknown_up_to`.
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
            attempts.iter().filter(|(_, e)| e.has_ended()).map(|(&s, _)| s).collect();
        ended.sort_unstable();
        for (index, sequence) in ended.into_iter().enumerate() {
            let is_old = attempts.get(&sequence).is_some_and(|e| e.is_expired(now));
            if is_old || index < surplus {
                // The mark is raised first, so that no settlement finds neither.
                self.removed_up_to.fetch_max(sequence, Ordering::SeqCst);
                attempts.remove(&sequence);
            }
        }
    }
}
