//! Limits: slots and queue of a gate, and the budgets for retries, probes and paid bytes.

mod adaptive_limit;
mod average;
mod demand;
mod gate;
mod platform_share;
mod quantile;
mod retry_after;
mod retry_budget;
mod service_times;
mod slots;
mod slowness;
mod token_bucket;
mod wait_queue;

pub use {
    adaptive_limit::AdaptiveLimit,
    average::Average,
    demand::Demand,
    gate::{Arrival, Gate, RefusalReason},
    platform_share::{MILLI, WATCHERS_PER_REGION, platform_budget, platform_share},
    quantile::Quantile,
    retry_after::retry_after,
    retry_budget::RetryBudget,
    service_times::ServiceTimes,
    slots::Slots,
    slowness::Slowness,
    token_bucket::TokenBucket,
    wait_queue::{Line, Queued, StartBy, WaitQueue},
};
