//! Which upstream to ask for its load, where traffic brought no fresh report.

use {
    super::{Candidate, Distance, ServiceTable},
    crate::{limits::TokenBucket, tick::Tick},
    std::{sync::Arc, time::Duration},
};

/// Age from which a report is stale enough to be worth a probe.
pub const STALE_AFTER: Duration = Duration::from_millis(250);

/// Fresh reports with which a service needs no probe: one that is not stale shows that traffic flows.
const ENOUGH_FRESH: usize = 1;

/// Bytes that a probe to another region costs, both ways.
const PROBE_BYTES: u64 = 512;

/// Budgets that a probe is taken from.
#[derive(Clone, Copy, Debug)]
pub struct ProbeBudgets<'a> {
    /// Probes.
    pub probes: &'a TokenBucket,
    /// Bytes to other regions.
    pub inter_region_bytes: &'a TokenBucket,
}

/// The upstream with the stalest report, if too few are fresh and the budgets allow a probe.
///
/// Called for each request of a service, so that a service without traffic costs no probes. With
/// [`ENOUGH_FRESH`] fresh reports there is a choice, and a wrong one costs only a refusal.
pub fn next_probe(
    table: &ServiceTable,
    now: Tick,
    budget: ProbeBudgets<'_>,
) -> Option<Arc<Candidate>> {
    let age = |c: &Candidate| c.report_age(now).unwrap_or(Duration::MAX);
    let known = || table.candidates.iter().filter(|c| !c.is_draining_or_dead(now));
    let is_fresh = |c: &&Arc<Candidate>| age(c) <= STALE_AFTER;
    if known().filter(is_fresh).count() >= ENOUGH_FRESH {
        return None;
    }
    let stalest =
        known().filter(|c| c.distance != Distance::Local && !is_fresh(c)).max_by_key(|c| age(c))?;
    if !stalest.claim_probe(now, STALE_AFTER) {
        return None;
    }
    let paid = stalest.distance == Distance::Remote;
    let allowed = budget.probes.try_take(now, 1)
        && (!paid || budget.inter_region_bytes.try_take(now, PROBE_BYTES));
    allowed.then(|| Arc::clone(stalest))
}
