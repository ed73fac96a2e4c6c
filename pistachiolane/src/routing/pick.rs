//! Selection of the upstream with the lowest expected completion time.

use {
    super::{
        AllowedRegions, Candidate, Distance, Estimate, ServiceBaseline, ServiceTable,
        service_table::MAX_SAMPLED,
    },
    crate::{schema::GateState, tick::Tick},
    rand::{Rng, RngExt},
    std::sync::Arc,
};

/// Minimum number of sampled candidates that are nearby and outside the entry's availability zone, and of
/// remote ones, if there are that many.
const MIN_SAMPLED_ELSEWHERE: usize = 8;

/// Completion times within this ratio of the lowest count as equal; ties are broken at random.
const TIE_RATIO: f64 = 1.03;

/// Parameters of one pick.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Time of the pick.
    pub now: Tick,
    /// Nodes that aren't picked, because an earlier attempt of the call was refused there, other than as
    /// busy, or failed there.
    pub excluded_nodes: &'a [u64],
    /// Regions whose upstreams may be picked.
    pub regions: &'a AllowedRegions,
    /// Whether remote upstreams may be picked while nearby ones are usable.
    pub allow_remote: bool,
}

/// Picked upstream with its estimate.
#[derive(Clone, Debug)]
pub struct Pick {
    /// Picked upstream.
    pub candidate: Arc<Candidate>,
    /// Estimate for the request at this upstream.
    pub estimate: Estimate,
}

/// Picks the upstream with the lowest expected completion time; ties are broken at random.
///
/// Draining, dead and unreachable upstreams are never picked; suspect, ejected and shedding ones only if
/// there is no healthy one. The entry's estimate may be wrong: only the gate decides on admission.
pub fn pick<R: Rng>(table: &ServiceTable, req: PickRequest<'_>, rng: &mut R) -> Option<Pick> {
    let sampled = sample(table, req.regions, rng);
    let is_eligible =
        |c: &&Arc<Candidate>| c.is_usable(req.now) && !req.excluded_nodes.contains(&c.member.node);
    let usable: Vec<&Arc<Candidate>> = sampled.into_iter().filter(is_eligible).collect();
    let is_healthy = |c: &&Arc<Candidate>| {
        !c.is_ejected(req.now) && !c.is_suspect() && c.state() != GateState::Shedding
    };
    let healthy: Vec<&Arc<Candidate>> = usable.iter().copied().filter(is_healthy).collect();
    let candidates = if healthy.is_empty() { usable } else { healthy };
    let candidates = exclude_remote_if_nearby(candidates, req.allow_remote);
    let baseline = ServiceBaseline::of(candidates.iter().map(AsRef::as_ref))
        .with_bytes(table.state.bytes.get());
    pick_lowest(req.now, &candidates, &baseline, rng)
}

/// Returns all candidates in allowed regions, or a sample in which those of the entry's availability zone come first.
fn sample<'a, R: Rng>(
    table: &'a ServiceTable,
    regions: &AllowedRegions,
    rng: &mut R,
) -> Vec<&'a Arc<Candidate>> {
    if table.candidates.len() <= MAX_SAMPLED {
        return table.allowed(regions).collect();
    }
    let [zone, region, remote] = table.by_distance();
    let elsewhere =
        region.len().min(MIN_SAMPLED_ELSEWHERE) + remote.len().min(MIN_SAMPLED_ELSEWHERE);
    let mut sampled = Vec::with_capacity(MAX_SAMPLED);
    sampled.extend(window(zone, MAX_SAMPLED - elsewhere, regions, rng));
    let left = MAX_SAMPLED - sampled.len() - remote.len().min(MIN_SAMPLED_ELSEWHERE);
    sampled.extend(window(region, left, regions, rng));
    sampled.extend(window(remote, MAX_SAMPLED - sampled.len(), regions, rng));
    sampled
}

/// Returns up to `count` consecutive candidates in allowed regions from a random index on; their order is
/// random with respect to load.
fn window<'a, R: Rng>(
    candidates: &'a [Arc<Candidate>],
    count: usize,
    regions: &AllowedRegions,
    rng: &mut R,
) -> impl Iterator<Item = &'a Arc<Candidate>> {
    let start = rng.random_range(0..candidates.len().max(1));
    let rotated = candidates.iter().cycle().skip(start).take(candidates.len());
    rotated.filter(|c| regions.allows(&c.member.region)).take(count)
}

/// Excludes remote candidates if they aren't allowed and a nearby one exists.
fn exclude_remote_if_nearby(
    candidates: Vec<&Arc<Candidate>>,
    allow_remote: bool,
) -> Vec<&Arc<Candidate>> {
    let has_nearby = candidates.iter().any(|c| c.distance != Distance::Remote);
    if allow_remote || !has_nearby {
        return candidates;
    }
    candidates.into_iter().filter(|c| c.distance != Distance::Remote).collect()
}

fn pick_lowest<R: Rng>(
    now: Tick,
    candidates: &[&Arc<Candidate>],
    baseline: &ServiceBaseline,
    rng: &mut R,
) -> Option<Pick> {
    let estimates: Vec<Estimate> =
        candidates.iter().map(|c| Estimate::new(now, c, baseline)).collect();
    let best = estimates.iter().map(|e| e.completion_us).fold(f64::INFINITY, f64::min);
    let ties = estimates.iter().filter(|e| e.completion_us <= best * TIE_RATIO).count();
    if ties == 0 {
        return None;
    }
    let tie_index = rng.random_range(0..ties);
    candidates
        .iter()
        .zip(estimates)
        .filter(|(_, e)| e.completion_us <= best * TIE_RATIO)
        .nth(tie_index)
        .map(|(c, estimate)| Pick { candidate: Arc::clone(c), estimate })
}
