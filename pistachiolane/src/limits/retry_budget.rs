//! The budget that retries and hedges share.

use std::sync::atomic::{AtomicU64, Ordering};

/// Budget units of one retry: a request at one percent deposits one unit.
const UNITS_PER_RETRY: u64 = 100;

/// Units that the budget holds at most.
const MAX_UNITS: u64 = 50 * UNITS_PER_RETRY;

/// Allows retries as a share of the requests, with a bounded reserve.
#[derive(Debug)]
pub struct RetryBudget {
    units: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { units: AtomicU64::new(5 * UNITS_PER_RETRY) }
    }
}

impl RetryBudget {
    /// Credits one request at `percent` retries for each hundred requests.
    pub fn deposit(&self, percent: u32) {
        let add = u64::from(percent);
        let credit = |units: u64| (units < MAX_UNITS).then(|| (units + add).min(MAX_UNITS));
        // A full budget needs no write.
        let _full = self.units.fetch_update(Ordering::Relaxed, Ordering::Relaxed, credit);
    }

    /// Takes the price of one retry if the budget holds it.
    pub fn try_withdraw(&self) -> bool {
        let debit = |units: u64| units.checked_sub(UNITS_PER_RETRY);
        self.units.fetch_update(Ordering::Relaxed, Ordering::Relaxed, debit).is_ok()
    }

    /// Whole retries that the budget holds.
    pub fn available(&self) -> u64 {
        self.units.load(Ordering::Relaxed) / UNITS_PER_RETRY
    }
}
