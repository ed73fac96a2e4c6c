//! Logs of a node: one JSON object a line on standard output.

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

static APPENDER: OnceLock<Arc<LogQueue>> = OnceLock::new();

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

/// Encodes records for the queue.
struct QueueAppender {
    queue: Arc<LogQueue>,
}

/// Installs the logger.
///
/// # Errors
/// Fails when a logger is installed already, or no thread can be started.
pub fn init(level: LevelFilter) -> Result<Handle, LoggingError> {
    let queue = Arc::new(LogQueue::start(io::stdout())?);
    let appender = QueueAppender { queue: Arc::clone(&queue) };
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
