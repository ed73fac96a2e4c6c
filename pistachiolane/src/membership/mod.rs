//! Membership of the fleet: probing, suspicion and gossip. The views of the nodes may differ, so
//! nothing that requires agreement between nodes depends on them.

mod local_upstream;
mod members;
mod merge;
mod suspect_queue;
mod timing;
mod updates;

pub use {
    local_upstream::{LocalUpstream, UpstreamChange, UpstreamEvent, is_same_incarnation},
    members::{Members, MembershipAction, MembershipEvent},
    timing::PROBE_PERIOD,
};
