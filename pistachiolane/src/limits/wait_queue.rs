//! The queue of a gate: fair between callers' services, first come first served within one.

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
pub enum Queued<T> {
    /// A slot was taken for the item; run it.
    Run(T),
    /// The item's deadline passed; it is not run.
    Expired(T),
    /// The queue is over its bound and the item was last in the longest line; it is not run.
    Shed(T),
}

/// A line of waiting attempts. Lines of the most urgent priority are served first, in turn between callers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    /// Rank; 0 is served first.
    pub priority: u8,
    /// Service of the caller.
    pub caller: Arc<str>,
}

#[derive(Debug)]
struct Waiter<T> {
    item: T,
    deadline: Tick,
}

/// Waiting attempts, one line for each calling service, served in turn.
///
/// One task owns it. Places are counted by the [`Gate`], which bounds them.
#[derive(Debug)]
pub struct WaitQueue<T> {
    lines: BTreeMap<Line, VecDeque<Waiter<T>>>,
    turn: Option<Line>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { lines: BTreeMap::new(), turn: None }
    }
}

impl<T> WaitQueue<T> {
    /// Adds an item for which [`Gate::arrive`] took a place.
    pub fn push(&mut self, line: Line, deadline: Tick, item: T) {
        self.lines.entry(line).or_default().push_back(Waiter { item, deadline });
    }

    /// Items waiting.
    pub fn len(&self) -> usize {
        self.lines.values().map(VecDeque::len).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Removes the next item that is one too many, that expired, or that a free slot can take.
    ///
    /// Items for which `is_gone` holds are dropped on the way; their callers left.
    pub fn next(
        &mut self,
        now: Tick,
        gate: &Gate,
        is_gone: impl Fn(&T) -> bool,
    ) -> Option<Queued<T>> {
        if self.len() > gate.queue_bound() as usize {
            gate.leave_queue();
            return self.remove_newest_of_longest().map(Queued::Shed);
        }
        loop {
            let line = self.next_line()?;
            let head = self.lines.get(&line)?.front()?;
            let gone = is_gone(&head.item);
            let expired = head.deadline <= now;
            if !gone && !expired && !gate.try_take_slot() {
                return None;
            }
            let item = self.remove_head(&line)?;
            gate.leave_queue();
            match gone {
                true => {}
                false if expired => return Some(Queued::Expired(item)),
                false => return Some(Queued::Run(item)),
            }
        }
    }

    /// Removes everything, as when the gate loses its upstream.
    pub fn drain(&mut self, gate: &Gate) -> Vec<T> {
        let lines = std::mem::take(&mut self.lines);
        let items: Vec<T> = lines.into_values().flatten().map(|w| w.item).collect();
        for _ in &items {
            gate.leave_queue();
        }
        items
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

    fn next_line(&self) -> Option<Line> {
        let (first, _) = self.lines.iter().next()?;
        let after = self.turn.as_ref().filter(|t| t.priority == first.priority).and_then(|turn| {
            let later = (std::ops::Bound::Excluded(turn), std::ops::Bound::Unbounded);
            self.lines.range::<Line, _>(later).next()
        });
        let after = after.map(|(line, _)| line).filter(|line| line.priority == first.priority);
        Some(after.unwrap_or(first).clone())
    }

    fn remove_head(&mut self, line: &Line) -> Option<T> {
        let waiters = self.lines.get_mut(line)?;
        let waiter = waiters.pop_front()?;
        if waiters.is_empty() {
            self.lines.remove(line);
        }
        self.turn = Some(line.clone());
        Some(waiter.item)
    }
}
