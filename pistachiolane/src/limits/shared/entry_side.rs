//! The entry's side of one limit: what it reports to the owner, and what it may spend.

use {
    super::{
        account::LimitAccount,
        ahead_source::AheadSource,
        bounds::{
            ANSWER_TIMEOUT, FULL_SHARE_TIME, GRANT_LIFETIME, HOLD_TIME, IDLE_INTERVAL,
            MESSAGE_PATIENCE, MIN_HOLD_RATE, RESEND_AFTER, URGENT_INTERVAL,
        },
        status::LimitState,
    },
    crate::{
        schema::{LimitAnswer, LimitReport},
        tick::{Tick, micros},
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Time constants of the two estimates of the demand; the higher one counts, so that the estimate rises quickly
/// and falls slowly.
const DEMAND_TIMES: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(2)];

/// Report that the owner has not answered.
#[derive(Clone, Copy, Debug)]
struct Pending {
    sequence: u32,
    sent_at: Tick,
    spent: i64,
    held: i64,
}

/// Reports and answers of one limit at an entry.
#[derive(Debug)]
#[allow(clippy::struct_excessive_bools, reason = "they are independent of each other")]
pub struct EntrySide {
    id: u64,
    account: Arc<LimitAccount>,
    owner: Option<u64>,
    sequence: u32,
    pending: Option<Pending>,
    acknowledged: i64,
    /// Tokens that the owner records for this entry, by its last answer.
    recorded: i64,
    last_sent_at: Option<Tick>,
    answered_at: Option<Tick>,
    /// Time of the owner's last message, an answer or an unsolicited change.
    heard_at: Option<Tick>,
    /// Time of the first report that the owner has not answered.
    waiting_since: Option<Tick>,
    /// Whether the owner's last word allows requests ahead of reports.
    is_open: bool,
    is_suspect: bool,
    is_silent: bool,
    /// Requests per second that may be sent while the owner is silent.
    share: f64,
    /// Part of a request that the share has allowed so far.
    share_credit: f64,
    demand: [f64; 2],
    demand_count: u64,
    /// Requests at the last renewal of the tokens.
    renewed_count: u64,
    hold_time: Duration,
    stepped_at: Tick,
    /// Whether the state of the limit is requested before the first request.
    prefetches: bool,
}

impl EntrySide {
    /// Creates the side of an entry that knows nothing of the limit and may send `ahead` requests.
    pub fn new(now: Tick, id: u64, account: Arc<LimitAccount>, ahead: i64) -> Self {
        account.set_ahead(ahead, AheadSource::Start);
        Self {
            id,
            account,
            owner: None,
            sequence: 0,
            pending: None,
            acknowledged: 0,
            recorded: 0,
            last_sent_at: None,
            answered_at: None,
            heard_at: None,
            waiting_since: None,
            is_open: false,
            is_suspect: false,
            is_silent: false,
            share: 0.0,
            share_credit: 0.0,
            demand: [0.0; 2],
            demand_count: 0,
            renewed_count: 0,
            hold_time: HOLD_TIME,
            stepped_at: now,
            prefetches: false,
        }
    }

    /// Sets the owner to which the entry reports, and whether to request the state before the first request.
    /// `is_lost` tells whether the previous owner ended without leaving, so that it has handed nothing over.
    pub fn set_owner(&mut self, now: Tick, owner: Option<u64>, prefetches: bool, is_lost: bool) {
        self.prefetches = prefetches;
        if self.owner != owner {
            if is_lost && self.answered_at.is_some() {
                self.account.limit_ahead(1, AheadSource::OwnerLost);
            }
            self.owner = owner;
            self.pending = None;
            self.last_sent_at = None;
            self.recorded = 0;
            self.ask_again(now);
        }
    }

    /// Sets the time of its demand for which the entry requests tokens.
    pub fn set_hold_time(&mut self, time: Duration) {
        self.hold_time = time;
    }

    /// Returns the owner to which the entry reports.
    pub fn owner(&self) -> Option<u64> {
        self.owner
    }

    /// Returns what the entry may spend.
    pub fn account(&self) -> &Arc<LimitAccount> {
        &self.account
    }

    /// Discards all tokens, as after a pause in which others may have been granted them.
    pub fn discard(&mut self, now: Tick) {
        self.account.held_until.store(0, Ordering::Release);
        self.account.held.store(0, Ordering::Release);
        self.account.limit_ahead(1, AheadSource::Pause);
        self.ask_again(now);
    }

    /// Sets the number of requests that the entry may send, unless it has heard of the limit.
    pub fn set_first_ahead(&self, ahead: i64) {
        if self.answered_at.is_none() {
            self.account.set_ahead(ahead, AheadSource::Start);
        }
    }

    /// Has the entry ask the owner for the state until it answers, if it does so without a request.
    fn ask_again(&mut self, now: Tick) {
        if self.prefetches && self.answered_at.is_some() {
            self.waiting_since.get_or_insert(now);
        }
    }

    /// Advances the estimates, lets tokens expire and, while the owner is silent, allows the share. `equal_rate` is
    /// an equal part of the limit's rate; `is_suspect` tells whether the owner is suspected to be dead.
    pub fn advance(&mut self, now: Tick, equal_rate: f64, is_suspect: bool) {
        let elapsed = now.since(self.stepped_at);
        self.stepped_at = now;
        let count = self.account.demand.load(Ordering::Relaxed);
        let requests = (count - self.demand_count) as f64;
        self.demand_count = count;
        for (demand, time) in self.demand.iter_mut().zip(DEMAND_TIMES) {
            let decay = (-elapsed.as_secs_f64() / time.as_secs_f64()).exp();
            *demand = *demand * decay + requests / time.as_secs_f64();
        }
        if now.0 >= self.account.held_until.load(Ordering::Acquire) {
            self.account.held.store(0, Ordering::Release);
        }
        let silence = self.silence(now);
        // All entries stop sending ahead, not only those that have an unanswered report.
        let was_suspect = std::mem::replace(&mut self.is_suspect, is_suspect);
        if is_suspect && !was_suspect && self.answered_at.is_some() {
            self.account.set_ahead(0, AheadSource::Suspicion);
            self.ask_again(now);
        }
        let was_silent = std::mem::replace(&mut self.is_silent, silence >= ANSWER_TIMEOUT);
        if self.is_silent && !was_silent && self.answered_at.is_some() {
            self.account.set_ahead(0, AheadSource::Silence);
        }
        self.account.low.store(self.target() / 2, Ordering::Relaxed);
        let state = self.state(now);
        self.account.publish(self.owner, state, self.answered_at, self.waiting_since);
        if silence >= ANSWER_TIMEOUT || is_suspect || self.answered_at.is_none() {
            self.allow_share(elapsed, silence, equal_rate);
        }
    }

    fn allow_share(&mut self, elapsed: Duration, silence: Duration, equal_rate: f64) {
        let is_unknown = self.answered_at.is_none();
        let rate = match () {
            () if is_unknown => equal_rate,
            () if silence >= FULL_SHARE_TIME => self.share.min(equal_rate),
            () => self.share,
        };
        let most = (rate * ANSWER_TIMEOUT.as_secs_f64()).max(1.0);
        self.share_credit = (self.share_credit + rate * elapsed.as_secs_f64()).min(most);
        let whole = self.share_credit.floor();
        if whole >= 1.0 && self.account.ahead.load(Ordering::Acquire) < most as i64 {
            self.share_credit -= whole;
            self.account.add_ahead(whole as i64, AheadSource::Share);
        }
    }

    /// Returns the time for which the owner has left a report unanswered.
    fn silence(&self, now: Tick) -> Duration {
        self.waiting_since.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Returns the report that is due, if there is one. `interval` is the time between two reports of an entry that
    /// has spent tokens and has more.
    pub fn next_report(&mut self, now: Tick, interval: Duration) -> Option<LimitReport> {
        self.owner?;
        if self.pending.is_some_and(|p| now.since(p.sent_at) < RESEND_AFTER) {
            return None;
        }
        let account = &self.account;
        // `held` before `spent`: a token that is spent in between is counted twice rather than not at all.
        let held = account.held.load(Ordering::Acquire).max(0);
        let spent = account.spent.load(Ordering::Acquire);
        let wanted = self.wanted(held);
        let since = self.last_sent_at.map_or(Duration::MAX, |at| now.since(at));
        // Rare requests are reported one by one in any case; at once, the owner knows them earlier.
        let news_interval = if self.target() == 0 { URGENT_INTERVAL } else { interval };
        let has_expired = held == 0 && self.recorded > 0;
        let has_news =
            spent != self.acknowledged || wanted > 0 || has_expired || self.pending.is_some();
        let is_idle_due = self.share > 0.0
            || (self.prefetches && (self.answered_at.is_none() || self.waiting_since.is_some()));
        // The message that opens the limit again may be lost, or the owner may not know this entry any more.
        let is_closed = held == 0 && account.ahead.load(Ordering::Acquire) <= 0;
        let is_unheard = self.heard_at.is_none_or(|at| now.since(at) >= MESSAGE_PATIENCE);
        let asks_again = is_closed && is_unheard && (self.prefetches || account.is_urgent());
        let is_urgent = account.is_urgent() && (spent != self.acknowledged || wanted > 0);
        let is_due = (is_urgent && since >= URGENT_INTERVAL)
            || (has_news && since >= news_interval)
            || (is_idle_due && since >= IDLE_INTERVAL)
            || (asks_again && since >= IDLE_INTERVAL.max(interval));
        let renews = held > 0 && since >= self.renewal_time();
        if !is_due && !renews {
            return None;
        }
        account.is_urgent.store(false, Ordering::Release);
        // Tokens that were not needed go back, so that callers that moved find them elsewhere.
        let is_unused = renews
            && std::mem::replace(&mut self.renewed_count, self.demand_count) == self.demand_count;
        let held = if is_unused {
            account.held.store(0, Ordering::Release);
            0
        } else {
            held
        };
        self.sequence += 1;
        self.last_sent_at = Some(now);
        self.waiting_since.get_or_insert(now);
        self.pending = Some(Pending { sequence: self.sequence, sent_at: now, spent, held });
        Some(LimitReport {
            limit: self.id,
            sequence: self.sequence,
            spent,
            acknowledged: self.acknowledged,
            held: held as u32,
            wanted,
        })
    }

    /// Applies the owner's answer, or an unsolicited change of the state.
    pub fn on_answer(&mut self, now: Tick, from: u64, answer: &LimitAnswer) {
        if self.owner != Some(from) {
            return;
        }
        self.heard_at = Some(now);
        self.is_open = answer.ahead > 0;
        if answer.sequence == 0 {
            let ahead = i64::from(answer.ahead);
            if self.waiting_since.is_none() {
                self.account.set_ahead(ahead, AheadSource::Notice);
            } else {
                // The answer to the report on the way accounts for what was spent.
                self.account.limit_ahead(ahead, AheadSource::Notice);
            }
            return;
        }
        // Only the answer to the last report counts: the owner takes the tokens of others back, because later
        // reports do not include them.
        let Some(pending) = self.pending.filter(|p| p.sequence == answer.sequence) else {
            return;
        };
        self.pending = None;
        self.waiting_since = None;
        self.answered_at = Some(now);
        self.acknowledged = pending.spent;
        self.recorded = pending.held + i64::from(answer.granted);
        self.share = f64::from(answer.share_hundredths) / 100.0;
        self.share_credit = 0.0;
        let account = &self.account;
        let until = pending.sent_at + GRANT_LIFETIME;
        if until > now {
            account.held_until.store(micros(until.since(Tick(0))), Ordering::Release);
            account.held.fetch_add(i64::from(answer.granted), Ordering::AcqRel);
            account.granted.fetch_add(u64::from(answer.granted), Ordering::Relaxed);
        }
        account.set_ahead(i64::from(answer.ahead), AheadSource::Answer);
    }

    /// Returns the tokens that the entry should hold for its demand.
    fn target(&self) -> i64 {
        let demand = self.demand[0].max(self.demand[1]);
        let target = (demand * self.hold_time.as_secs_f64()).ceil();
        if self.demand[1] < MIN_HOLD_RATE { 0 } else { target as i64 + 1 }
    }

    /// Returns the time after which tokens that are not spent are confirmed or returned: sooner for an entry that
    /// holds many.
    fn renewal_time(&self) -> Duration {
        let most = GRANT_LIFETIME / 2;
        Duration::from_secs_f64(4.0 / self.demand[1].max(1.0)).clamp(most / 3, most)
    }

    fn wanted(&self, held: i64) -> u32 {
        let missing = self.target() - held;
        // Less than a quarter is requested with the next report.
        if missing * 4 < self.target() { 0 } else { missing.max(0) as u32 }
    }

    /// Returns the state, for logs and the status.
    pub fn state(&self, now: Tick) -> LimitState {
        match self.answered_at {
            None => LimitState::Unknown,
            Some(_) if self.silence(now) >= ANSWER_TIMEOUT => LimitState::Silent,
            Some(_) if self.is_open => LimitState::Open,
            Some(_) => LimitState::Metered,
        }
    }

    /// Returns the time since the owner's last answer.
    pub fn answer_age(&self, now: Tick) -> Option<Duration> {
        self.answered_at.map(|at| now.since(at))
    }
}
