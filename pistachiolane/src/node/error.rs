//! Failures that keep a node from starting.

use std::{io, net::SocketAddr};

/// Why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// An address could not be bound.
    #[error("--{flag}: cannot listen on {address}: {source}")]
    Bind {
        /// Flag that names the address.
        flag: &'static str,
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// What an adapter serves beside the node could not be started.
    #[error("--ready-listen or --announce-listen: cannot listen: {0}")]
    Services(io::Error),
}
