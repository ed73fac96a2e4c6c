//! Periods, time-outs and rates of the membership.

use std::time::Duration;

/// Time between two pings of a node.
pub const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Time after which a ping without acknowledgement is tried through others.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(120);

/// Time after which a member that no one reached is suspected.
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a suspected member is taken for dead.
pub const SUSPICION: Duration = Duration::from_secs(1);

/// Time between two looks for suspects whose time is up and for records to forget.
pub const SUSPECTS_PERIOD: Duration = Duration::from_millis(100);

/// Members asked to ping in place of a node.
pub const INDIRECT_PROBES: usize = 3;

/// Pings a second that a whole region sends to each other region.
pub const CROSS_REGION_PINGS_PER_SECOND: f64 = 8.0;

/// Time for which the record of a dead member is kept, so that stale gossip does not bring it back.
pub const KEEP_DEAD: Duration = Duration::from_secs(600);

/// Time between two pings to a seed or a dead member, which heal a parting.
pub const REJOIN_PERIOD: Duration = Duration::from_secs(2);

/// Lateness of a timer from which the node was paused and its open probes mean nothing.
pub const PAUSE: Duration = Duration::from_millis(300);

/// Shortest time between two full exchanges of a node.
pub const EXCHANGE_PERIOD: Duration = Duration::from_secs(5);

/// Time between two full exchanges for each member of the fleet, which bounds their bytes a second.
pub const EXCHANGE_TIME_PER_MEMBER: Duration = Duration::from_millis(125);

/// Time after which a node whose seeds are all silent takes itself for the first.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Shortest time between two rounds in which urgent news is spread.
pub const SPREAD_PERIOD: Duration = Duration::from_millis(50);

/// Members told at once of urgent news.
pub const SPREAD_FANOUT: usize = 2;

/// Nodes of a region that carry a piece of urgent news to other regions, on average.
pub const CROSS_REGION_SPREADERS: f64 = 4.0;

/// Members of the region that hear of a change of a gate's load at once; the others with its next answer to them.
pub const LOAD_FANOUT: usize = 12;

/// Time between two rounds of pings to seeds while a node knows nobody: hosts that start together are up within 0.3 s.
pub const JOIN_PERIOD: Duration = Duration::from_millis(100);

/// Seeds pinged in such a round; some may not be up yet.
pub const JOIN_PINGS: usize = 4;
