//! What an entry may spend of one limit, read and changed on the path of requests.

use {
    super::{ahead_source::AheadSource, status::LimitState},
    crate::{config::WorkspaceLimit, limits::retry_after, tick::Tick},
    rand::Rng,
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicI64, AtomicU8, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Accounts of the limits in force by name.
pub type LimitTable = HashMap<Arc<str>, Arc<LimitAccount>>;

value! {
    /// Result of taking a token.
    pub enum Take {
        /// A granted token.
        Granted,
        /// A request ahead of a report.
        Ahead,
        /// There is none; the caller may retry after this time.
        Refused {
            /// Delay for this caller.
            retry_after: Duration,
        },
    }
}

impl Take {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Ahead => "ahead",
            Self::Refused { .. } => "refused",
        }
    }
}

/// Tokens of one limit at this entry. Thread-safe, without locks.
#[derive(Debug, Default)]
pub struct LimitAccount {
    /// Granted tokens; they may be spent until `held_until`.
    pub(super) held: AtomicI64,
    /// Time in microseconds at which the granted tokens end.
    pub(super) held_until: AtomicU64,
    /// Requests that may be sent ahead of a report.
    pub(super) ahead: AtomicI64,
    /// Tokens spent since the start of the process, less returned ones.
    pub(super) spent: AtomicI64,
    /// Requests since the start of the process, refused ones included.
    pub(super) demand: AtomicU64,
    /// Refused requests since the start of the process.
    pub(super) refused: AtomicU64,
    /// Tokens below which the owner is asked for more.
    pub(super) low: AtomicI64,
    /// Whether the owner should be asked at once.
    pub(super) is_urgent: AtomicBool,
    /// Whether the task that sends reports has to be woken.
    wakes: AtomicBool,
    /// Tokens granted since the start of the process.
    pub(super) granted: AtomicU64,
    rate_millis: AtomicU64,
    owner: AtomicU64,
    state: AtomicU8,
    answered_at: AtomicU64,
    /// Time in microseconds of the first report that the owner has not answered; 0 if there is none.
    waiting_since: AtomicU64,
    ahead_source: AtomicU8,
}

record! {
    /// What a decision on a request was based on, for its log line.
    pub struct AccountSnapshot {
        /// Node that owns the limit; 0 if there is none.
        pub owner: u64,
        /// State of the limit.
        pub state: LimitState,
        /// Granted tokens that are left.
        pub level: i64,
        /// Requests that may be sent ahead of a report.
        pub ahead: i64,
        /// What last set that number.
        pub ahead_source: AheadSource,
        /// Tokens granted since the start of the process.
        pub granted: u64,
        /// Tokens spent since the start of the process.
        pub spent: i64,
        /// Requests refused since the start of the process.
        pub refused: u64,
        /// Time since the owner's last answer, if there was one.
        pub answer_age: Option<Duration>,
        /// Time for which the owner has left a report unanswered.
        pub silence: Duration,
    }
}

impl LimitAccount {
    /// Sets the rate of the limit, which determines when refused callers may retry.
    pub(super) fn set_limit(&self, limit: WorkspaceLimit) {
        let millis = (limit.requests_per_second * 1_000.0).max(1.0);
        self.rate_millis.store(millis as u64, Ordering::Relaxed);
    }

    /// Takes the token of one request.
    pub fn take<R: Rng>(&self, now: Tick, rng: &mut R) -> Take {
        self.demand.fetch_add(1, Ordering::Relaxed);
        self.take_one(now).unwrap_or_else(|| {
            self.refused.fetch_add(1, Ordering::Relaxed);
            self.set_urgent();
            Take::Refused { retry_after: retry_after(rng, self.expected_wait()) }
        })
    }

    /// Counts a further attempt that is sent whether there is a token or not.
    pub fn take_always(&self, now: Tick) {
        if self.take_one(now).is_none() {
            self.spent.fetch_add(1, Ordering::AcqRel);
            self.set_urgent();
        }
    }

