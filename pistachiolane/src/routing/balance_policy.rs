//! Prices and values by which a zone balance decides whether leaving the zone pays.

use std::time::Duration;

/// Bytes per gigabyte, the unit of prices.
const BYTES_PER_GB: f64 = 1e9;

/// Steepness of the transition from an answer in time to a late one around the target latency: a response that is
/// expected at half the target is in time with a probability of 0.94, at twice the target with 0.06.
const LATENESS_EXPONENT: i32 = 4;

record! {
    /// Prices of traffic and values of answers, in one currency of the operator's choice.
    ///
    /// Without values the difference in latency alone decides, whatever the prices.
    #[derive(Copy, Default)]
    pub struct BalancePolicy {
        /// Price of a gigabyte between zones of a region.
        pub zone_price: f64,
        /// Price of a gigabyte between regions.
        pub region_price: f64,
        /// Value of an answer within the target latency.
        pub value_in_time: f64,
        /// Value of a later answer.
        pub value_late: f64,
    }

    /// Policy of a node with the target latency of one request.
    #[derive(Copy)]
    pub struct BalanceTerms {
        /// Prices and values.
        pub policy: BalancePolicy,
        /// Time until the target latency of the request.
        pub target: Duration,
    }
}

impl BalancePolicy {
    /// Whether prices count: the operator has set a value to compare them with.
    pub fn has_values(&self) -> bool {
        self.value_in_time > 0.0 || self.value_late > 0.0
    }

    /// Returns the price of transferring `bytes` to another region or to another zone.
    pub fn price(&self, is_remote: bool, bytes: f64) -> f64 {
        let per_gb = if is_remote { self.region_price } else { self.zone_price };
        per_gb * bytes / BYTES_PER_GB
    }

    /// Returns the expected value of an answer that is expected after `completion_us`.
    pub fn value(&self, completion_us: f64, target_us: f64) -> f64 {
        let lateness = (completion_us / target_us.max(1.0)).powi(LATENESS_EXPONENT);
        let in_time = 1.0 / (1.0 + lateness);
        in_time * self.value_in_time + (1.0 - in_time) * self.value_late
    }
}
