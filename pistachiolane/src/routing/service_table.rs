//! The upstreams of one service, with what is measured for the service as a whole.

use {
    super::Candidate,
    crate::{
        limits::{Average, Quantile, RetryBudget},
        schema::GateState,
        tick::Tick,
    },
    std::{sync::Arc, time::Duration},
};

/// Quantile of the answers' latency after which a hedge is sent, in permille.
const HEDGE_PERMILLE: u64 = 950;

/// Service time, relative to the service's median, that ejects an upstream.
const EJECT_FACTOR: u32 = 4;

/// Share of a service's upstreams that may be ejected, as a divisor.
const MAX_EJECTED_DIVISOR: usize = 3;

/// Time after which an upstream may have come back where there is none: a process restarts within a second.
pub const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Measurements of a service that outlive changes of its upstreams.
#[derive(Debug)]
pub struct ServiceState {
    /// Budget of retries and hedges.
    pub retries: RetryBudget,
    /// Latency after which a hedge is worth its price.
    pub hedge_after: Quantile,
    /// Bytes of a request and its answer.
    pub bytes: Average,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            retries: RetryBudget::default(),
            hedge_after: Quantile::new(HEDGE_PERMILLE),
            bytes: Average::default(),
        }
    }
}

/// The upstreams of one service as one entry knows them.
#[derive(Debug)]
pub struct ServiceTable {
    /// The service's name.
    pub name: Arc<str>,
    /// Its upstreams.
    pub candidates: Vec<Arc<Candidate>>,
    /// Its measurements.
    pub state: Arc<ServiceState>,
}

impl ServiceTable {
    /// A table of given upstreams.
    pub fn new(name: Arc<str>, candidates: Vec<Arc<Candidate>>, state: Arc<ServiceState>) -> Self {
        Self { name, candidates, state }
    }

    /// The candidate of a node.
    pub fn candidate(&self, node: u64) -> Option<&Arc<Candidate>> {
        self.candidates.iter().find(|c| c.member.node == node)
    }

    /// Time after which a slot is expected to be free somewhere: the backlog of the least loaded upstream.
    pub fn expected_wait(&self, now: Tick) -> Duration {
        let backlog = |c: &Arc<Candidate>| {
            let report = c.last_report();
            let waiting = u64::from(report.running) / 2 + u64::from(report.queued);
            u64::from(report.latency_us) * waiting / u64::from(report.slots.max(1))
        };
        let usable = self.candidates.iter().filter(|c| !c.is_draining_or_dead(now));
        usable.map(backlog).min().map_or(NO_UPSTREAM_RETRY_AFTER, Duration::from_micros)
    }

    /// Ejects upstreams whose service time is far above the median; gives those newly ejected.
    ///
    /// At most a third of the upstreams are out at any time.
    pub fn eject_stragglers(&self, now: Tick) -> Vec<Arc<Candidate>> {
        let mut latencies: Vec<u32> =
            self.candidates.iter().map(|c| c.last_report().latency_us).filter(|&l| l > 0).collect();
        if latencies.len() < MAX_EJECTED_DIVISOR {
            return Vec::new();
        }
        latencies.sort_unstable();
        let median = latencies[latencies.len() / 2];
        let bound = median.saturating_mul(EJECT_FACTOR);
        let most = self.candidates.len() / MAX_EJECTED_DIVISOR;
        let mut out = self.candidates.iter().filter(|c| c.is_ejected(now)).count();
        let mut ejected = Vec::new();
        for candidate in &self.candidates {
            let slow = candidate.last_report().latency_us > bound;
            // A cold upstream is slow for a while, as it says itself.
            let starting =
                candidate.is_in_slow_start(now) || candidate.state() == GateState::Warming;
            if !slow || starting || out >= most || candidate.is_ejected(now) {
                continue;
            }
            candidate.eject(now);
            out += 1;
            ejected.push(Arc::clone(candidate));
        }
        invariant!(out <= most.max(out - ejected.len()), "ejection_bounded");
        ejected
    }
}
