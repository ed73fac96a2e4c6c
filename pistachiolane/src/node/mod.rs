//! The shell of a node: sockets, tasks and clocks around the decision modules.

mod admin;
mod announcements;
mod attempt_driver;
mod body;
mod control_client;
mod control_loop;
mod control_service;
mod entry;
mod error;
mod gate_server;
mod gossip_socket;
mod headers;
mod hop;
mod operator;
mod platform_task;
mod postcard_codec;
mod queue_task;
mod responses;
mod run;
mod shared;
mod status;

pub use {
    error::NodeError,
    run::{RunningNode, run},
    shared::Shared,
};
