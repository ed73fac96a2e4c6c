//! The admin address: status, dumps and operators' commands.

pub(in crate::node) mod admin_server;
pub(in crate::node) mod operator;
pub(in crate::node) mod status;
