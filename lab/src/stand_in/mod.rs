//! Test doubles of the platform's store and of upstreams.

mod capacity;
mod configuration;
mod host_outage;
mod http_server;
mod platform;
mod platform_upstream;
mod upstream;

pub use {
    capacity::{Capacity, WhenFull},
    configuration::{RouteRow, configuration},
    host_outage::{HostOutage, OutageKind},
    platform::{CallCounts, PlatformFaults, PlatformStandIn, StoreContents},
    platform_upstream::{HEALTH_PATH, PLATFORM_REQUEST_ID, PlatformUpstream, ReceivedRequest},
    upstream::{LOAD_REQUEST_ID, UpstreamBehaviour, UpstreamStandIn},
};
