//! Tests of the log queue: it is bounded, and logging never blocks.

use {
    pistachiolane::cli::{LogBacklog, LogEntry, LogQueue, RetentionClass},
    serde_json::Value,
    std::{
        io,
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

/// Time limit for lines to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// Output that blocks writes until it is opened.
#[derive(Clone, Default)]
struct BlockableOutput {
    open: Arc<(Mutex<bool>, Condvar)>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl BlockableOutput {
    fn open(&self) {
        *self.open.0.lock().unwrap() = true;
        self.open.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.written.lock().unwrap().clone()).unwrap()
    }

    fn wait_for(&self, what: &str) -> String {
        let deadline = Instant::now() + WRITE_TIMEOUT;
        while !self.text().contains(what) {
            assert!(Instant::now() < deadline, "not written: {what}");
            std::thread::sleep(Duration::from_millis(5));
        }
        self.text()
    }
}

impl io::Write for BlockableOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let closed = self.open.0.lock().unwrap();
        let _opened = self.open.1.wait_while(closed, |open| !*open).unwrap();
        self.written.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(text: &str, subject_hash: u64, class: RetentionClass) -> LogEntry {
    LogEntry { text: format!("{text}\n").into_bytes(), kind: "attempt sent", subject_hash, class }
}

fn ordinary(text: &str, subject_hash: u64) -> LogEntry {
    line(text, subject_hash, RetentionClass::Ordinary)
}

fn failure(text: &str, subject_hash: u64) -> LogEntry {
    line(text, subject_hash, RetentionClass::Failure)
}

fn take_all(backlog: &mut LogBacklog) -> Vec<String> {
    let mut batch = Vec::new();
    backlog.fill_batch(&mut batch, usize::MAX, usize::MAX);
    String::from_utf8(batch).unwrap().lines().map(str::to_owned).collect()
}

#[test]
fn lines_are_written_in_order() {
    let output = BlockableOutput::default();
    output.open();
    let queue = LogQueue::start(output.clone()).unwrap();
    for n in 0..100 {
        queue.push(ordinary(&format!("line {n}"), n));
    }
    queue.flush();
    let expected: Vec<String> = (0..100).map(|n| format!("line {n}")).collect();
    assert_eq!(output.text().lines().collect::<Vec<_>>(), expected);
}

/// A blocked output does not block logging, and a separate line counts the dropped lines by kind.
#[test]
fn blocked_output_does_not_block_logging() {
    let output = BlockableOutput::default();
    let queue = LogQueue::start(output.clone()).unwrap();
    let started = Instant::now();
    for n in 0..20_000 {
        queue.push(ordinary(&format!("line {n:<400}"), n));
    }
    // Far below the duration of a single wait for the output.
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    std::thread::sleep(Duration::from_millis(100));
    output.open();
    let text = output.wait_for("lines dropped");
    let report = text.lines().find(|l| l.contains("lines dropped")).unwrap();
    let report: Value = serde_json::from_str(report).unwrap();
    let kinds = report["kinds"].as_object().unwrap();
    let sum: u64 = kinds.values().map(|n| n.as_u64().unwrap()).sum();
    assert_eq!(report["lines"], sum);
    assert!(kinds.keys().all(|k| k == "attempt sent" || k == "not looked at"), "{report}");
    let written = output.wait_for(" \n").lines().filter(|l| l.starts_with("line ")).count();
    // The backlog holds 1,024 lines; three batches of 32 KiB with lines of 406 bytes may be in flight.
    assert!(written <= 1_024 + 3 * 82, "{written} lines written");
}

/// All lines of a failed request are kept, including those before its failure; lines of other requests are dropped.
#[test]
fn backlog_keeps_failures() {
    let mut backlog = LogBacklog::new();
    backlog.push(ordinary("sent 7", 7));
    backlog.push(ordinary("sent 8", 8));
    backlog.push(failure("refused 7", 7));
    for n in 0..5_000 {
        backlog.push(ordinary("other", 100 + n));
    }
    backlog.push(ordinary("later 7", 7));
    let lines = take_all(&mut backlog);
    assert_eq!(lines.len(), 1 + 1_024);
    assert_eq!(lines[1..3], ["sent 7", "refused 7"]);
    assert_eq!(lines.last().unwrap(), "later 7");
    assert!(!lines.iter().any(|l| l == "sent 8"));
    let report: Value = serde_json::from_str(&lines[0]).unwrap();
    assert_eq!(report["kinds"]["attempt sent"], 5_004 - 1_024);
    assert!(backlog.is_empty());
}

/// Lines that belong to no request are kept in preference to lines of requests without a failure.
#[test]
fn backlog_keeps_state() {
    let mut backlog = LogBacklog::new();
    backlog.push(line("settings in force", 0, RetentionClass::State));
    for n in 0..2_000 {
        backlog.push(ordinary("other", n + 1));
    }
    assert_eq!(take_all(&mut backlog)[1], "settings in force");
}

/// When the backlog contains only lines of failures, the oldest are dropped.
#[test]
fn backlog_of_failures_only() {
    let mut backlog = LogBacklog::new();
    for n in 0..3_000 {
        backlog.push(failure(&format!("failed {n}"), n + 1));
    }
    let lines = take_all(&mut backlog);
    assert_eq!((lines.len(), lines[1].as_str()), (1_025, "failed 1976"));
}

/// A batch ends at its limit of lines or bytes, and the remaining lines follow in order.
#[test]
fn backlog_in_batches() {
    let mut backlog = LogBacklog::new();
    for n in 0..10 {
        backlog.push(ordinary(&n.to_string(), n + 1));
    }
    let mut batch = Vec::new();
    assert_eq!(backlog.fill_batch(&mut batch, 3, usize::MAX), 3);
    assert_eq!(backlog.fill_batch(&mut batch, usize::MAX, 10), 2);
    assert_eq!(batch, b"0\n1\n2\n3\n4\n");
    assert_eq!(take_all(&mut backlog), ["5", "6", "7", "8", "9"]);
}
