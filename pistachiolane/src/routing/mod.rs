//! Choice of an upstream from load reports, each of which is stale to some degree.

mod allowed_regions;
mod candidate;
mod distance;
mod estimate;
mod evacuated_zones;
mod pick;
mod probe;
mod service_table;
mod table;

pub use {
    allowed_regions::AllowedRegions,
    candidate::Candidate,
    distance::Distance,
    estimate::{Estimate, ServiceBaseline},
    evacuated_zones::EvacuatedZones,
    pick::{Pick, PickRequest, pick},
    probe::{ProbeBudgets, STALE_AFTER, next_probe},
    service_table::{ServiceState, ServiceTable, retry_after_without_upstream},
    table::RoutingTable,
};
