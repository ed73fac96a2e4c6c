//! Upstreams of one service, with measurements of the service as a whole.

use {
    super::{Candidate, Distance, EvacuatedZones, ZoneBalance},
    crate::{
        limits::{Average, Quantile, RetryBudget},
        tick::Tick,
    },
    std::{sync::Arc, time::Duration},
};

/// Quantile of the response latency after which a hedge is sent, in permille.
const HEDGE_QUANTILE_PERMILLE: u64 = 950;

/// Service time, relative to the service's median, above which an upstream is ejected.
const EJECTION_FACTOR: u32 = 4;

/// Divisor that gives the share of a service's upstreams that may be ejected; also the minimum number of
/// upstreams with a reported service time.
const MAX_EJECTED_DIVISOR: usize = 3;

/// Maximum number of candidates considered for one pick; a service with more is sampled.
pub(super) const MAX_SAMPLED: usize = 32;

/// Retry delay while a service has no usable upstream; a restarting upstream is back within a second.
pub const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Measurements of a service that are kept when its upstreams change.
#[derive(Debug)]
pub struct ServiceState {
    /// Budget of retries and hedges.
    pub retries: RetryBudget,
    /// Latency after which a hedge is worth its cost.
    pub hedge_after: Quantile,
    /// Average bytes of a request and its response.
    pub bytes: Average,
    /// Shares of requests that leave the entry's zone; unused unless the zone balance is on.
    pub balance: ZoneBalance,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            retries: RetryBudget::default(),
            hedge_after: Quantile::new(HEDGE_QUANTILE_PERMILLE),
            bytes: Average::default(),
            balance: ZoneBalance::default(),
        }
    }
}

/// Upstreams of one service as observed by one entry.
#[derive(Debug)]
pub struct ServiceTable {
    /// Service name.
    pub name: Arc<str>,
    /// Upstreams of the service; more than [`MAX_SAMPLED`] are in increasing order of distance.
    pub candidates: Vec<Arc<Candidate>>,
    /// Measurements of the service.
    pub state: Arc<ServiceState>,
}

impl ServiceTable {
    /// Creates a table of the given upstreams.
    pub fn new(
        name: Arc<str>,
        mut candidates: Vec<Arc<Candidate>>,
        state: Arc<ServiceState>,
    ) -> Self {
        if candidates.len() > MAX_SAMPLED {
            candidates.sort_by_key(|c| c.distance);
        }
        Self { name, candidates, state }
    }

    /// Returns the candidates of a sampled service in the entry's availability zone, in other zones of its
    /// region and in other regions.
    pub fn by_distance(&self) -> [&[Arc<Candidate>]; 3] {
        let zone_end = self.candidates.partition_point(|c| c.distance <= Distance::Zone);
        let region_end = self.candidates.partition_point(|c| c.distance <= Distance::Region);
        let (nearby, remote) = self.candidates.split_at(region_end);
        let (zone, region) = nearby.split_at(zone_end);
        [zone, region, remote]
    }

    /// Returns the candidate of a node.
    pub fn candidate(&self, node: u64) -> Option<&Arc<Candidate>> {
        self.candidates.iter().find(|c| c.member.node == node)
    }

    /// Returns the time after which an upstream is expected to have a free slot: the backlog of the least
    /// loaded one, or [`NO_UPSTREAM_RETRY_AFTER`] if all are draining, dead or in evacuated zones.
    pub fn expected_wait(&self, now: Tick, evacuated: &EvacuatedZones) -> Duration {
        let backlog_us = |c: &Arc<Candidate>| {
            let report = c.last_report();
            let requests_ahead = u64::from(report.running) / 2 + u64::from(report.queued);
            u64::from(report.latency_us) * requests_ahead / u64::from(report.slots.max(1))
        };
        let is_usable = |c: &&Arc<Candidate>| {
            !c.is_draining_or_dead(now) && !evacuated.contains(&c.member.zone)
        };
        let usable = self.candidates.iter().filter(is_usable);
        usable.map(backlog_us).min().map_or(NO_UPSTREAM_RETRY_AFTER, Duration::from_micros)
    }

    /// Ejects upstreams whose service time is far above the median; returns those newly ejected.
    ///
    /// At most a third of the upstreams are ejected at any time.
    pub fn eject_stragglers(&self, now: Tick) -> Vec<Arc<Candidate>> {
        let mut latencies: Vec<u32> =
            self.candidates.iter().map(|c| c.last_report().latency_us).filter(|&l| l > 0).collect();
        if latencies.len() < MAX_EJECTED_DIVISOR {
            return Vec::new();
        }
        latencies.sort_unstable();
        let median = latencies[latencies.len() / 2];
        let threshold_us = median.saturating_mul(EJECTION_FACTOR);
        let max_ejected = self.candidates.len() / MAX_EJECTED_DIVISOR;
        let mut ejected_count = self.candidates.iter().filter(|c| c.is_ejected(now)).count();
        let mut ejected = Vec::new();
        for candidate in &self.candidates {
            let is_straggler = candidate.last_report().latency_us > threshold_us;
            // An upstream that is warming or in slow start is expected to be slow for a while.
            let needs_slow_start = candidate.is_in_slow_start(now) || candidate.is_warming(now);
            if !is_straggler
                || needs_slow_start
                || ejected_count >= max_ejected
                || candidate.is_ejected(now)
            {
                continue;
            }
            candidate.eject(now);
            ejected_count += 1;
            ejected.push(Arc::clone(candidate));
        }
        invariant!(
            ejected_count <= max_ejected.max(ejected_count - ejected.len()),
            "ejection_bounded"
        );
        ejected
    }
}
