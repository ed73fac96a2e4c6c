//! The command line: arguments, the node's process, and the operators' commands.

mod admin_client;
mod args;
mod commands;
mod exit;
mod logging;
mod node_process;
mod output;
mod run;

pub use {exit::Exit, run::run};
