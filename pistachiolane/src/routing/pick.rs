//! Selection of the upstream with the lowest expected completion time.

use {
    super::{
        AllowedRegions, BalanceTerms, Candidate, Departure, DepartureReason, Distance, Estimate,
        EvacuatedZones, ServiceBaseline, ServiceTable, service_table::MAX_SAMPLED,
    },
    crate::tick::Tick,
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
    /// Zones whose upstreams aren't picked.
    pub evacuated: &'a EvacuatedZones,
    /// Whether remote upstreams may be picked while nearby ones are usable.
    pub allow_remote: bool,
    /// Terms on which requests leave the entry's zone; `None` if the expected completion time alone decides.
    pub balance: Option<BalanceTerms>,
}

impl PickRequest<'_> {
    /// Whether an upstream is in an allowed region and outside the evacuated zones.
    pub(super) fn allows_place_of(&self, candidate: &Candidate) -> bool {
        let member = &candidate.member;
        self.regions.allows(&member.region) && !self.evacuated.contains(&member.zone)
    }
}

/// Picked upstream with its estimate.
#[derive(Clone, Debug)]
pub struct Pick {
    /// Picked upstream.
    pub candidate: Arc<Candidate>,
    /// Estimate for the request at this upstream.
    pub estimate: Estimate,
    /// Why the request leaves the entry's zone, if it does.
    pub departure: Option<Departure>,
}

/// Picks the upstream with the lowest expected completion time; ties are broken at random. With a zone balance, only
/// upstreams of one zone are compared, the entry's or one that the balance draws.
///
/// Draining, dead and unreachable upstreams and those of evacuated zones are never picked; suspect, ejected and shedding ones only if
/// there is no healthy one. The entry's estimate may be wrong: only the gate decides on admission.
pub fn pick<R: Rng>(table: &ServiceTable, req: PickRequest<'_>, rng: &mut R) -> Option<Pick> {
    if let Some(terms) = &req.balance {
        let picked = pick_balanced(table, &req, terms, rng);
        if picked.is_some() {
            return picked;
        }
    }
    let sampled = sample(table, req, rng);
    let is_eligible =
        |c: &&Arc<Candidate>| c.is_usable(req.now) && !req.excluded_nodes.contains(&c.member.node);
    let usable: Vec<&Arc<Candidate>> = sampled.into_iter().filter(is_eligible).collect();
    let healthy: Vec<&Arc<Candidate>> =
        usable.iter().copied().filter(|c| c.is_healthy(req.now)).collect();
    let candidates = if healthy.is_empty() { usable } else { healthy };
    let candidates = exclude_remote_if_nearby(candidates, req.allow_remote);
    let mut picked = pick_lowest(req.now, &candidates, table, rng)?;
    if let Some(departure) = &mut picked.departure {
        departure.reason = departure_reason(table, &req);
    }
    Some(picked)
}

/// Picks a healthy upstream of the zone that the balance draws, or else of the entry's zone; `None` if there is none.
fn pick_balanced<R: Rng>(
    table: &ServiceTable,
    req: &PickRequest<'_>,
    terms: &BalanceTerms,
    rng: &mut R,
) -> Option<Pick> {
    let shares = table.state.balance.shares(table, req, terms)?;
    let drawn = shares.draw(rng.random_range(0.0..1.0));
    let drawn = drawn.filter(|z| req.allow_remote || z.distance != Distance::Remote);
    let is_eligible = |c: &&Arc<Candidate>| {
        let is_usable = c.is_usable(req.now) && c.is_healthy(req.now);
        is_usable && req.allows_place_of(c) && !req.excluded_nodes.contains(&c.member.node)
    };
    if let Some(zone) = drawn {
        let is_there = |c: &&Arc<Candidate>| {
            c.member.zone == zone.zone && c.member.region == zone.region && is_eligible(c)
        };
        let there: Vec<_> = window(&table.candidates, MAX_SAMPLED, is_there, rng).collect();
        if let Some(picked) = pick_lowest(req.now, &there, table, rng) {
            let reason = if shares.occupancy > 0.0 {
                DepartureReason::Full
            } else {
                departure_reason(table, req)
            };
            let departure = Departure {
                distance: zone.distance,
                reason,
                home_us: shares.home_us,
                away_us: zone.completion_us,
                age_ms: (zone.age_us / 1_000.0) as i64,
            };
            return Some(Pick { departure: Some(departure), ..picked });
        }
    }
    let is_home = |c: &&Arc<Candidate>| c.distance <= Distance::Zone && is_eligible(c);
    let home: Vec<_> = window(&table.candidates, MAX_SAMPLED, is_home, rng).collect();
    pick_lowest(req.now, &home, table, rng)
}

