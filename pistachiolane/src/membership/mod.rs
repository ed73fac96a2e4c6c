//! Membership of the fleet: probing, suspicion and gossip. Nothing that requires agreement between
//! nodes depends on it.

mod local_upstream;
mod members;
mod merge;
mod timing;
mod updates;

pub use {
    local_upstream::{LocalUpstream, UpstreamChange, UpstreamEvent},
    members::{Members, MembershipAction, MembershipEvent},
    timing::PROBE_PERIOD,
};
