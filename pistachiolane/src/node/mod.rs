//! I/O layer of a node: sockets, tasks and clocks around the modules that make the decisions.

mod accept;
mod admin;
mod announcements;
mod attempt_driver;
mod body;
mod caller_socket;
mod control_client;
mod control_loop;
mod control_service;
mod crash_detector;
mod dialect;
mod entry;
mod error;
mod gate_server;
mod gossip_socket;
mod headers;
mod hop;
mod integration;
mod load_probe;
mod node_handle;
mod operator;
mod pipeline;
mod postcard_codec;
mod queue_task;
mod resolved_route;
mod responses;
mod run;
mod settings_comparison;
mod shared;
mod socket_options;
mod status;
mod store_task;
mod upstream_pool;
mod upstream_statements;

pub use {
    accept::accept,
    dialect::HeaderDialect,
    error::NodeError,
    integration::{Integration, SettingsWatch},
    node_handle::NodeHandle,
    run::{RunningNode, run},
    shared::Shared,
};
