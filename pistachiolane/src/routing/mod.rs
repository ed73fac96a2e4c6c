//! Choice of an upstream from load reports, each of which is stale to some degree.

mod allowed_regions;
mod balance_policy;
mod candidate;
mod departure;
mod distance;
mod estimate;
mod evacuated_zones;
mod pick;
mod probe;
mod service_table;
mod table;
mod zone_balance;
mod zone_load;
mod zone_shares;

pub use {
    allowed_regions::AllowedRegions,
    balance_policy::{BalancePolicy, BalanceTerms},
    candidate::Candidate,
    departure::{Departure, DepartureReason},
    distance::Distance,
    estimate::{Estimate, ServiceBaseline},
    evacuated_zones::EvacuatedZones,
    pick::{Pick, PickRequest, pick},
    probe::{ProbeBudgets, STALE_AFTER, next_probe},
    service_table::{ServiceState, ServiceTable, retry_after_without_upstream},
    table::RoutingTable,
    zone_balance::ZoneBalance,
    zone_load::ZoneLoad,
    zone_shares::{ZoneShares, ZoneWeight},
};
