//! The budget that retries and hedges share.

use std::sync::atomic::{AtomicU64, Ordering};

/// Budget units of one retry: a request at one percent deposits one unit.
const UNITS_PER_RETRY: u64 = 100;

/// Retries that the budget holds at most until a reserve is set.
const DEFAULT_RESERVE: u64 = 50;

/// Retries that a new budget holds.
const FIRST_RETRIES: u64 = 5;

/// Allows retries as a share of the requests, with a bounded reserve.
#[derive(Debug)]
pub struct RetryBudget {
    units: AtomicU64,
    most: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            units: AtomicU64::new(FIRST_RETRIES * UNITS_PER_RETRY),
            most: AtomicU64::new(DEFAULT_RESERVE * UNITS_PER_RETRY),
        }
    }
}

impl RetryBudget {
    /// Bounds what the budget holds, in hundredths of a retry; what is beyond is lost.
    pub fn set_reserve(&self, hundredths: u64) {
        self.most.store(hundredths, Ordering::Relaxed);
        self.units.fetch_min(hundredths, Ordering::Relaxed);
    }

    /// Credits one request at `percent` retries for each hundred requests.
    pub fn deposit(&self, percent: u32) {
        let add = u64::from(percent);
        let most = self.most.load(Ordering::Relaxed);
        let credit = |units: u64| (units < most).then(|| (units + add).min(most));
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
