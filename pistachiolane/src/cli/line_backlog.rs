//! Lines that wait for the output. When there are too many, those of requests that went well go first.

use {
    super::log_entry::{LineClass, LogEntry},
    std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
};

/// Lines that may wait: some 400 KB, two seconds of a node with its share of the largest fleet.
const MAX_LINES: usize = 1_024;

/// Requests and attempts that are remembered as failed, for their lines to come.
const MAX_FAILED: usize = 1_024;

/// Lines that wait, in their order.
#[derive(Debug, Default)]
pub struct LineBacklog {
    lines: BTreeMap<u64, LogEntry>,
    next: u64,
    /// Lines of requests that go well so far.
    ordinary: BTreeSet<u64>,
    /// Ordinary lines by what they are about.
    about: HashMap<u64, Vec<u64>>,
    failed: HashSet<u64>,
    failed_order: VecDeque<u64>,
    left_out: BTreeMap<&'static str, u64>,
}

impl LineBacklog {
    /// A backlog without lines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty() && self.left_out.is_empty()
    }

    /// Takes a line, and leaves one out if there are too many.
    pub fn push(&mut self, line: LogEntry) {
        let at = self.next;
        self.next += 1;
        match line.class {
            LineClass::Failure => self.keep(line.about),
            LineClass::Ordinary if !self.failed.contains(&line.about) => {
                self.ordinary.insert(at);
                self.about.entry(line.about).or_default().push(at);
            }
            LineClass::Ordinary | LineClass::State => {}
        }
        self.lines.insert(at, line);
        if self.lines.len() > MAX_LINES {
            self.leave_one_out();
        }
    }

    /// Counts lines that never got here.
    pub fn count_left_out(&mut self, kind: &'static str, lines: u64) {
        if lines > 0 {
            *self.left_out.entry(kind).or_default() += lines;
        }
    }

    /// Moves lines to `batch`, at most as many as `lines` and until it holds `bytes`; gives their number. A line
    /// that tells how many of which kind were left out comes first.
    pub fn take(&mut self, batch: &mut Vec<u8>, lines: usize, bytes: usize) -> usize {
        if !self.left_out.is_empty() {
            let left_out = std::mem::take(&mut self.left_out);
            let total: u64 = left_out.values().sum();
            let line = serde_json::json!({
                "level": "WARN", "target": "log", "message": "lines dropped", "lines": total,
                "kinds": left_out,
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
    fn keep(&mut self, about: u64) {
        for at in self.about.remove(&about).unwrap_or_default() {
            self.ordinary.remove(&at);
        }
        if self.failed.insert(about) {
            self.failed_order.push_back(about);
        }
        if self.failed_order.len() > MAX_FAILED {
            let oldest = self.failed_order.pop_front();
            oldest.map(|about| self.failed.remove(&about));
        }
    }

    fn leave_one_out(&mut self) {
        let oldest = self.ordinary.first().or_else(|| self.lines.keys().next()).copied();
        let Some((at, line)) = oldest.and_then(|at| Some((at, self.lines.remove(&at)?))) else {
            return;
        };
        self.forget(at, &line);
        self.count_left_out(line.kind, 1);
    }

    fn forget(&mut self, at: u64, line: &LogEntry) {
        if !self.ordinary.remove(&at) {
            return;
        }
        if let Some(others) = self.about.get_mut(&line.about) {
            others.retain(|other| *other != at);
            if others.is_empty() {
                self.about.remove(&line.about);
            }
        }
    }
}
