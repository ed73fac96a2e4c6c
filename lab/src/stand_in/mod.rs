//! Stand-ins for the platform and for upstreams.

mod capacity;
mod configuration;
mod http_server;
mod platform;
mod platform_upstream;
mod refusal;
mod upstream;

pub use {
    capacity::{Capacity, WhenFull},
    configuration::{RouteRow, configuration},
    platform::{CallCounts, PlatformFaults, PlatformStandIn},
    platform_upstream::{Arrived, ID, PlatformUpstream},
    refusal::{Refusal, RefusalKind},
    upstream::{REQUEST_ID, UpstreamBehaviour, UpstreamStandIn},
};
