//! Wait queue of a gate: ordered by urgency, round-robin between workspaces or calling services, and first in, first
//! out within one of them, except that attempts that can still be on time go first.

use {
    super::{Gate, Urgency, served_shares::ServedShares},
    crate::{schema::AttemptHeader, tick::Tick},
    std::{
        cmp::Ordering,
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Item that left the queue, with the reason.
#[derive(Debug, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// A slot was taken for the item; the caller of [`WaitQueue::next`] runs it.
    Run(T),
    /// The deadline of the item passed; it is not run.
    Expired(T),
    /// The upstream is draining or no longer announces itself, or its zone is evacuated; the item is not run there.
    UpstreamUnavailable(T),
    /// The queue exceeds its bound, or what the rate in force starts in time. The item would have been late, or was the
    /// newest of the longest least urgent sub-queue; it is not run.
    Shed(T),
}

/// Key of a sub-queue of waiting attempts. The most urgent sub-queues are served first, round-robin between workspaces
/// or calling services.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Urgency of the attempts.
    pub urgency: Urgency,
    /// Calling service, or [`WORKSPACE_PREFIX`] and the name of the workspace.
    pub caller: Arc<str>,
}

/// Start of the key of a workspace, which no name of a service contains.
const WORKSPACE_PREFIX: &str = "workspace/";

impl QueueKey {
    /// Returns the sub-queue of an attempt: that of its workspace if it has one, or else of its calling service.
    pub fn for_attempt(attempt: &AttemptHeader, urgency: Urgency) -> Self {
        let caller = if attempt.workspace.is_empty() {
            Arc::clone(&attempt.caller)
        } else {
            Arc::from(format!("{WORKSPACE_PREFIX}{}", attempt.workspace))
        };
        Self { urgency, caller }
    }

    /// Whether this is the sub-queue of a workspace.
    pub fn is_workspace(&self) -> bool {
        self.caller.starts_with(WORKSPACE_PREFIX)
    }
}

/// Latest start times of a waiting attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartDeadlines {
    /// Latest start after which the attempt may still complete before the call's deadline; after it, the
    /// attempt isn't run.
    pub deadline: Tick,
    /// Latest start for a response within the target latency; after it, attempts that can still be on
    /// time are run before this one.
    pub on_time: Tick,
    /// Expected service time; zero if unknown.
    pub service_time: Duration,
}

impl From<Tick> for StartDeadlines {
    fn from(deadline: Tick) -> Self {
        Self { deadline, on_time: deadline, service_time: Duration::ZERO }
    }
}

#[derive(Debug)]
struct QueuedAttempt<T> {
    item: T,
    start_deadlines: StartDeadlines,
    /// Number of attempts that were queued before it.
    arrival: u64,
}

/// Waiting attempts in sub-queues by urgency and workspace or calling service.
///
/// Owned by one task. The [`Gate`] counts the places and limits their number.
#[derive(Debug)]
pub struct WaitQueue<T> {
    sub_queues: BTreeMap<QueueKey, VecDeque<QueuedAttempt<T>>>,
    last_served: Option<QueueKey>,
    arrivals: u64,
    shares: ServedShares,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            sub_queues: BTreeMap::new(),
            last_served: None,
            arrivals: 0,
            shares: ServedShares::default(),
        }
    }
}

impl<T> WaitQueue<T> {
    /// Adds an item for which [`Gate::admit`] took a place.
    pub fn push(&mut self, key: QueueKey, start_deadlines: impl Into<StartDeadlines>, item: T) {
        self.arrivals += 1;
        self.shares.record_offered(&key);
        let arrival = self.arrivals;
        let attempt = QueuedAttempt { item, start_deadlines: start_deadlines.into(), arrival };
        self.sub_queues.entry(key).or_default().push_back(attempt);
    }

