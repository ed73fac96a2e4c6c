//! The limits of one node: its entry's side of each, and the buckets of those that the node owns.

use {
    super::{
        account::{LimitAccount, LimitTable},
        bounds::{
            DRAIN_TIME, HANDOVER_TIME, MAX_PREFETCHES, PAUSE_THRESHOLD, REPORT_INTERVAL,
            SMALL_FLEET, TAKEOVER_DELAY, hold_time,
        },
        bucket::Bucket,
        entry_side::EntrySide,
        fleet_view::{FleetView, LimitMember},
        owner_choice::choose_owner,
        rule::{LimitRule, limit_id},
        status::LimitStatus,
    },
    crate::{
        config::WorkspaceLimit,
        schema::{LimitAnswer, LimitBatch, LimitReport, LimitTransfer},
        tick::Tick,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Most messages in one packet; the largest takes 45 bytes, so that packets stay below the maximum size.
const MAX_BATCH_MESSAGES: usize = 24;

/// Requests that an entry may send before it has heard of a limit that was in force before its start, unless many members
/// are missing.
const FIRST_AHEAD: i64 = 1;

/// Part of the fleet below which entries that have not heard of a limit send nothing: many processes that start again on
/// one side of a partition would exceed a low limit.
const MIN_PART_FOR_AHEAD: f64 = 0.7;

/// Seconds of the rate that an entry may send of a limit that was put in force while it ran, before it has heard of
/// its owner.
const NEW_LIMIT_SECONDS: f64 = 0.5;

/// Window for which the requirement bounds the requests of a limit.
const BOUND_WINDOW: Duration = Duration::from_secs(5);

/// Time in which a second transfer from the same node is a duplicate of the first.
const DUPLICATE_TIME: Duration = Duration::from_millis(500);

/// Packet that the node sends.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Receiving node.
    pub to: u64,
    /// Messages.
    pub batch: LimitBatch,
}

/// Ownership of one limit.
#[derive(Debug)]
struct Ownership {
    since: Tick,
    /// Start of the pause of this process in which no bucket was filled.
    paused_at: Option<Tick>,
    /// `None` while the node is silent because another may still act as the owner.
    bucket: Option<Bucket>,
    /// End of the time in which the node is the owner although its own list names another.
    handed_until: Option<Tick>,
    /// End of the time in which the node, no longer the owner, spends the tokens that it kept.
    drains_until: Option<Tick>,
    /// Sender and time of the last transfer.
    transfer: Option<(u64, Tick)>,
}

impl Ownership {
    fn new(now: Tick) -> Self {
        Self {
            since: now,
            paused_at: None,
            bucket: None,
            handed_until: None,
            drains_until: None,
            transfer: None,
        }
    }

    /// Discards the bucket, as after a pause that began at `paused_at`, and waits as a new owner does.
    fn discard_bucket(&mut self, now: Tick, paused_at: Tick) {
        self.since = now;
        if self.bucket.take().is_some() {
            self.paused_at = Some(paused_at);
        }
    }
}

#[derive(Debug)]
struct Limit {
    rule: LimitRule,
    entry: EntrySide,
    ownership: Option<Ownership>,
    /// Whether the limit was put in force while the node ran.
    is_new: bool,
}

/// The limits of one node. One task owns it; requests use the accounts of [`SharedLimits::table`].
#[derive(Debug)]
pub struct SharedLimits {
    node: u64,
    fleet: FleetView,
    limits: BTreeMap<u64, Limit>,
    has_rules: bool,
    /// Whether many members were missing when they were last set.
    lacked_members: bool,
    stepped_at: Tick,
    outgoing: BTreeMap<u64, LimitBatch>,
}

impl SharedLimits {
    /// Creates the limits of a node that has no rules and knows no members.
    pub fn new(now: Tick, node: u64) -> Self {
        Self {
            node,
            fleet: FleetView::default(),
            limits: BTreeMap::new(),
            has_rules: false,
            lacked_members: true,
            stepped_at: now,
            outgoing: BTreeMap::new(),
        }
    }

    /// Whether there is no limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the number of limits that this node owns.
    pub fn owned_count(&self) -> usize {
        self.limits.values().filter(|l| l.ownership.is_some()).count()
    }

    /// Returns the accounts by name.
    pub fn table(&self) -> LimitTable {
        let account = |l: &Limit| (Arc::clone(&l.rule.name), Arc::clone(l.entry.account()));
        self.limits.values().map(account).collect()
    }

    /// Replaces the rules. Tokens of limits that stay are kept.
    pub fn set_rules(&mut self, now: Tick, rules: impl IntoIterator<Item = LimitRule>) {
        let mut previous = std::mem::take(&mut self.limits);
        for rule in rules {
            let id = limit_id(&rule.name);
            let mut limit = match previous.remove(&id) {
                Some(mut limit) => {
                    let bucket = limit.ownership.as_mut().and_then(|o| o.bucket.as_mut());
                    if let Some(bucket) = bucket.filter(|_| limit.rule.limit != rule.limit) {
                        bucket.set_limit(rule.limit);
                    }
                    Limit { rule, ..limit }
                }
                None => self.new_limit(now, id, rule),
            };
            limit.entry.account().set_limit(limit.rule.limit);
            limit.entry.set_hold_time(hold_time(limit.rule.limit));
            self.limits.insert(id, limit);
        }
        self.has_rules = true;
        self.update_owners(now);
    }

    fn new_limit(&self, now: Tick, id: u64, rule: LimitRule) -> Limit {
        let account = Arc::<LimitAccount>::default();
        let ahead = match () {
            () if self.has_rules => {
                let requests = (rule.limit.requests_per_second * NEW_LIMIT_SECONDS).ceil() as i64;
                requests.max(FIRST_AHEAD)
            }
            () if self.lacks_members(now) => 0,
            () => FIRST_AHEAD,
        };
        let entry = EntrySide::new(now, id, account, ahead);
        Limit { rule, entry, ownership: None, is_new: self.has_rules }
    }

    /// Replaces the live members, this node among them.
    pub fn set_members(&mut self, now: Tick, members: impl IntoIterator<Item = LimitMember>) {
        self.fleet.set(now, members);
        let lacks_members = self.lacks_members(now);
        if std::mem::replace(&mut self.lacked_members, lacks_members) != lacks_members {
            let size = self.fleet.recent_len(now);
            for limit in self.limits.values() {
                let is_allowed = !lacks_members && allows_first_ahead(limit.rule.limit, size);
                limit.entry.set_first_ahead(if is_allowed { FIRST_AHEAD } else { 0 });
            }
        }
        self.update_owners(now);
    }

    /// Whether so many members are missing that the node is probably on one side of a partition.
    fn lacks_members(&self, now: Tick) -> bool {
        self.fleet.part(now) < MIN_PART_FOR_AHEAD
    }

    /// Records the number of members of the fleet that the store names, 0 if it names none. Until then, and while the node
    /// has met no other one, it admits nothing.
    pub fn set_registered_size(&mut self, now: Tick, members: usize) {
        self.fleet.set_registered_size(now, members);
    }

    /// Returns the number of live members and of those that may be cut off; `None` while it is not known.
    pub fn fleet_size(&self, now: Tick) -> Option<usize> {
        self.fleet.is_size_known().then(|| self.fleet.recent_len(now))
    }

    /// Whether the store names more members than the node has seen lately.
    pub fn is_short_of_registered(&self, now: Tick) -> bool {
        self.fleet.is_short_of_registered(now)
    }

    fn update_owners(&mut self, now: Tick) {
        let prefetches = self.limits.len() * self.fleet.len() <= MAX_PREFETCHES;
        for (id, limit) in &mut self.limits {
            let owner = choose_owner(*id, self.fleet.candidates());
            let previous = limit.entry.owner();
            let is_handed = limit
                .ownership
                .as_ref()
                .is_some_and(|o| o.handed_until.is_some_and(|until| now < until));
            if owner == Some(self.node) {
                let ownership = limit.ownership.get_or_insert(Ownership::new(now));
                ownership.drains_until = None;
                if limit.is_new {
                    ownership.bucket =
                        Some(Bucket::with_free(now, *id, limit.rule.limit, f64::MAX));
                }
            } else if !is_handed
                && let Some(ownership) = &mut limit.ownership
                && ownership.drains_until.is_none()
            {
                ownership.drains_until = Some(now + DRAIN_TIME);
                if let (Some(bucket), Some(owner)) = (&mut ownership.bucket, owner) {
                    let tokens = bucket.take_part(0.5);
                    log::info!(
                        target: "limits", limit = &*limit.rule.name, tokens,
                        to = format!("{owner:016x}").as_str();
                        "limit handed over"
                    );
                    push_transfer(&mut self.outgoing, owner, LimitTransfer { limit: *id, tokens });
                }
            }
            limit.is_new = false;
            // While this node acts as the owner, its own entry reports to it.
            let owner =
                if limit.ownership.is_some() && is_handed { Some(self.node) } else { owner };
            let is_lost = previous.is_some_and(|p| self.fleet.get(p).is_none());
            limit.entry.set_owner(now, owner, prefetches, is_lost);
            if previous != owner && previous.is_some() {
                log::info!(
                    target: "limits", limit = &*limit.rule.name,
                    owner = format!("{:016x}", owner.unwrap_or(0)).as_str();
                    "owner of the limit changed"
                );
            }
        }
    }

    /// Advances all limits to `now`; returns the packets to send. Expected every 20 to 50 ms, and when an account
    /// is urgent.
    pub fn step(&mut self, now: Tick) -> Vec<Outgoing> {
        let stepped_at = std::mem::replace(&mut self.stepped_at, now);
        if now.since(stepped_at) >= PAUSE_THRESHOLD {
            self.discard(now, stepped_at);
        }
        let ended = |o: &Ownership| o.handed_until.is_some_and(|until| now >= until);
        if self.limits.values().any(|l| l.ownership.as_ref().is_some_and(ended)) {
            for ownership in self.limits.values_mut().filter_map(|l| l.ownership.as_mut()) {
                ownership.handed_until = ownership.handed_until.filter(|until| now < *until);
            }
            self.update_owners(now);
        }
        let part = self.fleet.part(now);
        let equal_part = self.fleet_size(now).map_or(0.0, |size| 1.0 / size as f64);
        let interval =
            REPORT_INTERVAL.mul_f64((self.fleet.len() as f64 / SMALL_FLEET as f64).max(1.0));
        for (id, limit) in &mut self.limits {
            let owner = limit.entry.owner();
            if limit
                .ownership
                .as_ref()
                .and_then(|o| o.drains_until)
                .is_some_and(|until| now >= until)
            {
                let bucket = limit.ownership.take().and_then(|o| o.bucket);
                if let (Some(mut bucket), Some(owner)) = (bucket, owner) {
                    let tokens = bucket.take_part(1.0);
                    push_transfer(&mut self.outgoing, owner, LimitTransfer { limit: *id, tokens });
                }
            }
            if let Some(ownership) = &mut limit.ownership {
                let part = if ownership.drains_until.is_some() { 0.0 } else { part };
                if ownership.bucket.is_none()
                    && ownership.drains_until.is_none()
                    && now.since(ownership.since) >= TAKEOVER_DELAY
                {
                    log::info!(target: "limits", limit = &*limit.rule.name; "limit taken over");
                    let paused_at = ownership.paused_at.take();
                    let unfilled = paused_at.map_or(Duration::ZERO, |at| now.since(at));
                    let bucket = Bucket::new(now, *id, limit.rule.limit, part);
                    ownership.bucket = Some(bucket.with_arrears(unfilled, part));
                }
                if let Some(bucket) = &mut ownership.bucket {
                    bucket.advance(now, part, |node| self.fleet.get(node).is_some());
                    for (answer, to) in bucket.change_state(now).into_iter().flat_map(spread) {
                        push_answer(&mut self.outgoing, to, answer);
                    }
                }
            }
            let is_suspect = owner.and_then(|o| self.fleet.get(o)).is_some_and(|m| m.is_suspect);
            let equal_rate = limit.rule.limit.requests_per_second * equal_part;
            limit.entry.advance(now, equal_rate, is_suspect);
            if let Some(report) = limit.entry.next_report(now, interval)
                && let Some(owner) = owner
            {
                let batch = self.outgoing.entry(owner).or_insert_with(empty_batch);
                batch.reports.push(report);
            }
        }
        self.flush(now)
    }

    /// Processes the messages of another node; returns the packets to send.
    pub fn receive(&mut self, now: Tick, from: u64, batch: &LimitBatch) -> Vec<Outgoing> {
        self.apply(now, from, batch);
        self.flush(now)
    }

    fn apply(&mut self, now: Tick, from: u64, batch: &LimitBatch) {
        for report in &batch.reports {
            if let Some(answer) = self.on_report(now, from, report) {
                push_answer(&mut self.outgoing, from, answer);
            }
        }
        for answer in &batch.answers {
            if let Some(limit) = self.limits.get_mut(&answer.limit) {
                limit.entry.on_answer(now, from, answer);
            }
        }
        for transfer in &batch.transfers {
            self.on_transfer(now, from, transfer);
        }
    }

    fn on_report(&mut self, now: Tick, from: u64, report: &LimitReport) -> Option<LimitAnswer> {
        let limit = self.limits.get_mut(&report.limit)?;
        limit.ownership.as_mut()?.bucket.as_mut()?.on_report(now, from, report)
    }

    fn on_transfer(&mut self, now: Tick, from: u64, transfer: &LimitTransfer) {
        let Some(limit) = self.limits.get_mut(&transfer.limit) else {
            return;
        };
        let is_owner = limit.ownership.as_ref().is_some_and(|o| o.drains_until.is_none());
        let ownership = limit.ownership.get_or_insert(Ownership::new(now));
        let is_duplicate = |(node, at): (u64, Tick)| node == from && now.since(at) < DUPLICATE_TIME;
        if ownership.transfer.is_some_and(is_duplicate) {
            return;
        }
        ownership.transfer = Some((from, now));
        if !is_owner {
            ownership.handed_until = Some(now + HANDOVER_TIME);
            ownership.drains_until = None;
            limit.entry.set_owner(now, Some(self.node), true, false);
        }
        let rule = limit.rule.limit;
        let bucket = ownership
            .bucket
            .get_or_insert_with(|| Bucket::with_free(now, transfer.limit, rule, 0.0));
        bucket.add(f64::from(transfer.tokens));
    }

    /// Discards all tokens: after a pause, other nodes may have taken over.
    fn discard(&mut self, now: Tick, paused_at: Tick) {
        for limit in self.limits.values_mut() {
            limit.entry.discard(now);
            if let Some(ownership) = &mut limit.ownership {
                ownership.discard_bucket(now, paused_at);
            }
        }
    }

    /// Takes the packets to send; the messages of this node to itself are processed instead.
    fn flush(&mut self, now: Tick) -> Vec<Outgoing> {
        while let Some(batch) = self.outgoing.remove(&self.node) {
            self.apply(now, self.node, &batch);
        }
        std::mem::take(&mut self.outgoing)
            .into_iter()
            .flat_map(|(to, batch)| split(batch).map(move |batch| Outgoing { to, batch }))
            .collect()
    }

    /// Returns all limits, for operators.
    pub fn status(&self, now: Tick) -> Vec<LimitStatus> {
        let limits = self.limits.values().map(|limit| {
            let account = limit.entry.account();
            let bucket = limit.ownership.as_ref().and_then(|o| o.bucket.as_ref());
            LimitStatus {
                name: Arc::clone(&limit.rule.name),
                requests_per_second: limit.rule.limit.requests_per_second,
                burst: limit.rule.limit.burst,
                owner: limit.entry.owner(),
                state: limit.entry.state(now),
                level: bucket.map(Bucket::level),
                held: account.held.load(Ordering::Relaxed),
                spent: account.spent.load(Ordering::Relaxed),
                refused: account.refused.load(Ordering::Relaxed),
                answer_age_ms: limit.entry.answer_age(now).map(|age| age.as_millis() as u64),
            }
        });
        limits.collect()
    }
}

/// Whether a limit covers a request ahead of a report at half of all nodes, as after a restart of all of them.
fn allows_first_ahead(limit: WorkspaceLimit, nodes: usize) -> bool {
    limit.requests_per_second * BOUND_WINDOW.as_secs_f64() + limit.burst > nodes as f64 / 2.0
}

fn empty_batch() -> LimitBatch {
    LimitBatch { reports: Vec::new(), answers: Vec::new(), transfers: Vec::new() }
}

fn push_answer(outgoing: &mut BTreeMap<u64, LimitBatch>, to: u64, answer: LimitAnswer) {
    outgoing.entry(to).or_insert_with(empty_batch).answers.push(answer);
}

fn push_transfer(outgoing: &mut BTreeMap<u64, LimitBatch>, to: u64, transfer: LimitTransfer) {
    outgoing.entry(to).or_insert_with(empty_batch).transfers.push(transfer);
}

fn spread((answer, to): (LimitAnswer, Vec<u64>)) -> impl Iterator<Item = (LimitAnswer, u64)> {
    to.into_iter().map(move |to| (answer.clone(), to))
}

/// Splits messages into batches that fit a packet.
fn split(batch: LimitBatch) -> impl Iterator<Item = LimitBatch> {
    let mut batches = Vec::new();
    let (mut reports, mut answers) = (batch.reports.into_iter(), batch.answers.into_iter());
    let mut transfers = batch.transfers.into_iter();
    loop {
        let mut next = empty_batch();
        next.reports.extend(reports.by_ref().take(MAX_BATCH_MESSAGES));
        let room = MAX_BATCH_MESSAGES - next.reports.len();
        next.answers.extend(answers.by_ref().take(room));
        let room = room - next.answers.len();
        next.transfers.extend(transfers.by_ref().take(room));
        if next == empty_batch() {
            return batches.into_iter();
        }
        batches.push(next);
    }
}
