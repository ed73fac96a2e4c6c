//! Who is in the fleet: probing, suspicion and gossip. Nothing agreed rests on it.

mod members;
mod merge;
mod timing;
mod updates;

pub use {
    members::{Members, MembershipAction, MembershipEvent},
    timing::PROBE_PERIOD,
};
