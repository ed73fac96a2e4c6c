//! Expected completion time of a request at one upstream.

use {
    super::Candidate,
    crate::{
        schema::GateState,
        tick::{Tick, micros},
    },
    std::time::Duration,
};

/// Age at which a report of occupancy has lost most of its weight.
const OCCUPANCY_DECAY: Duration = Duration::from_millis(50);

/// Age at which a report of service time has lost most of its weight.
const LATENCY_DECAY: Duration = Duration::from_secs(10);

/// Age at which a report of slowness has lost most of its weight: neighbours change several times a second.
const SLOWNESS_DECAY: Duration = Duration::from_millis(200);

/// Share of a request's time for which the present slowness lasts, about.
const SLOWNESS_WEIGHT: f64 = 0.6;

/// Service time assumed while no upstream of the service has reported one.
const DEFAULT_LATENCY: Duration = Duration::from_millis(5);

/// Bytes of a kilobyte, in which links are priced.
const BYTES_PER_KB: f64 = 1_000.0;

/// Highest price of a transfer, as a time in microseconds: a caller's wait goes before any bytes.
const MAX_PRICE_US: f64 = 400_000.0;

/// Extra occupancy, as a share of the slots, that a cold or returning upstream is charged.
const SLOW_START_OCCUPANCY: f64 = 0.7;

/// Ratios of a reported service time to the service's that count as the same.
const SAME_LATENCY: std::ops::Range<f64> = 0.6..1.6;

/// Candidates that a pick usually looks at.
const USUAL_CANDIDATES: usize = 32;

/// Silence, in service times, after which waiting attempts show a straggler.
const SILENCE_FACTOR: f64 = 2.0;

record! {
    /// What is usual among a service's upstreams, towards which old reports decay.
    #[derive(Copy, Default)]
    pub struct ServiceBaseline {
        /// Share of the slots in use, queue included.
        pub utilisation: f64,
        /// Service time in microseconds.
        pub latency_us: f64,
        /// Bytes of a request and its answer.
        pub bytes: f64,
    }

    /// What an entry expects of one upstream.
    #[derive(Copy)]
    pub struct Estimate {
        /// Time until the answer, in microseconds, link and price of the transfer included.
        pub completion_us: f64,
        /// Requests expected to run or queue there already, relative to its slots.
        pub utilisation: f64,
    }
}

impl ServiceBaseline {
    /// Mean utilisation and median service time of the last reports of candidates.
    pub fn of<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Self {
        let mut utilisation = 0.0;
        let mut latencies = Vec::with_capacity(USUAL_CANDIDATES);
        for candidate in candidates {
            let report = candidate.last_report();
            if report.latency_us == 0 {
                continue;
            }
            utilisation += occupancy(&report) / slots(&report);
            latencies.push(report.latency_us);
        }
        if latencies.is_empty() {
            let latency_us = micros(DEFAULT_LATENCY) as f64;
            return Self { utilisation: 0.0, latency_us, bytes: 0.0 };
        }
        let count = latencies.len();
        let (_, median, _) = latencies.select_nth_unstable(count / 2);
        let latency_us = f64::from(*median);
        Self { utilisation: utilisation / count as f64, latency_us, bytes: 0.0 }
    }

    /// Adds what a request and its answer carry.
    #[must_use]
    pub fn with_bytes(self, bytes: f64) -> Self {
        Self { bytes, ..self }
    }
}

impl Estimate {
    /// Expected completion of one more request at `candidate`.
    pub fn new(now: Tick, candidate: &Candidate, norm: &ServiceBaseline) -> Self {
        let report = candidate.last_report();
        let slots = slots(&report);
        let age = candidate.report_age(now);
        let fresh = |decay: Duration| {
            age.map_or(0.0, |age| (-age.as_secs_f64() / decay.as_secs_f64()).exp())
        };
        let known = occupancy(&report) + f64::from(candidate.sent_since_report());
        let unknown = (norm.utilisation * slots).max(f64::from(candidate.outstanding()));
        let weight = fresh(OCCUPANCY_DECAY);
        let expected = weight * known + (1.0 - weight) * unknown;
        let expected = expected + slow_start(now, candidate, slots);
        let latency = latency_us(now, candidate, norm, fresh(LATENCY_DECAY));
        let load = (expected + 1.0) / slots;
        // Below full the slots are parallel; a small slope spreads load over equals.
        let factor = if load <= 1.0 { 1.0 + 0.2 * load * load } else { 0.2 + load };
        let price = candidate.distance.transfer_cost_us_per_kb() * norm.bytes / BYTES_PER_KB;
        Self {
            completion_us: latency * factor
                + micros(candidate.round_trip()) as f64
                + price.min(MAX_PRICE_US),
            utilisation: expected / slots,
        }
    }
}

fn occupancy(report: &crate::schema::LoadReport) -> f64 {
    f64::from(report.running) + f64::from(report.queued)
}

fn slots(report: &crate::schema::LoadReport) -> f64 {
    f64::from(report.slots.max(1))
}

fn slow_start(now: Tick, candidate: &Candidate, slots: f64) -> f64 {
    let cold = candidate.state() == GateState::Warming || candidate.is_in_slow_start(now);
    if cold { slots * SLOW_START_OCCUPANCY } else { 0.0 }
}

/// How much longer, or shorter, work takes while the upstream's neighbours are as they are now.
fn neighbours_factor(now: Tick, candidate: &Candidate) -> f64 {
    let percent = candidate.last_report().slowness_percent;
    let age = candidate.report_age(now);
    let (Some(age), 1..) = (age, percent) else {
        return 1.0;
    };
    let fresh = (-age.as_secs_f64() / SLOWNESS_DECAY.as_secs_f64()).exp();
    1.0 + SLOWNESS_WEIGHT * fresh * (f64::from(percent) / 100.0 - 1.0)
}

fn latency_us(now: Tick, candidate: &Candidate, norm: &ServiceBaseline, weight: f64) -> f64 {
    let reported = f64::from(candidate.last_report().latency_us);
    let ratio = reported / norm.latency_us;
    // Differences within the noise of a few samples say nothing.
    let known =
        if SAME_LATENCY.contains(&ratio) || reported == 0.0 { norm.latency_us } else { reported };
    let expected = weight * known + (1.0 - weight) * norm.latency_us;
    let expected = expected * neighbours_factor(now, candidate);
    let silence = micros(candidate.time_since_progress(now)) as f64;
    if silence > SILENCE_FACTOR * expected { expected + silence } else { expected }
}
