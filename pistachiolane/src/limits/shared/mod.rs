//! Limits on requests per second that hold over all nodes.
//!
//! Each limit has an owner node that keeps its token bucket. Tokens are at the owner or, for a short time, at
//! entries that requested them; their number over all nodes never exceeds the bucket's capacity, so that a lost
//! message, a cut or a restart can lose tokens but creates none. Only what an entry may send ahead of a report
//! and the rate that it keeps while its owner is silent go beyond that, and both are bounded.

mod account;
mod ahead_source;
mod bounds;
mod bucket;
mod entry_side;
mod fleet_view;
mod owner_choice;
mod rule;
mod shared_limits;
mod size_registration;
mod status;

pub use {
    account::{AccountSnapshot, LimitAccount, LimitTable, Take},
    ahead_source::AheadSource,
    bucket::Bucket,
    entry_side::EntrySide,
    fleet_view::{FleetView, LimitMember},
    owner_choice::choose_owner,
    rule::{LimitRule, limit_id},
    shared_limits::{Outgoing, SharedLimits},
    size_registration::SizeRegistration,
    status::{LimitState, LimitStatus},
};
