//! A bounded queue of lines in front of a writer's thread.
//!
//! When the reader of the output is slow, lines are dropped and counted; nothing that logs ever waits.

use std::{
    fmt, io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Duration,
};

/// Lines that may wait for the writer: some 400 KB, a second of a busy node's.
const MAX_WAITING_LINES: usize = 1_024;

/// Lines that the writer joins into one call of the system.
const MAX_BATCH_BYTES: usize = 32 << 10;

/// Longest wait of a stopping process for the writer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Line {
    Text(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Queue between what logs and the writer.
pub struct LineQueue {
    lines: SyncSender<Line>,
    dropped: Arc<AtomicU64>,
}

impl fmt::Debug for LineQueue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LineQueue").field("dropped", &self.dropped).finish_non_exhaustive()
    }
}

impl LineQueue {
    /// A queue whose lines a thread of its own writes to `out`.
    ///
    /// # Errors
    /// Fails when the thread cannot be started.
    pub fn start(out: impl io::Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(MAX_WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&waiting, &counted, out))?;
        Ok(Self { lines, dropped })
    }

    /// Hands over a line, or drops and counts it when too many wait.
    pub fn push(&self, text: Vec<u8>) {
        if self.lines.try_send(Line::Text(text)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits a short time until the lines handed over so far are written.
    pub fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.lines.try_send(Line::Flush(done)).is_ok() {
            // What is not written by then is lost with the process.
            let _late = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(waiting: &Receiver<Line>, dropped: &AtomicU64, mut out: impl io::Write) {
    let mut batch = Vec::with_capacity(MAX_BATCH_BYTES);
    while let Ok(first) = waiting.recv() {
        let mut flushed = Vec::new();
        let mut next = Some(first);
        while let Some(line) = next {
            match line {
                Line::Text(text) => batch.extend_from_slice(&text),
                Line::Flush(done) => flushed.push(done),
            }
            next = (batch.len() < MAX_BATCH_BYTES).then(|| waiting.try_recv().ok()).flatten();
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = serde_json::json!({
                "level": "WARN", "target": "log", "message": "lines dropped", "lines": lost,
            });
            batch.extend_from_slice(format!("{line}\n").as_bytes());
        }
        // Nobody can be told that the standard output is gone.
        let _gone = out.write_all(&batch).and_then(|()| out.flush());
        batch.clear();
        for done in flushed {
            let _gone = done.try_send(());
        }
    }
}
