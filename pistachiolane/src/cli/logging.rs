//! Logging of a node: one JSON object per line on standard output.

use {
    super::{log_encoder::encode, log_queue::LogQueue},
    log::{LevelFilter, Record},
    log4rs::{
        Config, Handle,
        append::Append,
        config::{Appender, Logger, Root, runtime::ConfigErrors},
    },
    std::{
        fmt, io,
        sync::{Arc, OnceLock},
    },
};

static LOG_QUEUE: OnceLock<Arc<LogQueue>> = OnceLock::new();

/// Reason for which logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The logging configuration is inconsistent.
    #[error("invalid log configuration: {0}")]
    Config(#[from] ConfigErrors),
    /// A logger is already installed.
    #[error("cannot install the logger: {0}")]
    Installed(#[from] log::SetLoggerError),
    /// A thread of the log queue could not be started.
    #[error("cannot start the log threads: {0}")]
    Writer(#[from] io::Error),
}

/// Log4rs appender that encodes records and pushes them to the queue.
struct QueueAppender {
    queue: Arc<LogQueue>,
}

/// Installs the logger for the whole process.
///
/// # Errors
/// Fails when a logger is already installed or a thread cannot be started.
pub fn init(level: LevelFilter) -> Result<Handle, LoggingError> {
    let queue = Arc::new(LogQueue::start(io::stdout())?);
    let appender = QueueAppender { queue: Arc::clone(&queue) };
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(appender)))
        .logger(Logger::builder().build("tarpc", LevelFilter::Error))
        .build(Root::builder().appender("lines").build(level))?;
    let handle = log4rs::init_config(config)?;
    // Cannot fail, because the logger can be installed only once.
    let _first = LOG_QUEUE.set(queue);
    Ok(handle)
}

/// Waits a limited time until the lines logged so far are written.
pub fn flush() {
    if let Some(queue) = LOG_QUEUE.get() {
        queue.flush();
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        self.queue.push(encode(record)?);
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
