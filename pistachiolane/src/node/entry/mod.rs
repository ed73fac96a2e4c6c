//! The entry side of a node: callers' connections, their calls, and the hops to gates.

pub(in crate::node) mod attempt_driver;
pub(in crate::node) mod authentication;
pub(in crate::node) mod body_buffer;
pub(in crate::node) mod caller_socket;
pub(in crate::node) mod entry_server;
pub(in crate::node) mod held_response;
pub(in crate::node) mod hop;
pub(in crate::node) mod limit_check;
pub(in crate::node) mod pipeline;
pub(in crate::node) mod resolved_route;
pub(in crate::node) mod streamed_body;
