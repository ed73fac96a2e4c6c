//! Limits: slots and queue of a gate, and the budgets for retries, probes, platform calls and
//! inter-region bytes.

mod adaptive_limit;
mod admission_request;
mod average;
mod cold_state;
mod gate;
mod platform_share;
mod quantile;
mod retry_after;
mod retry_budget;
mod service_times;
mod slots;
mod slowness;
mod stated_rate;
mod token_bucket;
mod urgency;
mod wait_queue;
mod zone_state;

pub use {
    adaptive_limit::AdaptiveLimit,
    admission_request::AdmissionRequest,
    average::Average,
    cold_state::{ColdChange, ColdSource, ColdState},
    gate::{AdmissionDecision, Gate, RefusalReason, WARMING_DURATION},
    platform_share::{
        MILLICALLS_PER_CALL, WATCHERS_PER_REGION, platform_budget_millicalls,
        platform_share_millicalls,
    },
    quantile::Quantile,
    retry_after::retry_after,
    retry_budget::RetryBudget,
    service_times::ServiceTimes,
    slots::Slots,
    slowness::Slowness,
    stated_rate::StatedRate,
    token_bucket::TokenBucket,
    urgency::Urgency,
    wait_queue::{Dequeued, QueueKey, StartDeadlines, WaitQueue},
    zone_state::{ZoneEvacuation, ZoneState},
};
