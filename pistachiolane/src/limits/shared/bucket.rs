//! The owner's side of one limit: the token bucket, and the tokens that entries hold of it.

use {
    super::bounds::{
        GRANT_LIFETIME, MAX_AHEAD, MAX_ARREARS_TIME, MAX_DEFERRED_FILL, MAX_SHARE_FACTOR,
        MIN_AHEAD, MIN_CAPACITY, MIN_SHARE, REOPEN_INTERVAL_S, RESEND_AFTER, SILENT_AFTER,
        YOUNG_TIME, first_fill, metered_below, spare,
    },
    crate::{
        config::WorkspaceLimit,
        schema::{LimitAnswer, LimitReport},
        tick::Tick,
    },
    std::{collections::HashMap, time::Duration},
};

/// Time constant of the estimate of an entry's rate.
const RATE_TIME: Duration = Duration::from_secs(2);

/// Time after which an entry without tokens and share is removed.
const ENTRY_RETENTION: Duration = Duration::from_secs(120);

/// Part of the free tokens that all active entries may hold beyond what they requested while the bucket is open.
const SPREAD_PART: f64 = 0.15;

/// What the owner records of an entry.
#[derive(Debug)]
struct EntryRecord {
    sequence: u32,
    /// Tokens that the entry has reported as spent.
    spent: i64,
    /// Tokens granted that the entry may still spend.
    outstanding: f64,
    /// Tokens debited because the entry is silent and may spend its share.
    reserved: f64,
    /// Average rate of its spending in requests per second.
    rate: f64,
    /// Rate that the entry may use while the owner is silent, in requests per second.
    share: f64,
    heard_at: Tick,
}

/// Token bucket of one limit. `free` and what the entries hold together never exceed the burst and [`spare`].
#[derive(Debug)]
pub struct Bucket {
    id: u64,
    limit: WorkspaceLimit,
    /// Part of the rate that this part of the fleet uses.
    part: f64,
    free: f64,
    filled_at: Tick,
    entries: HashMap<u64, EntryRecord>,
    /// Fill that had no room, up to [`MAX_DEFERRED_FILL`].
    deferred: f64,
    /// Fill of the time in which the limit had no bucket. It pays only for what entries spent in that time.
    arrears: f64,
    is_open: bool,
    /// Requests ahead of a report that entries were last told in unsolicited answers.
    told_ahead: u32,
    told_at: Tick,
    created_at: Tick,
    /// Number of entries that spent lately, at the last call of [`Self::advance`].
    active: usize,
    /// Rate of all entries in requests per second, at the last call of [`Self::advance`].
    total_rate: f64,
}

impl Bucket {
    /// Creates a bucket whose previous state is lost.
    pub fn new(now: Tick, id: u64, limit: WorkspaceLimit, part: f64) -> Self {
        Self::with_part(now, id, limit, part, first_fill(limit, part))
    }

    /// Creates a bucket with `free` tokens, at most a full one.
    pub fn with_free(now: Tick, id: u64, limit: WorkspaceLimit, free: f64) -> Self {
        Self::with_part(now, id, limit, 1.0, free)
    }

    fn with_part(now: Tick, id: u64, limit: WorkspaceLimit, part: f64, free: f64) -> Self {
        let free = free.min(limit.burst + spare(limit));
        let is_open = free >= metered_below(limit, part);
        Self {
            id,
            limit,
            part,
            free,
            filled_at: now,
            entries: HashMap::new(),
            deferred: 0.0,
            arrears: 0.0,
            is_open,
            told_ahead: if is_open { MIN_AHEAD } else { 0 },
            told_at: now,
            created_at: now,
            active: 1,
            total_rate: 0.0,
        }
    }

    /// Pays what entries spent during `time`, in which the limit had no bucket, from the fill of that time.
    #[must_use]
    pub fn with_arrears(self, time: Duration, part: f64) -> Self {
        let time = time.min(MAX_ARREARS_TIME);
        Self { arrears: self.rate(part) * time.as_secs_f64(), ..self }
    }

    /// Puts a changed rate and burst in force.
    pub fn set_limit(&mut self, limit: WorkspaceLimit) {
        self.limit = limit;
        // A debt under the previous limit would keep a much lower one closed for long.
        self.free = self.free.clamp(0.0, limit.burst + spare(limit));
    }

