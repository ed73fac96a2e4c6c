//! Who is in the fleet: probing, suspicion and gossip. Nothing agreed rests on it.

mod members;
mod merge;
mod updates;

pub use members::{Members, MembershipAction, MembershipEvent, PROBE_PERIOD};
