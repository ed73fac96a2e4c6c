//! Membership, settings and the store: the tasks and messages behind them.

pub(in crate::node) mod control_client;
pub(in crate::node) mod control_loop;
pub(in crate::node) mod control_service;
pub(in crate::node) mod evacuation_task;
pub(in crate::node) mod gossip_socket;
pub(in crate::node) mod postcard_codec;
pub(in crate::node) mod registered_size;
pub(in crate::node) mod settings_comparison;
pub(in crate::node) mod store_task;
