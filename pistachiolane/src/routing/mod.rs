//! Choice of an upstream while every report of load is stale.

mod candidate;
mod distance;
mod estimate;
mod pick;
mod probe;
mod service_table;
mod table;

pub use {
    candidate::Candidate,
    distance::Distance,
    estimate::{Estimate, ServiceBaseline},
    pick::{Pick, PickRequest, pick},
    probe::{ProbeBudgets, STALE_AFTER, next_probe},
    service_table::{NO_UPSTREAM_RETRY_AFTER, ServiceState, ServiceTable},
    table::RoutingTable,
};
