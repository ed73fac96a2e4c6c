//! Choice of an upstream from load reports, each of which is stale to some degree.

mod allowed_regions;
mod candidate;
mod distance;
mod estimate;
mod pick;
mod probe;
mod service_table;
mod table;

pub use {
    allowed_regions::AllowedRegions,
    candidate::Candidate,
    distance::Distance,
    estimate::{Estimate, ServiceBaseline},
    pick::{Pick, PickRequest, pick},
    probe::{ProbeBudgets, STALE_AFTER, next_probe},
    service_table::{ServiceState, ServiceTable, retry_after_without_upstream},
    table::RoutingTable,
};
