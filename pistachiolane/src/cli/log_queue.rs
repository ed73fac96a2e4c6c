//! Bounded queue between the code that logs and the output. Logging never blocks.
//!
//! One thread collects lines in a backlog, which drops lines when it is full. Another thread writes them; it is the
//! only one that a slow reader of the output blocks.

use {
    super::{log_backlog::LogBacklog, log_entry::LogEntry},
    std::{
        fmt, io,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{
                Receiver, RecvTimeoutError, SyncSender, TryRecvError, TrySendError, sync_channel,
            },
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Capacity of the channel to the backlog in lines: more than a node logs while a busy host leaves a thread
/// unscheduled.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time between two reads of the channel: few wake-ups matter more than immediate output. A process that is killed
/// loses the lines of this period.
const COLLECT_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum rate of written lines: three times that of a node with its share of the largest fleet's load, which
/// serves 163 calls per second with four lines each.
const MAX_LINES_PER_SECOND: f64 = 2_000.0;

/// Maximum number of lines written in one burst after an idle period.
const MAX_BURST_LINES: f64 = 2_000.0;

/// Size in bytes at which a batch is complete.
const MAX_BATCH_BYTES: usize = 32 << 10;

/// Time limit for writing the remaining lines when the process stops.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Kind under which lines are counted that were dropped because the channel was full.
const UNREAD_KIND: &str = "not looked at";

enum QueueItem {
    Line(LogEntry),
    Flush(SyncSender<()>),
}

enum WriterMessage {
    Batch(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Queue between the code that logs and the output.
pub struct LogQueue {
    items: SyncSender<QueueItem>,
    dropped: Arc<AtomicU64>,
}

impl fmt::Debug for LogQueue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogQueue").field("dropped", &self.dropped).finish_non_exhaustive()
    }
}

impl LogQueue {
    /// Starts a queue with two threads that write its lines to `out`.
    ///
    /// # Errors
    /// Fails when a thread cannot be started.
    pub fn start(out: impl io::Write + Send + 'static) -> io::Result<Self> {
        let (items, incoming) = sync_channel(MAX_QUEUED_LINES);
        let (output, batches) = sync_channel(1);
        let dropped = Arc::new(AtomicU64::new(0));
        let collector = Collector {
            incoming,
            output,
            dropped: Arc::clone(&dropped),
            backlog: LogBacklog::new(),
            pending_batch: None,
            allowed_lines: MAX_BURST_LINES,
            allowed_updated_at: Instant::now(),
        };
        thread::Builder::new().name("log-gather".to_owned()).spawn(move || collector.run())?;
        thread::Builder::new()
            .name("log-write".to_owned())
            .spawn(move || run_writer(&batches, out))?;
        Ok(Self { items, dropped })
    }

    /// Queues a line without blocking; if it is dropped, it is counted.
    pub fn push(&self, line: LogEntry) {
        if self.items.try_send(QueueItem::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits a limited time until the lines queued so far are written.
    pub fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.items.try_send(QueueItem::Flush(done)).is_ok() {
            // Lines that are not written by then are lost when the process ends.
            let _timed_out = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

struct Collector {
    incoming: Receiver<QueueItem>,
    output: SyncSender<WriterMessage>,
    dropped: Arc<AtomicU64>,
    backlog: LogBacklog,
    /// Batch that could not be queued because the writer was busy.
    pending_batch: Option<Vec<u8>>,
    /// Number of lines that the rate limit allows now.
    allowed_lines: f64,
    allowed_updated_at: Instant,
}

impl Collector {
    fn run(mut self) {
        loop {
            let first = if self.backlog.is_empty() && self.pending_batch.is_none() {
                self.incoming.recv().map_err(|_e| RecvTimeoutError::Disconnected)
            } else {
                self.incoming.recv_timeout(COLLECT_INTERVAL)
            };
            match first {
                Ok(QueueItem::Flush(done)) => self.write_all(done),
                Ok(QueueItem::Line(line)) => {
                    self.backlog.push(line);
                    thread::sleep(COLLECT_INTERVAL);
                    self.collect();
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.send_batches();
        }
    }

    /// Moves queued lines to the backlog; writes everything if a flush is requested.
    fn collect(&mut self) {
        loop {
            match self.incoming.try_recv() {
                Ok(QueueItem::Line(line)) => self.backlog.push(line),
                Ok(QueueItem::Flush(done)) => self.write_all(done),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        self.backlog.count_dropped(UNREAD_KIND, dropped);
    }

    /// Sends batches to the writer while it accepts them and the rate limit allows.
    fn send_batches(&mut self) {
        let now = Instant::now();
        let newly_allowed =
            now.duration_since(self.allowed_updated_at).as_secs_f64() * MAX_LINES_PER_SECOND;
        self.allowed_lines = (self.allowed_lines + newly_allowed).min(MAX_BURST_LINES);
        self.allowed_updated_at = now;
        while let Some(batch) = self.next_batch() {
            match self.output.try_send(WriterMessage::Batch(batch)) {
                Ok(()) => {}
                Err(TrySendError::Full(WriterMessage::Batch(batch))) => {
                    self.pending_batch = Some(batch);
                    return;
                }
                // The writer has stopped, so nothing can be written any more.
                Err(_) => return,
            }
        }
    }

    fn next_batch(&mut self) -> Option<Vec<u8>> {
        if self.pending_batch.is_some() {
            return self.pending_batch.take();
        }
        if self.allowed_lines < 1.0 || self.backlog.is_empty() {
            return None;
        }
        let mut batch = Vec::with_capacity(MAX_BATCH_BYTES);
        let lines =
            self.backlog.fill_batch(&mut batch, self.allowed_lines as usize, MAX_BATCH_BYTES);
        self.allowed_lines -= lines as f64;
        Some(batch)
    }

    /// Writes all lines queued so far, regardless of the rate limit, because the process is about to end.
    fn write_all(&mut self, done: SyncSender<()>) {
        let mut batch = self.pending_batch.take().unwrap_or_default();
        self.backlog.fill_batch(&mut batch, usize::MAX, usize::MAX);
        // If the writer has stopped, nothing can be written, and there is no flush to confirm.
        let _stopped = self.output.send(WriterMessage::Batch(batch));
        let _stopped = self.output.send(WriterMessage::Flush(done));
    }
}

fn run_writer(batches: &Receiver<WriterMessage>, mut out: impl io::Write) {
    while let Ok(next) = batches.recv() {
        match next {
            // If the output is closed, there is no other place to report the error.
            WriterMessage::Batch(batch) => {
                let _closed = out.write_all(&batch).and_then(|()| out.flush());
            }
            WriterMessage::Flush(done) => {
                let _no_receiver = done.try_send(());
            }
        }
    }
}
