//! The queue of a gate: by priority, fair between callers' services, first come first served within one as
//! long as that is on time.

use {
    super::Gate,
    crate::tick::Tick,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// What leaves the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// A slot was taken for the item; run it.
    Run(T),
    /// The item's deadline passed; it is not run.
    Expired(T),
    /// The upstream leaves or is gone; the item is not run there.
    UpstreamUnavailable(T),
    /// The queue is over its bound and the item was last in the longest line; it is not run.
    Shed(T),
}

/// A line of waiting attempts. Lines of the most urgent priority are served first, in turn between callers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Rank; 0 is served first.
    pub priority: u8,
    /// Service of the caller.
    pub caller: Arc<str>,
}

/// Latest starts of a waiting attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartDeadlines {
    /// Start after which it cannot end in time; it is then not run.
    pub deadline: Tick,
    /// Start after which its answer comes late; others go before it.
    pub on_time: Tick,
}

impl From<Tick> for StartDeadlines {
    fn from(deadline: Tick) -> Self {
        Self { deadline, on_time: deadline }
    }
}

#[derive(Debug)]
struct Waiter<T> {
    item: T,
    start_by: StartDeadlines,
}

/// Waiting attempts, one line for each calling service, served in turn.
///
/// One task owns it. Places are counted by the [`Gate`], which bounds them.
#[derive(Debug)]
pub struct WaitQueue<T> {
    lines: BTreeMap<QueueKey, VecDeque<Waiter<T>>>,
    turn: Option<QueueKey>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { lines: BTreeMap::new(), turn: None }
    }
}

impl<T> WaitQueue<T> {
    /// Adds an item for which [`Gate::admit_within`] took a place.
    pub fn push(&mut self, line: QueueKey, start_by: impl Into<StartDeadlines>, item: T) {
        let waiter = Waiter { item, start_by: start_by.into() };
        self.lines.entry(line).or_default().push_back(waiter);
    }

    /// Items waiting.
    pub fn len(&self) -> usize {
        self.lines.values().map(VecDeque::len).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Removes the next item that is one too many, that expired, that the upstream no longer takes, or that a free
    /// slot can take.
    ///
    /// Items for which `is_gone` holds are dropped on the way; their callers left.
    pub fn next(
        &mut self,
        now: Tick,
        gate: &Gate,
        is_gone: impl Fn(&T) -> bool,
    ) -> Option<Dequeued<T>> {
        if !gate.runs_queued_attempts() {
            let (line, _) = self.lines.first_key_value()?;
            let waiter = self.remove(&line.clone(), 0)?;
            gate.release_queue_place();
            return Some(Dequeued::UpstreamUnavailable(waiter.item));
        }
        if self.len() > gate.queue_bound() as usize {
            gate.release_queue_place();
            return self.remove_newest_of_longest().map(Dequeued::Shed);
        }
        loop {
            if let Some((line, at)) = self.find_over(now, &is_gone) {
                let waiter = self.remove(&line, at)?;
                gate.release_queue_place();
                if is_gone(&waiter.item) {
                    continue;
                }
                return Some(Dequeued::Expired(waiter.item));
            }
            let line = self.next_line()?;
            if !gate.try_take_slot() {
                return None;
            }
            let at = self.first_on_time(&line, now);
            let waiter = self.remove(&line, at)?;
            gate.release_queue_place();
            self.turn = Some(line);
            return Some(Dequeued::Run(waiter.item));
        }
    }

    /// A waiter whose caller left or whose time is over.
    fn find_over(&self, now: Tick, is_gone: impl Fn(&T) -> bool) -> Option<(QueueKey, usize)> {
        self.lines.iter().find_map(|(line, waiters)| {
            let over = |w: &Waiter<T>| w.start_by.deadline <= now || is_gone(&w.item);
            waiters.iter().position(over).map(|at| (line.clone(), at))
        })
    }

    /// The first of a line that can still be on time, or else the first.
    fn first_on_time(&self, line: &QueueKey, now: Tick) -> usize {
        let waiters = self.lines.get(line);
        waiters.and_then(|w| w.iter().position(|w| w.start_by.on_time > now)).unwrap_or(0)
    }

    /// Takes from the least urgent priority first.
    fn remove_newest_of_longest(&mut self) -> Option<T> {
        let longest =
            self.lines.iter().max_by_key(|(line, waiters)| (line.priority, waiters.len()));
        let line = longest.map(|(line, _)| line.clone())?;
        let waiters = self.lines.get_mut(&line)?;
        let waiter = waiters.pop_back()?;
        if waiters.is_empty() {
            self.lines.remove(&line);
        }
        Some(waiter.item)
    }

    fn next_line(&self) -> Option<QueueKey> {
        let (first, _) = self.lines.iter().next()?;
        let after = self.turn.as_ref().filter(|t| t.priority == first.priority).and_then(|turn| {
            let later = (std::ops::Bound::Excluded(turn), std::ops::Bound::Unbounded);
            self.lines.range::<QueueKey, _>(later).next()
        });
        let after = after.map(|(line, _)| line).filter(|line| line.priority == first.priority);
        Some(after.unwrap_or(first).clone())
    }

    fn remove(&mut self, line: &QueueKey, at: usize) -> Option<Waiter<T>> {
        let waiters = self.lines.get_mut(line)?;
        let waiter = waiters.remove(at)?;
        if waiters.is_empty() {
            self.lines.remove(line);
        }
        Some(waiter)
    }
}
