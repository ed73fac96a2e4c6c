//! A bounded queue of lines between what logs and the output. Nothing that logs ever waits.
//!
//! One thread gathers lines into a backlog, from which it leaves out what is too much; another writes, and is the
//! only one that a slow reader of the output holds up.

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

/// Lines on their way to the backlog; more than a node logs in the time that a busy host keeps a thread waiting.
const MAX_INCOMING: usize = 4_096;

/// Time between two looks at what came: few wake-ups matter more than lines that are there at once. A process that is
/// killed loses the lines of this time.
const GATHER_PERIOD: Duration = Duration::from_millis(100);

/// Lines a second that are written; three times those of a node with its share of the largest fleet, which serves 163
/// calls a second with four lines each.
const MAX_LINES_PER_SECOND: f64 = 2_000.0;

/// Lines that are written at once after a pause.
const MAX_LINES_AT_ONCE: f64 = 2_000.0;

/// Bytes of one write.
const MAX_BATCH_BYTES: usize = 32 << 10;

/// Longest wait of a stopping process for the output.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// How lines are counted that came too fast to be looked at.
const NOT_LOOKED_AT: &str = "not looked at";

enum Item {
    Line(LogEntry),
    Flush(SyncSender<()>),
}

enum Output {
    Batch(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Queue between what logs and the output.
pub struct LogQueue {
    items: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl fmt::Debug for LogQueue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogQueue").field("dropped", &self.dropped).finish_non_exhaustive()
    }
}

impl LogQueue {
    /// A queue whose lines threads of its own write to `out`.
    ///
    /// # Errors
    /// Fails when a thread cannot be started.
    pub fn start(out: impl io::Write + Send + 'static) -> io::Result<Self> {
        let (items, incoming) = sync_channel(MAX_INCOMING);
        let (output, batches) = sync_channel(1);
        let dropped = Arc::new(AtomicU64::new(0));
        let gatherer = Gatherer {
            incoming,
            output,
            dropped: Arc::clone(&dropped),
            backlog: LogBacklog::new(),
            batch: None,
            allowed: MAX_LINES_AT_ONCE,
            allowed_at: Instant::now(),
        };
        thread::Builder::new().name("log-gather".to_owned()).spawn(move || gatherer.run())?;
        thread::Builder::new().name("log-write".to_owned()).spawn(move || write(&batches, out))?;
        Ok(Self { items, dropped })
    }

    /// Hands over a line; it may be left out, and is then counted.
    pub fn push(&self, line: LogEntry) {
        if self.items.try_send(Item::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits a short time until the lines handed over so far are written.
    pub fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.items.try_send(Item::Flush(done)).is_ok() {
            // What is not written by then is lost with the process.
            let _late = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

struct Gatherer {
    incoming: Receiver<Item>,
    output: SyncSender<Output>,
    dropped: Arc<AtomicU64>,
    backlog: LogBacklog,
    /// A batch that the writer had no place for.
    batch: Option<Vec<u8>>,
    /// Lines that may be written now.
    allowed: f64,
    allowed_at: Instant,
}

impl Gatherer {
    fn run(mut self) {
        loop {
            let first = if self.backlog.is_empty() && self.batch.is_none() {
                self.incoming.recv().map_err(|_e| RecvTimeoutError::Disconnected)
            } else {
                self.incoming.recv_timeout(GATHER_PERIOD)
            };
            match first {
                Ok(Item::Flush(done)) => self.write_all(done),
                Ok(Item::Line(line)) => {
                    self.backlog.push(line);
                    thread::sleep(GATHER_PERIOD);
                    self.gather();
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.hand_over();
        }
    }

    /// Takes what has come, and everything out if a flush is among it.
    fn gather(&mut self) {
        loop {
            match self.incoming.try_recv() {
                Ok(Item::Line(line)) => self.backlog.push(line),
                Ok(Item::Flush(done)) => self.write_all(done),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        self.backlog.count_dropped(NOT_LOOKED_AT, dropped);
    }

    /// Gives the writer batches as long as it takes them and the rate allows.
    fn hand_over(&mut self) {
        let now = Instant::now();
        let gained = now.duration_since(self.allowed_at).as_secs_f64() * MAX_LINES_PER_SECOND;
        self.allowed = (self.allowed + gained).min(MAX_LINES_AT_ONCE);
        self.allowed_at = now;
        while let Some(batch) = self.next_batch() {
            match self.output.try_send(Output::Batch(batch)) {
                Ok(()) => {}
                Err(TrySendError::Full(Output::Batch(batch))) => {
                    self.batch = Some(batch);
                    return;
                }
                // Without a writer nothing is written any more.
                Err(_) => return,
            }
        }
    }

    fn next_batch(&mut self) -> Option<Vec<u8>> {
        if self.batch.is_some() {
            return self.batch.take();
        }
        if self.allowed < 1.0 || self.backlog.is_empty() {
            return None;
        }
        let mut batch = Vec::with_capacity(MAX_BATCH_BYTES);
        let lines = self.backlog.fill_batch(&mut batch, self.allowed as usize, MAX_BATCH_BYTES);
        self.allowed -= lines as f64;
        Some(batch)
    }

    /// Writes all lines that came so far, whatever the rate, as the process is about to end.
    fn write_all(&mut self, done: SyncSender<()>) {
        let mut batch = self.batch.take().unwrap_or_default();
        self.backlog.fill_batch(&mut batch, usize::MAX, usize::MAX);
        // Without a writer nobody needs to be told.
        let _gone = self.output.send(Output::Batch(batch));
        let _gone = self.output.send(Output::Flush(done));
    }
}

fn write(batches: &Receiver<Output>, mut out: impl io::Write) {
    while let Ok(next) = batches.recv() {
        match next {
            // Nobody can be told that the standard output is gone.
            Output::Batch(batch) => {
                let _gone = out.write_all(&batch).and_then(|()| out.flush());
            }
            Output::Flush(done) => {
                let _gone = done.try_send(());
            }
        }
    }
}
