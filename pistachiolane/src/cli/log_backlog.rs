//! Bounded backlog of log lines. When it is full, lines of requests without a failure are dropped first.

use {
    super::log_entry::{LogEntry, RetentionClass},
    std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
};

/// Maximum number of lines: about 400 KB, or two seconds of output of a node with its share of the largest fleet's
/// load.
const MAX_LINES: usize = 1_024;

/// Maximum number of failed requests and attempts that are tracked so that their later lines are kept too.
const MAX_FAILED: usize = 1_024;

/// Log lines that wait to be written, in their order.
#[derive(Debug, Default)]
pub struct LogBacklog {
    lines: BTreeMap<u64, LogEntry>,
    next_sequence: u64,
    /// Sequence numbers of lines of requests that have not failed so far.
    ordinary: BTreeSet<u64>,
    /// Sequence numbers of ordinary lines by the hash of their request or attempt.
    ordinary_by_subject: HashMap<u64, Vec<u64>>,
    failed: HashSet<u64>,
    failed_order: VecDeque<u64>,
    dropped: BTreeMap<&'static str, u64>,
}

impl LogBacklog {
    /// Creates an empty backlog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty() && self.dropped.is_empty()
    }

    /// Adds a line, and drops one if the backlog is full.
    pub fn push(&mut self, line: LogEntry) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        match line.class {
            RetentionClass::Failure => self.mark_failed(line.subject_hash),
            RetentionClass::Ordinary if !self.failed.contains(&line.subject_hash) => {
                self.ordinary.insert(sequence);
                self.ordinary_by_subject.entry(line.subject_hash).or_default().push(sequence);
            }
            RetentionClass::Ordinary | RetentionClass::State => {}
        }
        self.lines.insert(sequence, line);
        if self.lines.len() > MAX_LINES {
            self.drop_one();
        }
    }

    /// Counts lines that were dropped before they reached the backlog.
    pub fn count_dropped(&mut self, kind: &'static str, lines: u64) {
        if lines > 0 {
            *self.dropped.entry(kind).or_default() += lines;
        }
    }

    /// Moves up to `max_lines` lines to `batch`, until it holds `max_bytes` bytes, and returns how many were moved. If
    /// lines were dropped, a line that counts them by kind comes first.
    pub fn fill_batch(&mut self, batch: &mut Vec<u8>, max_lines: usize, max_bytes: usize) -> usize {
        if !self.dropped.is_empty() {
            let dropped = std::mem::take(&mut self.dropped);
            let total: u64 = dropped.values().sum();
            let line = serde_json::json!({
                "level": "WARN", "target": "log", "message": "lines dropped", "lines": total,
                "kinds": dropped,
            });
            batch.extend_from_slice(format!("{line}\n").as_bytes());
        }
        let mut moved = 0;
        while moved < max_lines && batch.len() < max_bytes {
            let Some((sequence, line)) = self.lines.pop_first() else { break };
            self.remove_from_index(sequence, &line);
            batch.extend_from_slice(&line.text);
            moved += 1;
        }
        moved
    }

    /// Marks a request or attempt as failed, so that its present and later lines are no longer dropped first.
    fn mark_failed(&mut self, subject_hash: u64) {
        for sequence in self.ordinary_by_subject.remove(&subject_hash).unwrap_or_default() {
            self.ordinary.remove(&sequence);
        }
        if self.failed.insert(subject_hash) {
            self.failed_order.push_back(subject_hash);
        }
        if self.failed_order.len() > MAX_FAILED {
            let oldest = self.failed_order.pop_front();
            oldest.map(|subject_hash| self.failed.remove(&subject_hash));
        }
    }

    fn drop_one(&mut self) {
        let oldest = self.ordinary.first().or_else(|| self.lines.keys().next()).copied();
        let Some((sequence, line)) =
            oldest.and_then(|sequence| Some((sequence, self.lines.remove(&sequence)?)))
        else {
            return;
        };
        self.remove_from_index(sequence, &line);
        self.count_dropped(line.kind, 1);
    }

    /// Removes a line from the indexes of ordinary lines.
    fn remove_from_index(&mut self, sequence: u64, line: &LogEntry) {
        if !self.ordinary.remove(&sequence) {
            return;
        }
        if let Some(others) = self.ordinary_by_subject.get_mut(&line.subject_hash) {
            others.retain(|other| *other != sequence);
            if others.is_empty() {
                self.ordinary_by_subject.remove(&line.subject_hash);
            }
        }
    }
}
