//! Failures that keep a node from starting.

use std::{io, net::SocketAddr};

/// Failure of the start of a node.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A listener could not be bound to its address.
    #[error("--{flag}: cannot listen on {address}: {source}")]
    Bind {
        /// Command-line flag that sets the address.
        flag: &'static str,
        /// Address that was to be bound.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A service that the adapter runs next to the node could not be started.
    #[error("--ready-listen or --announce-listen: cannot listen: {0}")]
    Services(io::Error),
}
