//! Command line: arguments, the node process and the commands for operators.

mod adapter;
mod admin_client;
mod args;
mod commands;
mod exit;
mod explain;
mod log_backlog;
mod log_encoder;
mod log_entry;
mod log_queue;
mod logging;
mod node_options;
mod node_process;
mod output;
mod run;

pub use {
    adapter::Adapter,
    exit::Exit,
    explain::explain,
    log_backlog::LogBacklog,
    log_entry::{LogEntry, RetentionClass},
    log_queue::LogQueue,
    run::run,
};
