//! Budget that retries and hedges share.

use std::sync::atomic::{AtomicU64, Ordering};

/// Budget units that one retry costs; a request at a retry share of one percent deposits one unit.
const UNITS_PER_RETRY: u64 = 100;

/// Maximum number of retries that the budget stores until a reserve is set.
const DEFAULT_RESERVE_RETRIES: u64 = 50;

/// Retries that a new budget contains.
const INITIAL_RETRIES: u64 = 5;

/// Limits retries to a share of the requests, with a bounded reserve.
#[derive(Debug)]
pub struct RetryBudget {
    units: AtomicU64,
    max_units: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            units: AtomicU64::new(INITIAL_RETRIES * UNITS_PER_RETRY),
            max_units: AtomicU64::new(DEFAULT_RESERVE_RETRIES * UNITS_PER_RETRY),
        }
    }
}

impl RetryBudget {
    /// Creates a full budget that stores this many retries.
    pub fn with_reserve(retries: u64) -> Self {
        let units = retries * UNITS_PER_RETRY;
        Self { units: AtomicU64::new(units), max_units: AtomicU64::new(units) }
    }

    /// Sets the maximum reserve in hundredths of a retry; a balance above it is discarded.
    pub fn set_reserve(&self, hundredths: u64) {
        self.max_units.store(hundredths, Ordering::Relaxed);
        self.units.fetch_min(hundredths, Ordering::Relaxed);
    }

    /// Credits one request, at `percent` retries for each hundred requests.
    pub fn deposit(&self, percent: u32) {
        let deposited_units = u64::from(percent);
        let max_units = self.max_units.load(Ordering::Relaxed);
        let credit =
            |units: u64| (units < max_units).then(|| (units + deposited_units).min(max_units));
        // Skips the write while the budget is full.
        let _full = self.units.fetch_update(Ordering::Relaxed, Ordering::Relaxed, credit);
    }

    /// Withdraws the cost of one retry; `false` if the balance is too low.
    pub fn try_withdraw(&self) -> bool {
        let debit = |units: u64| units.checked_sub(UNITS_PER_RETRY);
        self.units.fetch_update(Ordering::Relaxed, Ordering::Relaxed, debit).is_ok()
    }

    /// Returns the number of whole retries that the balance covers.
    pub fn available(&self) -> u64 {
        self.units.load(Ordering::Relaxed) / UNITS_PER_RETRY
    }
}
