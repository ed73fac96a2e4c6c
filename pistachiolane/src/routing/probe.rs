//! Which upstream to ask for its load, where traffic brought no fresh report.

use {
    super::{Candidate, Distance, ServiceTable},
    crate::{limits::TokenBucket, tick::Tick},
    std::{sync::Arc, time::Duration},
};

/// Age from which a report is stale enough to be worth a probe.
pub const STALE_AFTER: Duration = Duration::from_millis(250);

/// Bytes that a probe to another region costs, both ways.
const PROBE_BYTES: u64 = 512;

/// Budgets that a probe is taken from.
#[derive(Clone, Copy, Debug)]
pub struct ProbeBudget<'a> {
    /// Probes.
    pub probes: &'a TokenBucket,
    /// Bytes to other regions.
    pub paid: &'a TokenBucket,
}

/// The upstream with the stalest report, if one is stale and the budgets allow a probe.
///
/// Called for each request of a service, so that a service without traffic costs no probes.
pub fn next_probe(
    table: &ServiceTable,
    now: Tick,
    budget: ProbeBudget<'_>,
) -> Option<Arc<Candidate>> {
    let age = |c: &Candidate| c.report_age(now).unwrap_or(Duration::MAX);
    let stalest = table
        .candidates
        .iter()
        .filter(|c| !c.is_gone() && c.distance != Distance::Local && age(c) > STALE_AFTER)
        .max_by_key(|c| age(c))?;
    if !stalest.claim_probe(now, STALE_AFTER) {
        return None;
    }
    let paid = stalest.distance == Distance::Remote;
    let allowed =
        budget.probes.try_take(now, 1) && (!paid || budget.paid.try_take(now, PROBE_BYTES));
    allowed.then(|| Arc::clone(stalest))
}
