//! Stand-ins for the platform and for upstreams.

mod http_server;
mod platform;
mod platform_upstream;
mod upstream;

pub use {
    platform::{CallCounts, PlatformFaults, PlatformStandIn},
    platform_upstream::{Arrived, ID, PlatformUpstream},
    upstream::{REQUEST_ID, UpstreamBehaviour, UpstreamStandIn},
};
