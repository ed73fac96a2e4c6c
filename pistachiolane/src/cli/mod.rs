//! The command line: arguments, the node's process, and the operators' commands.

mod adapter;
mod admin_client;
mod args;
mod commands;
mod exit;
mod explain;
mod line_backlog;
mod line_queue;
mod log_entry;
mod log_line;
mod logging;
mod node_options;
mod node_process;
mod output;
mod run;

pub use {
    adapter::Adapter,
    exit::Exit,
    explain::explain,
    line_backlog::LineBacklog,
    line_queue::LineQueue,
    log_entry::{LineClass, LogEntry},
    run::run,
};
