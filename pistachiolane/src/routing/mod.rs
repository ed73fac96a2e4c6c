//! Choice of an upstream while every report of load is stale.

mod candidate;
mod distance;
mod estimate;
mod pick;
mod service_table;
mod table;

pub use {
    candidate::{Candidate, EjectionChange},
    distance::Distance,
    estimate::{Estimate, ServiceMean},
    pick::{Pick, PickRequest, pick},
    service_table::{ServiceState, ServiceTable},
    table::RoutingTable,
};
