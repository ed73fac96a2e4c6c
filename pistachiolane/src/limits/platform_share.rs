//! One node's share of the calls that the whole fleet may make to the platform.

/// Calls a second that the whole fleet may make; the platform takes several hundred writes and about two
/// thousand reads, and serves others too.
const FLEET_CALLS_PER_SECOND: u64 = 200;

/// Thousandths of a call, in which shares are counted.
pub const MILLICALLS_PER_CALL: u64 = 1_000;

/// Nodes of a region that watch the platform.
pub const WATCHERS_PER_REGION: u64 = 2;

/// A node's share in thousandths of a call a second: half of the fleet's calls belong to the watchers, half to
/// all nodes alike, by the members that the node knows.
pub fn platform_share_millicalls(members: u64, regions: u64, is_watcher: bool) -> u64 {
    let half = FLEET_CALLS_PER_SECOND * MILLICALLS_PER_CALL / 2;
    let common = half / members.max(1);
    let watchers = (regions * WATCHERS_PER_REGION).clamp(1, members.max(1));
    let watching = if is_watcher { half / watchers } else { 0 };
    (common + watching).max(1)
}

/// Thousandths of a call a second of the whole fleet.
pub fn platform_budget_millicalls() -> u64 {
    FLEET_CALLS_PER_SECOND * MILLICALLS_PER_CALL
}
