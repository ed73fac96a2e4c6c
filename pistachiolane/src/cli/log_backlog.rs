//! Lines that wait for the output. When there are too many, those of requests that went well go first.

use {
    super::log_entry::{LogEntry, RetentionClass},
    std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
};

/// Lines that may wait: some 400 KB, two seconds of a node with its share of the largest fleet.
const MAX_LINES: usize = 1_024;

/// Requests and attempts that are remembered as failed, for their lines to come.
const MAX_FAILED: usize = 1_024;

/// Lines that wait, in their order.
#[derive(Debug, Default)]
pub struct LogBacklog {
    lines: BTreeMap<u64, LogEntry>,
    next: u64,
    /// Lines of requests that go well so far.
    ordinary: BTreeSet<u64>,
    /// Ordinary lines by the hash of their request or attempt.
    ordinary_by_subject: HashMap<u64, Vec<u64>>,
    failed: HashSet<u64>,
    failed_order: VecDeque<u64>,
    dropped: BTreeMap<&'static str, u64>,
}

impl LogBacklog {
    /// A backlog without lines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty() && self.dropped.is_empty()
    }

    /// Takes a line, and leaves one out if there are too many.
    pub fn push(&mut self, line: LogEntry) {
        let at = self.next;
        self.next += 1;
        match line.class {
            RetentionClass::Failure => self.keep(line.subject_hash),
            RetentionClass::Ordinary if !self.failed.contains(&line.subject_hash) => {
                self.ordinary.insert(at);
                self.ordinary_by_subject.entry(line.subject_hash).or_default().push(at);
            }
            RetentionClass::Ordinary | RetentionClass::State => {}
        }
        self.lines.insert(at, line);
        if self.lines.len() > MAX_LINES {
            self.drop_one();
        }
    }

    /// Counts lines that never got here.
    pub fn count_dropped(&mut self, kind: &'static str, lines: u64) {
        if lines > 0 {
            *self.dropped.entry(kind).or_default() += lines;
        }
    }

    /// Moves lines to `batch`, at most as many as `lines` and until it holds `bytes`; gives their number. A line
    /// that tells how many of which kind were left out comes first.
    pub fn fill_batch(&mut self, batch: &mut Vec<u8>, lines: usize, bytes: usize) -> usize {
        if !self.dropped.is_empty() {
            let dropped = std::mem::take(&mut self.dropped);
            let total: u64 = dropped.values().sum();
            let line = serde_json::json!({
                "level": "WARN", "target": "log", "message": "lines dropped", "lines": total,
                "kinds": dropped,
            });
            batch.extend_from_slice(format!("{line}\n").as_bytes());
        }
        let mut taken = 0;
        while taken < lines && batch.len() < bytes {
            let Some((at, line)) = self.lines.pop_first() else { break };
            self.forget(at, &line);
            batch.extend_from_slice(&line.text);
            taken += 1;
        }
        taken
    }

    /// Keeps the lines of a request that failed, those to come included.
    fn keep(&mut self, subject: u64) {
        for at in self.ordinary_by_subject.remove(&subject).unwrap_or_default() {
            self.ordinary.remove(&at);
        }
        if self.failed.insert(subject) {
            self.failed_order.push_back(subject);
        }
        if self.failed_order.len() > MAX_FAILED {
            let oldest = self.failed_order.pop_front();
            oldest.map(|subject| self.failed.remove(&subject));
        }
    }

    fn drop_one(&mut self) {
        let oldest = self.ordinary.first().or_else(|| self.lines.keys().next()).copied();
        let Some((at, line)) = oldest.and_then(|at| Some((at, self.lines.remove(&at)?))) else {
            return;
        };
        self.forget(at, &line);
        self.count_dropped(line.kind, 1);
    }

    fn forget(&mut self, at: u64, line: &LogEntry) {
        if !self.ordinary.remove(&at) {
            return;
        }
        if let Some(others) = self.ordinary_by_subject.get_mut(&line.subject_hash) {
            others.retain(|other| *other != at);
            if others.is_empty() {
                self.ordinary_by_subject.remove(&line.subject_hash);
            }
        }
    }
}