/// Returns why a request that is picked by expected completion time leaves the entry's zone.
fn departure_reason(table: &ServiceTable, req: &PickRequest<'_>) -> DepartureReason {
    let is_home = |c: &&Arc<Candidate>| {
        c.distance <= Distance::Zone && req.allows_place_of(c) && c.is_usable(req.now)
    };
    let mut reason = DepartureReason::None;
    for candidate in table.candidates.iter().filter(is_home) {
        let is_excluded = req.excluded_nodes.contains(&candidate.member.node);
        match (is_excluded, candidate.is_healthy(req.now)) {
            (false, true) => return DepartureReason::Estimate,
            (true, _) => reason = DepartureReason::Full,
            (false, false) if reason == DepartureReason::None => reason = DepartureReason::Ejected,
            (false, false) => {}
        }
    }
    reason
}

/// Returns all candidates in allowed places, or a sample in which those of the entry's availability zone come first.
fn sample<'a, R: Rng>(
    table: &'a ServiceTable,
    req: PickRequest<'_>,
    rng: &mut R,
) -> Vec<&'a Arc<Candidate>> {
    let is_allowed = |c: &&Arc<Candidate>| req.allows_place_of(c);
    if table.candidates.len() <= MAX_SAMPLED {
        return table.candidates.iter().filter(is_allowed).collect();
    }
    let [zone, region, remote] = table.by_distance();
    let elsewhere =
        region.len().min(MIN_SAMPLED_ELSEWHERE) + remote.len().min(MIN_SAMPLED_ELSEWHERE);
    let mut sampled = Vec::with_capacity(MAX_SAMPLED);
    sampled.extend(window(zone, MAX_SAMPLED - elsewhere, is_allowed, rng));
    let left = MAX_SAMPLED - sampled.len() - remote.len().min(MIN_SAMPLED_ELSEWHERE);
    sampled.extend(window(region, left, is_allowed, rng));
    sampled.extend(window(remote, MAX_SAMPLED - sampled.len(), is_allowed, rng));
    sampled
}

/// Returns up to `count` consecutive candidates in allowed places from a random index on; their order is
/// random with respect to load.
fn window<'a, R: Rng>(
    candidates: &'a [Arc<Candidate>],
    count: usize,
    is_allowed: impl Fn(&&'a Arc<Candidate>) -> bool,
    rng: &mut R,
) -> impl Iterator<Item = &'a Arc<Candidate>> {
    let start = rng.random_range(0..candidates.len().max(1));
    let rotated = candidates.iter().cycle().skip(start).take(candidates.len());
    rotated.filter(is_allowed).take(count)
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

/// Picks the candidate with the lowest expected completion time. The reason of a departure is still to be set.
fn pick_lowest<R: Rng>(
    now: Tick,
    candidates: &[&Arc<Candidate>],
    table: &ServiceTable,
    rng: &mut R,
) -> Option<Pick> {
    let baseline = ServiceBaseline::of(candidates.iter().map(AsRef::as_ref))
        .with_bytes(table.state.bytes.get());
    let estimates: Vec<Estimate> =
        candidates.iter().map(|c| Estimate::new(now, c, &baseline)).collect();
    let best = estimates.iter().map(|e| e.completion_us).fold(f64::INFINITY, f64::min);
    let ties = estimates.iter().filter(|e| e.completion_us <= best * TIE_RATIO).count();
    if ties == 0 {
        return None;
    }
    let tie_index = rng.random_range(0..ties);
    let is_tie = |(_, e): &(_, &Estimate)| e.completion_us <= best * TIE_RATIO;
    let (candidate, estimate) = candidates.iter().zip(&estimates).filter(is_tie).nth(tie_index)?;
    let departure = (candidate.distance > Distance::Zone).then(|| {
        let home = candidates.iter().zip(&estimates).filter(|(c, _)| c.distance <= Distance::Zone);
        let home_us = home.map(|(_, e)| e.completion_us).reduce(f64::min).unwrap_or(0.0);
        Departure {
            distance: candidate.distance,
            reason: DepartureReason::Estimate,
            home_us,
            away_us: estimate.completion_us,
            age_ms: candidate.report_age(now).map_or(-1, |age| age.as_millis() as i64),
        }
    });
    Some(Pick { candidate: Arc::clone(candidate), estimate: *estimate, departure })
}