    /// Removes and returns the newest attempt of a sub-queue if it isn't expected to start in time, for attempts that
    /// [`Gate::admit_by_turn`] admitted.
    ///
    /// Its place follows from the turns: behind as many attempts of each other workspace as of its own. So what one
    /// workspace has waiting delays its own attempts, not those of others.
    pub fn remove_newest_if_late(&mut self, now: Tick, gate: &Gate, key: &QueueKey) -> Option<T> {
        let attempts = self.sub_queues.get(key)?;
        let start = attempts.back()?.start_deadlines;
        let ahead =
            self.sub_queues.iter().map(|(other, waiting)| match other.urgency.cmp(&key.urgency) {
                Ordering::Less => waiting.len(),
                Ordering::Equal => waiting.len().min(attempts.len()),
                Ordering::Greater => 0,
            });
        let expected_start = now + gate.expected_wait(now, ahead.sum::<usize>() as u32);
        if expected_start <= start.on_time.min(start.deadline) {
            return None;
        }
        gate.release_queue_place();
        Some(self.remove(key, attempts.len() - 1)?.item)
    }

    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.sub_queues.values().map(VecDeque::len).sum()
    }

    /// Returns the longest expected service time of the waiting items; `None` if there are none.
    pub fn longest_service_time(&self) -> Option<Duration> {
        self.sub_queues.values().flatten().map(|a| a.start_deadlines.service_time).max()
    }

    /// Whether no item is waiting.
    pub fn is_empty(&self) -> bool {
        self.sub_queues.is_empty()
    }

    /// Removes and returns the next item that must leave the queue, because the upstream is draining,
    /// absent or in an evacuated zone, the queue exceeds its bound, the item expired, or a slot is free; `None` if there is none.
    ///
    /// Items for which `is_cancelled` holds are dropped, because their callers disconnected.
    pub fn next(
        &mut self,
        now: Tick,
        gate: &Gate,
        is_cancelled: impl Fn(&T) -> bool,
    ) -> Option<Dequeued<T>> {
        self.shares.decay(now);
        let next = self.remove_next(now, gate, is_cancelled);
        gate.publish_queue(&self.len_by_urgency());
        next
    }

    fn len_by_urgency(&self) -> [u32; Urgency::LEVELS] {
        let mut lengths = [0; Urgency::LEVELS];
        for (key, attempts) in &self.sub_queues {
            lengths[key.urgency.level()] += attempts.len() as u32;
        }
        lengths
    }

    fn remove_next(
        &mut self,
        now: Tick,
        gate: &Gate,
        is_cancelled: impl Fn(&T) -> bool,
    ) -> Option<Dequeued<T>> {
        if !gate.runs_queued_attempts(now) {
            let (key, _) = self.sub_queues.first_key_value()?;
            let attempt = self.remove(&key.clone(), 0)?;
            gate.release_queue_place();
            return Some(Dequeued::UpstreamUnavailable(attempt.item));
        }
        let is_over_bound = self.len() > gate.queue_bound() as usize;
        if is_over_bound && let Some((key, index)) = self.find_late(now) {
            gate.release_queue_place();
            return self.remove(&key, index).map(|attempt| Dequeued::Shed(attempt.item));
        }
        if is_over_bound || self.last_is_too_late(now, gate) {
            gate.release_queue_place();
            return self.shed_newest_of_longest().map(Dequeued::Shed);
        }
        loop {
            if let Some((key, index)) = self.find_expired_or_cancelled(now, &is_cancelled) {
                let attempt = self.remove(&key, index)?;
                gate.release_queue_place();
                if is_cancelled(&attempt.item) {
                    continue;
                }
                return Some(Dequeued::Expired(attempt.item));
            }
            let (key, index) = self.next_startable(now, gate)?;
            if !gate.try_start(now) {
                return None;
            }
            let attempt = self.remove(&key, index)?;
            gate.release_queue_place();
            self.shares.record_started(&key);
            self.last_served = Some(key);
            return Some(Dequeued::Run(attempt.item));
        }
    }

    /// Finds an attempt whose caller disconnected or whose deadline passed.
    fn find_expired_or_cancelled(
        &self,
        now: Tick,
        is_cancelled: impl Fn(&T) -> bool,
    ) -> Option<(QueueKey, usize)> {
        self.sub_queues.iter().find_map(|(key, attempts)| {
            let expired_or_cancelled =
                |a: &QueuedAttempt<T>| a.start_deadlines.deadline <= now || is_cancelled(&a.item);
            attempts.iter().position(expired_or_cancelled).map(|index| (key.clone(), index))
        })
    }

    /// Finds an attempt that will be late, of the least urgent ones first. While the queue is full, those that can be on
    /// time go before it until its deadline, and its caller could not try again by then.
    fn find_late(&self, now: Tick) -> Option<(QueueKey, usize)> {
        self.sub_queues.iter().rev().find_map(|(key, attempts)| {
            let index = attempts.iter().position(|a| a.start_deadlines.on_time <= now)?;
            Some((key.clone(), index))
        })
    }

    /// Returns the place of the next attempt that is not deferred by a slow phase of the upstream: that of
    /// the sub-queue whose turn it is, or else of the most urgent other one.
    fn next_startable(&self, now: Tick, gate: &Gate) -> Option<(QueueKey, usize)> {
        let first = self.next_key()?;
        let others = self.sub_queues.keys().filter(|key| **key != first);
        std::iter::once(&first).chain(others).find_map(|key| {
            let index = self.index_of_next_on_time(key, now);
            let start = self.sub_queues.get(key)?.get(index)?.start_deadlines;
            let is_deferred = start.on_time > now && gate.slowness.defers(now, start.service_time);
            (!is_deferred).then(|| (key.clone(), index))
        })
    }

    /// Returns the index of the first attempt in a sub-queue that can still be on time, or 0 if there is none.
    fn index_of_next_on_time(&self, key: &QueueKey, now: Tick) -> usize {
        let attempts = self.sub_queues.get(key);
        attempts
            .and_then(|queue| queue.iter().position(|a| a.start_deadlines.on_time > now))
            .unwrap_or(0)
    }

    /// Whether the rate in force starts the attempt that would be shed only after its deadline. A rate that came into
    /// force after attempts were queued thus refuses those at once that it leaves no room for.
    fn last_is_too_late(&self, now: Tick, gate: &Gate) -> bool {
        let position = u32::try_from(self.len()).unwrap_or(u32::MAX);
        let wait = gate.stated_rate.wait(now, position);
        if wait.is_zero() {
            return false;
        }
        let last = self.longest_of_least_urgent().and_then(|key| self.sub_queues.get(key)?.back());
        last.is_some_and(|a| now + wait > a.start_deadlines.deadline)
    }

    /// Returns the longest of the least urgent sub-queues; of several that are as long, the one whose last attempt
    /// arrived last, so that the order of names decides nothing.
    fn longest_of_least_urgent(&self) -> Option<&QueueKey> {
        let longest = self.sub_queues.iter().max_by_key(|(key, attempts)| {
            (key.urgency, attempts.len(), attempts.back().map(|a| a.arrival))
        });
        longest.map(|(key, _)| key)
    }

    /// Removes the newest attempt of the longest of the least urgent sub-queues.
    fn shed_newest_of_longest(&mut self) -> Option<T> {
        let key = self.longest_of_least_urgent()?.clone();
        let attempts = self.sub_queues.get_mut(&key)?;
        let attempt = attempts.pop_back()?;
        if attempts.is_empty() {
            self.sub_queues.remove(&key);
        }
        Some(attempt.item)
    }

    /// Returns the next of the most urgent sub-queues: that of an underserved workspace, or else the one whose turn it
    /// is after the last one served.
    fn next_key(&self) -> Option<QueueKey> {
        let (first, _) = self.sub_queues.first_key_value()?;
        let most_urgent = || self.sub_queues.keys().take_while(|k| k.urgency == first.urgency);
        let is_later = |key: &&QueueKey| self.last_served.as_ref().is_some_and(|last| *key > last);
        let turns =
            || most_urgent().filter(is_later).chain(most_urgent().filter(|key| !is_later(key)));
        let underserved = turns().find(|key| self.shares.is_underserved(key));
        underserved.or_else(|| turns().next()).cloned()
    }

    fn remove(&mut self, key: &QueueKey, index: usize) -> Option<QueuedAttempt<T>> {
        let attempts = self.sub_queues.get_mut(key)?;
        let attempt = attempts.remove(index)?;
        if attempts.is_empty() {
            self.sub_queues.remove(key);
        }
        Some(attempt)
    }
}
