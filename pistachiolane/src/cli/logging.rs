//! Logs of a node: one JSON object a line on standard error, only for changes of state.

use {
    log::LevelFilter,
    log4rs::{
        Config, Handle,
        append::console::{ConsoleAppender, Target},
        config::{Appender, Root, runtime::ConfigErrors},
        encode::json::JsonEncoder,
    },
};

/// Why logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The configuration is inconsistent.
    #[error("log configuration: {0}")]
    Config(#[from] ConfigErrors),
    /// Another logger is installed.
    #[error("log: {0}")]
    Installed(#[from] log::SetLoggerError),
}

/// Installs the logger.
///
/// # Errors
/// Fails when a logger is installed already.
pub fn init(level: LevelFilter) -> Result<Handle, LoggingError> {
    let stderr = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(stderr)))
        .logger(log4rs::config::Logger::builder().build("tarpc", LevelFilter::Error))
        .build(Root::builder().appender("stderr").build(level))?;
    Ok(log4rs::init_config(config)?)
}
