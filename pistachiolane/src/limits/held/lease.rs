//! Bytes of a holder, given back when dropped.

use {
    super::{ByteBudget, Grant, Holder},
    crate::tick::Tick,
    std::sync::Arc,
};

/// Bytes that a holder has taken from a budget. They are given back when the lease is dropped.
#[derive(Debug)]
pub struct Lease {
    budget: Arc<ByteBudget>,
    holder: Arc<Holder>,
    key: u64,
}

impl Lease {
    /// Creates a lease of no bytes for a new holder.
    pub fn new(budget: &Arc<ByteBudget>, holder: Holder) -> Self {
        let holder = Arc::new(holder);
        let key = budget.holders.add(&holder);
        Self { budget: Arc::clone(budget), holder, key }
    }

    /// Takes more bytes.
    pub fn take(&self, bytes: u64, now: Tick) -> Grant {
        self.budget.take(&self.holder, bytes, now)
    }

    /// Takes more bytes even if the budget is used up; returns the holder that was evicted for it, if one was.
    pub fn force(&self, bytes: u64, now: Tick) -> Option<Arc<Holder>> {
        self.budget.force(&self.holder, bytes, now)
    }

    /// Returns the budget.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Returns the holder.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.budget.holders.remove(self.key);
        self.budget.give_back(&self.holder);
    }
}
