//! Logs of a node: one JSON object a line on standard output, written by a thread of its own.
//!
//! A line is handed over through a bounded queue. When the reader of the standard output is slow, lines are
//! dropped and counted; nothing that logs ever waits.

use {
    log::{LevelFilter, Record},
    log4rs::{
        Config, Handle,
        append::Append,
        config::{Appender, Logger, Root, runtime::ConfigErrors},
        encode::{Encode, Write, json::JsonEncoder},
    },
    std::{
        fmt, io,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        time::Duration,
    },
};

/// Lines that may wait for the writer: some 400 KB, a second of a busy node's.
const MAX_WAITING_LINES: usize = 1_024;

/// Lines that the writer joins into one call of the system.
const MAX_BATCH_BYTES: usize = 32 << 10;

/// Longest wait of a stopping process for the writer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static APPENDER: OnceLock<Arc<LineQueue>> = OnceLock::new();

/// Why logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The configuration is inconsistent.
    #[error("log configuration: {0}")]
    Config(#[from] ConfigErrors),
    /// Another logger is installed.
    #[error("log: {0}")]
    Installed(#[from] log::SetLoggerError),
    /// The writer's thread could not be started.
    #[error("log writer: {0}")]
    Writer(#[from] io::Error),
}

enum Line {
    Text(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Queue between what logs and the writer.
struct LineQueue {
    lines: SyncSender<Line>,
    dropped: Arc<AtomicU64>,
}

/// Encodes records for the queue.
struct QueueAppender {
    queue: Arc<LineQueue>,
    encoder: JsonEncoder,
}

/// Installs the logger.
///
/// # Errors
/// Fails when a logger is installed already, or no thread can be started.
pub fn init(level: LevelFilter) -> Result<Handle, LoggingError> {
    let queue = Arc::new(LineQueue::start(io::stdout())?);
    let appender = QueueAppender { queue: Arc::clone(&queue), encoder: JsonEncoder::new() };
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(appender)))
        .logger(Logger::builder().build("tarpc", LevelFilter::Error))
        .build(Root::builder().appender("lines").build(level))?;
    let handle = log4rs::init_config(config)?;
    // The logger can be installed only once, and so can this.
    let _first = APPENDER.set(queue);
    Ok(handle)
}

/// Waits a short time until the lines logged so far are written.
pub fn flush() {
    if let Some(queue) = APPENDER.get() {
        queue.flush();
    }
}

impl LineQueue {
    fn start(out: impl io::Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(MAX_WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&waiting, &counted, out))?;
        Ok(Self { lines, dropped })
    }

    fn push(&self, text: Vec<u8>) {
        if self.lines.try_send(Line::Text(text)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
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

/// Bytes as the encoder wants them.
#[derive(Debug, Default)]
struct LineBuffer(Vec<u8>);

impl io::Write for LineBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Write for LineBuffer {}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = LineBuffer::default();
        self.encoder.encode(&mut line, record)?;
        self.queue.push(line.0);
        Ok(())
    }

    fn flush(&self) {
        self.queue.flush();
    }
}

impl fmt::Debug for QueueAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QueueAppender").finish_non_exhaustive()
    }
}
