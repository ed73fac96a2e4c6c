//! Choice of an upstream to probe for its load when no response brought a fresh load report.

use {
    super::{AllowedRegions, Candidate, Distance, ServiceTable},
    crate::{limits::TokenBucket, tick::Tick},
    std::{sync::Arc, time::Duration},
};

/// Age above which a load report is stale enough to be worth a probe.
pub const STALE_AFTER: Duration = Duration::from_millis(250);

/// Number of fresh reports from which on a service needs no probe: one shows that there is traffic.
const MIN_FRESH_REPORTS: usize = 1;

/// Bytes of a probe to another region, in both directions together.
const PROBE_BYTES: u64 = 512;

/// Budgets that limit probes.
#[derive(Clone, Copy, Debug)]
pub struct ProbeBudgets<'a> {
    /// Probe budget; one token for each probe.
    pub probes: &'a TokenBucket,
    /// Inter-region byte budget.
    pub inter_region_bytes: &'a TokenBucket,
}

/// Returns the upstream in the allowed regions with the stalest report, if too few are fresh and the budgets allow a
/// probe.
///
/// Called for each request of a service with the regions in which it may run, so that a service without traffic causes no probes.
/// `MIN_FRESH_REPORTS` fresh reports suffice for a pick, because a wrong pick costs only a refusal.
pub fn next_probe(
    table: &ServiceTable,
    now: Tick,
    regions: &AllowedRegions,
    budgets: ProbeBudgets<'_>,
) -> Option<Arc<Candidate>> {
    let age = |c: &Candidate| c.report_age(now).unwrap_or(Duration::MAX);
    let candidates = || table.allowed(regions).filter(|c| !c.is_draining_or_dead(now));
    let is_fresh = |c: &&Arc<Candidate>| age(c) <= STALE_AFTER;
    if candidates().filter(is_fresh).count() >= MIN_FRESH_REPORTS {
        return None;
    }
    let stalest = candidates()
        .filter(|c| c.distance != Distance::Local && !is_fresh(c))
        .max_by_key(|c| age(c))?;
    if !stalest.claim_probe(now, STALE_AFTER) {
        return None;
    }
    let is_remote = stalest.distance == Distance::Remote;
    let allowed = budgets.probes.try_take(now, 1)
        && (!is_remote || budgets.inter_region_bytes.try_take(now, PROBE_BYTES));
    allowed.then(|| Arc::clone(stalest))
}
