//! Share of one node in the rate of platform calls that the whole fleet may make.

/// Calls per second that the whole fleet may make. The platform handles several hundred writes and about
/// two thousand reads per second, and serves other clients too.
const FLEET_CALLS_PER_SECOND: u64 = 200;

/// Thousandths of a call, the unit of shares and budgets.
pub const MILLICALLS_PER_CALL: u64 = 1_000;

/// Nodes in each region that watch the platform.
pub const WATCHERS_PER_REGION: u64 = 1;

/// Returns a node's share in thousandths of a call per second.
///
/// Half of the fleet's calls are divided among the watchers, the other half equally among all nodes.
/// `members` is the number of members in the node's membership view.
pub fn platform_share_millicalls(members: u64, regions: u64, is_watcher: bool) -> u64 {
    let half = FLEET_CALLS_PER_SECOND * MILLICALLS_PER_CALL / 2;
    let base_share = half / members.max(1);
    let watchers = (regions * WATCHERS_PER_REGION).clamp(1, members.max(1));
    let watcher_share = if is_watcher { half / watchers } else { 0 };
    (base_share + watcher_share).max(1)
}

/// Returns the maximum call rate of the whole fleet in thousandths of a call per second.
pub fn platform_budget_millicalls() -> u64 {
    FLEET_CALLS_PER_SECOND * MILLICALLS_PER_CALL
}
