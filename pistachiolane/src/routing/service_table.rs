//! Upstreams of one service, with measurements of the service as a whole.

use {
    super::{AllowedRegions, Candidate, Distance, EvacuatedZones, ZoneBalance},
    crate::{
        limits::{Average, EntryThrottle, Quantile, RetryBudget},
        schema::GateState,
        tick::Tick,
    },
    papaya::HashMap,
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
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Retry delay while no region is allowed: only a change of the settings helps, which is in force within seconds.
const NO_REGION_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns the retry delay for a request that may run in `regions` while they have no usable upstream.
pub fn retry_after_without_upstream(regions: &AllowedRegions) -> Duration {
    if regions.is_empty() { NO_REGION_RETRY_AFTER } else { NO_UPSTREAM_RETRY_AFTER }
}

/// Number of further attempts after refusals for load that a service's budget stores: enough for a moment in which an
/// entry's reports are wrong.
const FURTHER_ATTEMPT_RESERVE: u64 = 10;

/// Age up to which a load report shows that an upstream has room; later, other entries may have filled it.
const ROOM_MAX_AGE: Duration = Duration::from_millis(250);

/// Measurements of a service that are kept when its upstreams change.
#[derive(Debug)]
pub struct ServiceState {
    /// Budget of retries and hedges.
    pub retries: RetryBudget,
    /// Budget of further attempts after a gate refused a call as busy.
    pub attempts_after_busy: RetryBudget,
    /// Budget of further attempts after a gate refused a call as full.
    pub attempts_after_full: RetryBudget,
    /// Throttles of the calls of the service by the regions that may run them: one region may be full while others
    /// have room. The settings bound their number.
    throttles: HashMap<AllowedRegions, Arc<EntryThrottle>>,
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
            attempts_after_busy: RetryBudget::with_reserve(FURTHER_ATTEMPT_RESERVE),
            attempts_after_full: RetryBudget::with_reserve(FURTHER_ATTEMPT_RESERVE),
            throttles: HashMap::new(),
            hedge_after: Quantile::new(HEDGE_QUANTILE_PERMILLE),
            bytes: Average::default(),
            balance: ZoneBalance::default(),
        }
    }
}

impl ServiceState {
    /// Returns the throttle of the calls that these regions may run.
    pub fn throttle(&self, regions: &AllowedRegions) -> Arc<EntryThrottle> {
        let throttles = self.throttles.pin();
        if let Some(throttle) = throttles.get(regions) {
            return Arc::clone(throttle);
        }
        Arc::clone(throttles.get_or_insert_with(regions.clone(), Arc::default))
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

    /// Returns the candidates in allowed regions.
    pub fn allowed(&self, regions: &AllowedRegions) -> impl Iterator<Item = &Arc<Candidate>> {
        self.candidates.iter().filter(|c| regions.allows(&c.member.region))
    }

    /// Returns the time after which an upstream in the allowed regions is expected to have a free slot: the backlog of
    /// the least loaded one, or [`retry_after_without_upstream`] if all are draining, dead or in evacuated zones.
    pub fn expected_wait(
        &self,
        now: Tick,
        regions: &AllowedRegions,
        evacuated: &EvacuatedZones,
    ) -> Duration {
        let backlog_us = |c: &Arc<Candidate>| {
            let report = c.last_report();
            let requests_ahead = u64::from(report.running) / 2 + u64::from(report.queued);
            u64::from(report.latency_us) * requests_ahead / u64::from(report.slots.max(1))
        };
        let is_usable = |c: &&Arc<Candidate>| {
            !c.is_draining_or_dead(now) && !evacuated.contains(&c.member.zone)
        };
        let usable = self.allowed(regions).filter(is_usable);
        let shortest_us = usable.map(backlog_us).min();
        shortest_us.map_or_else(|| retry_after_without_upstream(regions), Duration::from_micros)
    }

    /// Whether a recent report shows a free slot at an upstream that may run the request and isn't excluded.
    pub fn has_room(
        &self,
        now: Tick,
        regions: &AllowedRegions,
        evacuated: &EvacuatedZones,
        excluded_nodes: &[u64],
    ) -> bool {
        let has_free_slot = |c: &Candidate| {
            let report = c.last_report();
            let used = u32::from(report.running) + u32::from(report.queued) + c.sent_since_report();
            used < u32::from(report.slots)
        };
        self.candidates.iter().any(|c| {
            c.report_age(now).is_some_and(|age| age <= ROOM_MAX_AGE)
                && has_free_slot(c)
                && c.is_usable(now)
                && !c.is_ejected(now)
                && c.state() != GateState::Shedding
                && regions.allows(&c.member.region)
                && !evacuated.contains(&c.member.zone)
                && !excluded_nodes.contains(&c.member.node)
        })
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
