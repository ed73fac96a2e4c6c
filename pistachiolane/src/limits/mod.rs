//! Limits: slots and queue of a gate, the throttle of an entry, the budgets for retries, probes, platform calls and
//! inter-region bytes, and limits that hold over all nodes.

mod abandoned_run;
mod adaptive_limit;
mod admission_request;
mod average;
mod cold_state;
mod entry_throttle;
mod gate;
pub mod held;
mod platform_share;
mod quantile;
mod retry_after;
mod retry_budget;
mod served_shares;
mod service_times;
pub mod shared;
mod slots;
mod slowness;
mod stated_rate;
mod token_bucket;
mod urgency;
mod wait_queue;
mod window_counter;
mod zone_state;

pub use {
    abandoned_run::abandoned_run_time,
    adaptive_limit::AdaptiveLimit,
    admission_request::{AdmissionRequest, refusal_margin},
    average::Average,
    cold_state::{ColdChange, ColdSource, ColdState},
    entry_throttle::{CallUrgency, EntryThrottle, ThrottleState},
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
    window_counter::WindowCounter,
    zone_state::{ZoneEvacuation, ZoneState},
};
