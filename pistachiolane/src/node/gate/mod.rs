//! The gate side of a node: admission and the connections to the local upstream.

pub(in crate::node) mod announcements;
pub(in crate::node) mod cold_upstream;
pub(in crate::node) mod crash_detector;
pub(in crate::node) mod gate_server;
pub(in crate::node) mod load_probe;
pub(in crate::node) mod queue_task;
pub(in crate::node) mod received_body;
pub(in crate::node) mod reopening;
pub(in crate::node) mod upstream_pool;
pub(in crate::node) mod upstream_statements;