    /// Adds tokens that the previous owner handed over.
    pub fn add(&mut self, tokens: f64) {
        self.free = (self.free + tokens).min(self.limit.burst + spare(self.limit));
        self.is_open |= self.free >= self.closed_below();
    }

    /// Removes and returns a part of the free tokens, in whole ones.
    pub fn take_part(&mut self, part: f64) -> u32 {
        let tokens = (self.free.max(0.0) * part) as u32;
        self.free -= f64::from(tokens);
        tokens
    }

    /// Returns the tokens that no entry holds.
    pub fn level(&self) -> f64 {
        self.free
    }

    /// Returns the rate that this part of the fleet uses, in requests per second.
    pub fn rate(&self, part: f64) -> f64 {
        self.limit.requests_per_second * part
    }

    /// Fills the bucket, and debits the shares of entries that are silent. `part` is the part of the fleet that is
    /// in touch, `is_member` tells whether a node is a live member: one that is not is no longer debited, because
    /// `part` covers it.
    pub fn advance(&mut self, now: Tick, part: f64, is_member: impl Fn(u64) -> bool) {
        let elapsed = now.since(self.filled_at);
        self.filled_at = now;
        let lifetime = GRANT_LIFETIME + RESEND_AFTER;
        let mut held = 0.0;
        (self.active, self.total_rate) = (0, 0.0);
        for (node, entry) in &mut self.entries {
            let silence = now.since(entry.heard_at);
            if silence < lifetime {
                held += entry.outstanding.max(0.0);
            }
            let rate = entry.rate * (-silence.as_secs_f64() / RATE_TIME.as_secs_f64()).exp();
            self.total_rate += rate.max(entry.share);
            self.active += usize::from(silence < RATE_TIME && entry.rate > 0.0);
            if silence >= SILENT_AFTER && entry.share > 0.0 && is_member(*node) {
                let reserved = entry.share * silence.as_secs_f64();
                self.free -= reserved - entry.reserved;
                entry.reserved = reserved;
            }
        }
        self.entries.retain(|node, e| {
            now.since(e.heard_at) < ENTRY_RETENTION || (e.share > 0.0 && is_member(*node))
        });
        self.part = part;
        let capacity = self.capacity();
        let room = (capacity - held - self.free).max(0.0);
        let due = self.rate(part) * elapsed.as_secs_f64() + self.deferred;
        let fill = due.min(room);
        self.free += fill;
        let most_deferred = self.rate(part) * MAX_DEFERRED_FILL.as_secs_f64();
        self.deferred = if held > 0.0 { (due - fill).min(most_deferred) } else { 0.0 };
    }

    /// Accounts for a report and answers it; `None` if a newer one was answered already.
    pub fn on_report(&mut self, now: Tick, from: u64, report: &LimitReport) -> Option<LimitAnswer> {
        let held = f64::from(report.held);
        let limit = self.limit;
        let is_first = !self.entries.contains_key(&from);
        let entry = self.entries.entry(from).or_insert_with(|| EntryRecord {
            sequence: 0,
            spent: report.acknowledged,
            // Tokens of the previous owner, which that one has debited.
            outstanding: held,
            reserved: 0.0,
            rate: 0.0,
            share: 0.0,
            heard_at: now,
        });
        if report.sequence <= entry.sequence {
            return None;
        }
        let elapsed = now.since(entry.heard_at);
        let was_active = elapsed < RATE_TIME && entry.rate > 0.0;
        let spent = (report.spent - entry.spent) as f64;
        let weight = 1.0 - (-elapsed.as_secs_f64() / RATE_TIME.as_secs_f64()).exp();
        entry.rate = (entry.rate * (1.0 - weight) + spent.max(0.0) / RATE_TIME.as_secs_f64())
            .min(limit.requests_per_second);
        self.active += usize::from(!was_active && spent > 0.0);
        // What the entry neither spent nor holds comes back, what it spent ahead is debited.
        self.free += entry.outstanding + entry.reserved - spent - held;
        if is_first && now.since(self.created_at) < YOUNG_TIME {
            let paid = spent.clamp(0.0, self.arrears);
            self.arrears -= paid;
            self.free += paid;
        }
        entry.reserved = 0.0;
        entry.sequence = report.sequence;
        entry.spent = report.spent;
        entry.heard_at = now;
        self.free = self.free.min(limit.burst + spare(limit) - held);
        self.close_if_low();
        let granted = self.grant(report.wanted, report.held);
        self.free -= f64::from(granted);
        let ahead = self.ahead(now);
        let entry = self.entries.get_mut(&from)?;
        let total_rate = self.total_rate.max(entry.rate);
        let scale =
            (limit.requests_per_second / total_rate.max(f64::MIN_POSITIVE)).min(MAX_SHARE_FACTOR);
        entry.outstanding = held + f64::from(granted);
        entry.share = if entry.rate >= MIN_SHARE { entry.rate * scale } else { 0.0 };
        let share_hundredths = (entry.share * 100.0) as u32;
        Some(LimitAnswer {
            limit: self.id,
            sequence: report.sequence,
            granted,
            ahead,
            share_hundredths,
        })
    }

