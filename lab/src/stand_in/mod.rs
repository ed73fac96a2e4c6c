//! Stand-ins for the platform and for upstreams.

mod http_server;
mod platform;
mod upstream;

pub use {
    platform::{CallCounts, PlatformFaults, PlatformStandIn},
    upstream::{REQUEST_ID, UpstreamBehaviour, UpstreamStandIn},
};
