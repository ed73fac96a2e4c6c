//! Errors at the start of a node.

use std::{io, net::SocketAddr};

/// Error that prevents a node from starting.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A listener could not be bound to its address.
    #[error("--{flag}: cannot listen on {address}: {source}")]
    Bind {
        /// Command-line flag that sets the address.
        flag: &'static str,
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A service that the adapter runs next to the node could not be started.
    #[error("--ready-listen or --announce-listen: cannot listen: {0}")]
    Services(io::Error),
}