    /// Opens or closes the bucket; if what entries may send ahead changed much, returns the unsolicited answer and
    /// the entries that receive it.
    pub fn change_state(&mut self, now: Tick) -> Option<(LimitAnswer, Vec<u64>)> {
        self.close_if_low();
        let high = (2.0 * self.closed_below() + 1.0).min(self.capacity());
        // What the bucket gains while it is closed has to fit in it.
        let fill_time = (self.limit.burst + spare(self.limit)) / self.limit.requests_per_second;
        let (least, most) = (*REOPEN_INTERVAL_S.start(), *REOPEN_INTERVAL_S.end());
        let interval = Duration::from_secs_f64((0.5 * fill_time).clamp(least, most));
        let since_told = now.since(self.told_at);
        self.is_open |= self.free >= high && since_told >= interval;
        let ahead = self.ahead(now);
        let is_changed = match (self.told_ahead, ahead) {
            (told, 0) => told > 0,
            (0, _) => true,
            (told, ahead) => {
                (ahead >= told * 2 && since_told.as_secs_f64() >= most)
                    || (ahead <= told / 4 && since_told.as_secs_f64() >= least)
            }
        };
        if !is_changed {
            return None;
        }
        (self.told_ahead, self.told_at) = (ahead, now);
        let answer =
            LimitAnswer { limit: self.id, sequence: 0, granted: 0, ahead, share_hundredths: 0 };
        Some((answer, self.entries.keys().copied().collect()))
    }

    /// Whether entries may send requests ahead of their reports.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    fn close_if_low(&mut self) {
        self.is_open &= self.free >= self.closed_below();
    }

    /// Returns the tokens of a full bucket. A small part of the fleet still gets whole ones.
    fn capacity(&self) -> f64 {
        let tokens = self.part * (self.limit.burst + spare(self.limit));
        if self.part > 0.0 { tokens.max(MIN_CAPACITY) } else { 0.0 }
    }

    /// Returns the tokens below which entries spend only granted ones.
    fn closed_below(&self) -> f64 {
        metered_below(self.limit, self.part)
    }

    /// Returns the tokens for an entry that requests some: while the bucket is open more, so that a sudden rise
    /// at one entry is served from what it holds.
    fn grant(&self, wanted: u32, held: u32) -> u32 {
        if wanted == 0 {
            return 0;
        }
        let available = self.free.max(0.0);
        let spread = (available * SPREAD_PART / self.active.max(1) as f64) as u32;
        let wanted = if self.is_open { wanted.max(spread.saturating_sub(held)) } else { wanted };
        let most = if self.is_open { available / 2.0 } else { available };
        wanted.min(most as u32)
    }

    fn ahead(&self, now: Tick) -> u32 {
        if !self.is_open {
            return 0;
        }
        if now.since(self.created_at) < YOUNG_TIME {
            return MIN_AHEAD;
        }
        // Entries that spend little share what few of them will use.
        ((self.free / (4.0 * (self.active as f64 / 4.0).max(1.0))) as u32)
            .clamp(MIN_AHEAD, MAX_AHEAD)
    }
}
