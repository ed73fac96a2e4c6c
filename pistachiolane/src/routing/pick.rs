//! The pick: the upstream with the lowest expected completion time.

use {
    super::{Candidate, Distance, Estimate, ServiceBaseline, ServiceTable},
    crate::{schema::GateState, tick::Tick},
    rand::{Rng, RngExt},
    std::sync::Arc,
};

/// Candidates that are looked at for one pick; a larger service is sampled.
const MAX_LOOKED_AT: usize = 32;

/// Completion times within this ratio count as equal; ties are broken at random.
const TIE_RATIO: f64 = 1.03;

/// One pick to make.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Time of the pick.
    pub now: Tick,
    /// Nodes that refused or lost an attempt of this call.
    pub tried: &'a [u64],
    /// Whether upstreams of other regions may be chosen while near ones are usable.
    pub allow_remote: bool,
}

/// A chosen upstream.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The upstream.
    pub candidate: Arc<Candidate>,
    /// What is expected of it.
    pub estimate: Estimate,
}

/// Picks the upstream with the lowest expected completion time, ties at random.
///
/// Draining and dead upstreams are never picked; suspected, ejected and failing ones only while no sound
/// one is left. The entry's guess may be wrong: only the gate admits.
pub fn pick<R: Rng>(table: &ServiceTable, req: PickRequest<'_>, rng: &mut R) -> Option<Pick> {
    let looked_at = sample(table, rng);
    let open = |c: &&Arc<Candidate>| c.is_usable(req.now) && !req.tried.contains(&c.member.node);
    let usable: Vec<&Arc<Candidate>> = looked_at.into_iter().filter(open).collect();
    let healthy = |c: &&Arc<Candidate>| {
        !c.is_ejected(req.now) && !c.is_suspect() && c.state() != GateState::Shedding
    };
    let sound: Vec<&Arc<Candidate>> = usable.iter().copied().filter(healthy).collect();
    let from = if sound.is_empty() { usable } else { sound };
    let from = near(from, req.allow_remote);
    let norm =
        ServiceBaseline::of(from.iter().map(AsRef::as_ref)).with_bytes(table.state.bytes.get());
    lowest(req.now, &from, &norm, rng)
}

fn sample<'a, R: Rng>(table: &'a ServiceTable, rng: &mut R) -> Vec<&'a Arc<Candidate>> {
    let all = &table.candidates;
    if all.len() <= MAX_LOOKED_AT {
        return all.iter().collect();
    }
    let start = rng.random_range(0..all.len());
    // A window of a table in node order, which is random with respect to load and place.
    (0..MAX_LOOKED_AT).map(|i| &all[(start + i) % all.len()]).collect()
}

fn near(from: Vec<&Arc<Candidate>>, allow_remote: bool) -> Vec<&Arc<Candidate>> {
    let any_near = from.iter().any(|c| c.distance != Distance::Remote);
    if allow_remote || !any_near {
        return from;
    }
    from.into_iter().filter(|c| c.distance != Distance::Remote).collect()
}

fn lowest<R: Rng>(
    now: Tick,
    from: &[&Arc<Candidate>],
    norm: &ServiceBaseline,
    rng: &mut R,
) -> Option<Pick> {
    let estimates: Vec<Estimate> = from.iter().map(|c| Estimate::new(now, c, norm)).collect();
    let best = estimates.iter().map(|e| e.completion_us).fold(f64::INFINITY, f64::min);
    let ties = estimates.iter().filter(|e| e.completion_us <= best * TIE_RATIO).count();
    if ties == 0 {
        return None;
    }
    let chosen = rng.random_range(0..ties);
    from.iter()
        .zip(estimates)
        .filter(|(_, e)| e.completion_us <= best * TIE_RATIO)
        .nth(chosen)
        .map(|(c, estimate)| Pick { candidate: Arc::clone(c), estimate })
}