    /// Returns the token of a request that was not run.
    pub fn give_back(&self, now: Tick) {
        self.spent.fetch_sub(1, Ordering::AcqRel);
        if now.0 < self.held_until.load(Ordering::Acquire) {
            self.held.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Whether the owner should be asked without waiting for the next step.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent.load(Ordering::Acquire)
    }

    /// Sets the number of requests that may be sent ahead of a report.
    pub(super) fn set_ahead(&self, ahead: i64, source: AheadSource) {
        self.ahead.store(ahead, Ordering::Release);
        self.ahead_source.store(source as u8, Ordering::Relaxed);
    }

    /// Allows `more` requests ahead of a report.
    pub(super) fn add_ahead(&self, more: i64, source: AheadSource) {
        self.ahead.fetch_add(more, Ordering::AcqRel);
        self.ahead_source.store(source as u8, Ordering::Relaxed);
    }

    /// Lowers the number of requests that may be sent ahead of a report to `most`.
    pub(super) fn limit_ahead(&self, most: i64, source: AheadSource) {
        if self.ahead.fetch_min(most, Ordering::AcqRel) > most {
            self.ahead_source.store(source as u8, Ordering::Relaxed);
        }
    }

    /// Records the state for log lines.
    pub(super) fn publish(
        &self,
        owner: Option<u64>,
        state: LimitState,
        answered_at: Option<Tick>,
        waiting_since: Option<Tick>,
    ) {
        let micros = |at: Option<Tick>| at.map_or(0, |at| at.0);
        self.owner.store(owner.unwrap_or(0), Ordering::Relaxed);
        self.state.store(state as u8, Ordering::Relaxed);
        self.answered_at.store(micros(answered_at), Ordering::Relaxed);
        self.waiting_since.store(micros(waiting_since), Ordering::Relaxed);
    }

    /// Returns the state, as of the last step.
    pub fn snapshot(&self, now: Tick) -> AccountSnapshot {
        let states = [LimitState::Unknown, LimitState::Open, LimitState::Metered];
        let state = usize::from(self.state.load(Ordering::Relaxed));
        let source = usize::from(self.ahead_source.load(Ordering::Relaxed));
        let age = |micros: &AtomicU64| {
            let at = Tick(micros.load(Ordering::Relaxed));
            (at > Tick(0)).then(|| now.since(at))
        };
        AccountSnapshot {
            owner: self.owner.load(Ordering::Relaxed),
            state: states.get(state).copied().unwrap_or(LimitState::Silent),
            level: self.held.load(Ordering::Relaxed),
            ahead: self.ahead.load(Ordering::Relaxed),
            ahead_source: AheadSource::from_index(source),
            granted: self.granted.load(Ordering::Relaxed),
            spent: self.spent.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            answer_age: age(&self.answered_at),
            silence: age(&self.waiting_since).unwrap_or_default(),
        }
    }

    fn take_one(&self, now: Tick) -> Option<Take> {
        let is_valid = now.0 < self.held_until.load(Ordering::Acquire);
        let take = if is_valid && decrement(&self.held) {
            Take::Granted
        } else if decrement(&self.ahead) {
            Take::Ahead
        } else {
            return None;
        };
        self.spent.fetch_add(1, Ordering::AcqRel);
        let held = if is_valid { self.held.load(Ordering::Relaxed) } else { 0 };
        let low = self.low.load(Ordering::Relaxed).max(1);
        if held + self.ahead.load(Ordering::Relaxed) <= low {
            self.set_urgent();
        }
        Some(take)
    }

    fn set_urgent(&self) {
        if !self.is_urgent.swap(true, Ordering::AcqRel) {
            self.wakes.store(true, Ordering::Release);
        }
    }

    /// Whether the task that sends reports has to be woken; true once for each time that the owner has to be asked.
    pub fn take_wake(&self) -> bool {
        self.wakes.load(Ordering::Acquire) && self.wakes.swap(false, Ordering::AcqRel)
    }

    /// Returns the time in which the limit admits the next requests: those of the callers that were refused at the
    /// same time come back over it.
    fn expected_wait(&self) -> Duration {
        let rate = self.rate_millis.load(Ordering::Relaxed).max(1) as f64 / 1_000.0;
        Duration::from_secs_f64((1.0 / rate).clamp(0.5, 2.0))
    }
}

fn decrement(tokens: &AtomicI64) -> bool {
    let one_less = |n: i64| (n > 0).then_some(n - 1);
    tokens.fetch_update(Ordering::AcqRel, Ordering::Acquire, one_less).is_ok()
}
