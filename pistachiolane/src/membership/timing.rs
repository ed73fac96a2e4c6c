//! Periods, timeouts, rates and fan-outs of the membership protocol.

use std::time::Duration;

/// Time between two periodic pings that a node sends.
pub const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Time without an acknowledgement after which a probe is retried through other members.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(120);

/// Time from the first ping after which a member that was reached neither directly nor through
/// others becomes suspect.
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a suspect that has not refuted is marked dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two checks for suspects that timed out and for dead records to remove.
pub const SUSPECT_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Number of other members that ping a member on behalf of a node whose own ping failed.
pub const INDIRECT_PROBES: usize = 3;

/// Pings per second that all nodes of a region together send to other regions.
pub const CROSS_REGION_PINGS_PER_SECOND: f64 = 8.0;

/// Time for which the record of a dead member is kept, so that stale gossip doesn't revive it.
pub const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// Time between two pings to a seed or a dead member, so that the sides of a healed partition
/// rejoin.
pub const REJOIN_PERIOD: Duration = Duration::from_secs(2);

/// Time since the last timer above which the node counts as having been paused; its outstanding
/// probes are then discarded as meaningless.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);

/// Time without any packet after which a node with live members counts as cut off from them.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Minimum time between two full exchanges of a node.
pub const EXCHANGE_PERIOD: Duration = Duration::from_secs(5);

/// Time between two full exchanges per member of the fleet, which bounds their bytes per second.
pub const EXCHANGE_TIME_PER_MEMBER: Duration = Duration::from_millis(125);

/// Time after which a node that has completed no full exchange counts as joined, because it is
/// presumably the first.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Minimum time between two rounds of sending urgent updates.
pub const URGENT_SEND_PERIOD: Duration = Duration::from_millis(50);

/// Number of members that receive an urgent update immediately.
pub const URGENT_FANOUT: usize = 2;

/// Average number of nodes of a region that forward an urgent update to other regions.
pub const CROSS_REGION_FORWARDERS: f64 = 4.0;

/// Number of members of the region that receive an unsolicited load report; the others receive the
/// load with the next response of the gate.
pub const LOAD_REPORT_FANOUT: usize = 12;

/// Time between two rounds of pings to seeds while a node knows no other member; hosts that start
/// together are up within 0.3 s.
pub const JOIN_PERIOD: Duration = Duration::from_millis(100);

/// Number of seeds pinged in each round of [`JOIN_PERIOD`]; some may not be up yet.
pub const JOIN_PINGS: usize = 4;
