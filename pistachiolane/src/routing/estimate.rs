//! Expected completion time of a request at one upstream.

use {
    super::Candidate,
    crate::tick::{Tick, micros},
    std::time::Duration,
};

/// Time constant of the exponential decay in weight of a reported occupancy.
const OCCUPANCY_DECAY: Duration = Duration::from_millis(50);

/// Time constant of the exponential decay in weight of a reported service time.
const LATENCY_DECAY: Duration = Duration::from_secs(10);

/// Time constant of the exponential decay in weight of a reported slowness; the load of other tenants
/// changes several times a second.
const SLOWNESS_DECAY: Duration = Duration::from_millis(200);

/// Approximate share of a request's service time for which the current slowness lasts.
const SLOWNESS_WEIGHT: f64 = 0.6;

/// Service time that is assumed until an upstream of the service reports one.
pub(super) const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(5);

/// Bytes per kilobyte, the unit of transfer costs.
const BYTES_PER_KB: f64 = 1_000.0;

/// Maximum cost of a transfer, as a time in microseconds: beyond it, the caller's wait counts more than
/// any number of bytes.
const MAX_TRANSFER_COST_US: f64 = 400_000.0;

/// Occupancy, as a share of the slots, that is added for an upstream that is warming or was ejected recently.
const SLOW_START_OCCUPANCY: f64 = 0.7;

/// Ratios of a reported service time to the service's median that count as equal.
const EQUAL_LATENCY_RATIOS: std::ops::Range<f64> = 0.6..1.6;

/// Number of candidates that a pick typically considers; initial capacity of a vector.
const TYPICAL_CANDIDATES: usize = 32;

/// Multiple of the expected service time without a response after which an upstream with outstanding
/// attempts counts as a straggler.
const STRAGGLER_FACTOR: f64 = 2.0;

record! {
    /// Typical values of a service's upstreams, which replace reported values as these age.
    #[derive(Copy, Default)]
    pub struct ServiceBaseline {
        /// Mean share of the slots in use; queued requests count as in use.
        pub utilisation: f64,
        /// Median service time in microseconds.
        pub latency_us: f64,
        /// Average bytes of a request and its response.
        pub bytes: f64,
    }

    /// An entry's estimate for one more request at an upstream.
    #[derive(Copy)]
    pub struct Estimate {
        /// Time until the response, in microseconds, including round trip and transfer cost.
        pub completion_us: f64,
        /// Expected number of requests that already run or queue there, relative to its slots; higher while
        /// the upstream is warming or in slow start.
        pub utilisation: f64,
    }
}

impl ServiceBaseline {
    /// Returns the mean utilisation and the median service time of the candidates' last reports.
    ///
    /// Candidates without a reported service time are ignored.
    pub fn of<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Self {
        let mut utilisation = 0.0;
        let mut latencies = Vec::with_capacity(TYPICAL_CANDIDATES);
        for candidate in candidates {
            let report = candidate.last_report();
            if report.latency_us == 0 {
                continue;
            }
            utilisation += occupancy(&report) / slots(&report);
            latencies.push(report.latency_us);
        }
        if latencies.is_empty() {
            let latency_us = micros(DEFAULT_SERVICE_TIME) as f64;
            return Self { utilisation: 0.0, latency_us, bytes: 0.0 };
        }
        let count = latencies.len();
        let (_, median, _) = latencies.select_nth_unstable(count / 2);
        let latency_us = f64::from(*median);
        Self { utilisation: utilisation / count as f64, latency_us, bytes: 0.0 }
    }

    /// Sets the size of a request and its response.
    #[must_use]
    pub fn with_bytes(self, bytes: f64) -> Self {
        Self { bytes, ..self }
    }
}

impl Estimate {
    /// Estimates one more request at `candidate`.
    pub fn new(now: Tick, candidate: &Candidate, baseline: &ServiceBaseline) -> Self {
        let report = candidate.last_report();
        let slots = slots(&report);
        let age = candidate.report_age(now);
        let freshness = |decay: Duration| {
            age.map_or(0.0, |age| (-age.as_secs_f64() / decay.as_secs_f64()).exp())
        };
        let reported = occupancy(&report) + f64::from(candidate.sent_since_report());
        let assumed = (baseline.utilisation * slots).max(f64::from(candidate.outstanding()));
        let weight = freshness(OCCUPANCY_DECAY);
        let expected = weight * reported + (1.0 - weight) * assumed;
        let expected = expected + slow_start_occupancy(now, candidate, slots);
        let latency_us = expected_latency_us(now, candidate, baseline, freshness(LATENCY_DECAY));
        let load = (expected + 1.0) / slots;
        let transfer_cost_us =
            candidate.distance.transfer_cost_us_per_kb() * baseline.bytes / BYTES_PER_KB;
        Self {
            completion_us: latency_us * load_factor(load)
                + micros(candidate.round_trip()) as f64
                + transfer_cost_us.min(MAX_TRANSFER_COST_US),
            utilisation: expected / slots,
        }
    }
}

/// Returns the factor by which a load relative to the slots lengthens a request. While slots are free, load hardly
/// delays a request; the small slope distributes load among equal upstreams.
pub(super) fn load_factor(load: f64) -> f64 {
    if load <= 1.0 { 1.0 + 0.2 * load * load } else { 0.2 + load }
}

/// Returns the number of requests that run or queue at the gate.
pub(super) fn occupancy(report: &crate::schema::LoadReport) -> f64 {
    f64::from(report.running) + f64::from(report.queued)
}

fn slots(report: &crate::schema::LoadReport) -> f64 {
    f64::from(report.slots.max(1))
}

/// Returns the occupancy, in slots, that is added for an upstream that is warming or in slow start.
fn slow_start_occupancy(now: Tick, candidate: &Candidate, slots: f64) -> f64 {
    let needs_slow_start = candidate.is_warming(now) || candidate.is_in_slow_start(now);
    if needs_slow_start { slots * SLOW_START_OCCUPANCY } else { 0.0 }
}

/// Returns the factor by which the current slowness of the upstream changes its service time.
fn slowness_factor(now: Tick, candidate: &Candidate) -> f64 {
    let percent = candidate.last_report().slowness_percent;
    let age = candidate.report_age(now);
    let (Some(age), 1..) = (age, percent) else {
        return 1.0;
    };
    let freshness = (-age.as_secs_f64() / SLOWNESS_DECAY.as_secs_f64()).exp();
    1.0 + SLOWNESS_WEIGHT * freshness * (f64::from(percent) / 100.0 - 1.0)
}

/// Returns the expected service time in microseconds. If the candidate has not responded for longer than
/// [`STRAGGLER_FACTOR`] times that, the time since its last response is added.
fn expected_latency_us(
    now: Tick,
    candidate: &Candidate,
    baseline: &ServiceBaseline,
    report_weight: f64,
) -> f64 {
    let reported = f64::from(candidate.last_report().latency_us);
    let ratio = reported / baseline.latency_us;
    // Differences within this range may be noise of a few samples.
    let service_time = if EQUAL_LATENCY_RATIOS.contains(&ratio) || reported == 0.0 {
        baseline.latency_us
    } else {
        reported
    };
    let expected = report_weight * service_time + (1.0 - report_weight) * baseline.latency_us;
    let expected = expected * slowness_factor(now, candidate);
    let stalled_us = micros(candidate.time_since_progress(now)) as f64;
    if stalled_us > STRAGGLER_FACTOR * expected { expected + stalled_us } else { expected }
}
