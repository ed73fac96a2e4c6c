//! I/O layer of a node: sockets, tasks and clocks around the modules that make the decisions.

mod accept;
mod admin;
mod body;
mod bounded_connection;
mod control;
mod dialect;
mod entry;
mod error;
mod gate;
mod headers;
mod integration;
mod node_handle;
mod responses;
mod run;
mod shared;
mod socket_options;

pub use {
    accept::BoundedListener,
    bounded_connection::{BoundedConnection, ConnectionCall},
    dialect::HeaderDialect,
    error::NodeError,
    integration::{EvacuationsWatch, Integration, SettingsWatch},
    node_handle::NodeHandle,
    run::{RunningNode, run},
    shared::Shared,
};
