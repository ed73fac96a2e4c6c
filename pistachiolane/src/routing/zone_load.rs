//! Load of the upstreams of one service in one zone, as an entry knows it from load reports.

use {
    super::{
        Candidate, Distance,
        estimate::{DEFAULT_SERVICE_TIME, load_factor, occupancy},
    },
    crate::tick::{Tick, micros},
    std::{sync::Arc, time::Duration},
};

/// Time constant of the exponential decay in weight of a report. The load of a whole zone changes less quickly than that
/// of one upstream, for which an estimate uses 50 ms.
const REPORT_DECAY: Duration = Duration::from_secs(2);

/// Share of the slots that counts as occupied at an upstream without recent reports: some room remains, so that
/// requests are sent there and bring reports. At 0.7 an entry needed 2 s to find the room of an idle zone.
const ASSUMED_OCCUPANCY: f64 = 0.5;

/// Maximum occupancy of one upstream relative to its slots. A longer queue tells how long the upstream has been full, not
/// by how much the demand is too high.
const MAX_OCCUPANCY: f64 = 1.5;

record! {
    /// Load of the usable upstreams of one zone.
    pub struct ZoneLoad {
        /// Region.
        pub region: Arc<str>,
        /// Zone.
        pub zone: Arc<str>,
        /// Distance from the entry; [`Distance::Zone`] for its own zone.
        pub distance: Distance,
        /// Sum of the slots.
        pub slots: f64,
        /// Expected number of requests that run or queue.
        pub occupied: f64,
        /// Mean service time in microseconds.
        pub latency_us: f64,
        /// Mean round trip in microseconds.
        pub round_trip_us: f64,
        /// Mean age of the reports in microseconds, over upstreams that have one.
        pub age_us: f64,
        /// Age of the newest report in microseconds; infinite if there is none.
        pub newest_us: f64,
    }
}

/// Sums from which the means of a zone are computed.
struct ZoneSums {
    load: ZoneLoad,
    timed_slots: f64,
    reported: f64,
    upstreams: f64,
}

impl ZoneLoad {
    /// Returns the load of each zone that has upstreams among the candidates.
    pub fn of_zones<'a>(now: Tick, candidates: impl Iterator<Item = &'a Candidate>) -> Vec<Self> {
        let mut zones: Vec<ZoneSums> = Vec::new();
        for candidate in candidates {
            let member = &candidate.member;
            let is_same =
                |z: &ZoneSums| z.load.zone == member.zone && z.load.region == member.region;
            let index = zones.iter().position(is_same).unwrap_or_else(|| {
                zones.push(ZoneSums::new(candidate));
                zones.len() - 1
            });
            zones[index].add(now, candidate);
        }
        let timed_slots: f64 = zones.iter().map(|z| z.timed_slots).sum();
        let latency_sum: f64 = zones.iter().map(|z| z.load.latency_us).sum();
        let typical_us = if timed_slots > 0.0 {
            latency_sum / timed_slots
        } else {
            micros(DEFAULT_SERVICE_TIME) as f64
        };
        zones.into_iter().map(|z| z.into_load(typical_us)).collect()
    }

    /// Returns the share of the slots that is occupied; above 1 if requests queue.
    pub fn occupancy(&self) -> f64 {
        self.occupied / self.slots.max(1.0)
    }

    /// Returns the expected completion time in microseconds of a request in this zone at an occupancy.
    pub fn completion_us(&self, occupancy: f64) -> f64 {
        self.latency_us * load_factor(occupancy) + self.round_trip_us
    }
}

impl ZoneSums {
    fn new(candidate: &Candidate) -> Self {
        let load = ZoneLoad {
            region: Arc::clone(&candidate.member.region),
            zone: Arc::clone(&candidate.member.zone),
            distance: candidate.distance.max(Distance::Zone),
            slots: 0.0,
            occupied: 0.0,
            latency_us: 0.0,
            round_trip_us: 0.0,
            age_us: 0.0,
            newest_us: f64::INFINITY,
        };
        Self { load, timed_slots: 0.0, reported: 0.0, upstreams: 0.0 }
    }

    fn add(&mut self, now: Tick, candidate: &Candidate) {
        let report = candidate.last_report();
        let slots = f64::from(report.slots);
        let known = occupancy(&report) + f64::from(candidate.sent_since_report());
        let mut weight = 0.0;
        if let Some(age) = candidate.report_age(now) {
            weight = (-age.as_secs_f64() / REPORT_DECAY.as_secs_f64()).exp();
            self.reported += 1.0;
            let age_us = micros(age) as f64;
            self.load.age_us += age_us;
            self.load.newest_us = self.load.newest_us.min(age_us);
        }
        let known = known.min(slots * MAX_OCCUPANCY);
        self.load.slots += slots;
        self.load.occupied += weight * known + (1.0 - weight) * slots * ASSUMED_OCCUPANCY;
        self.load.round_trip_us += micros(candidate.round_trip()) as f64;
        self.upstreams += 1.0;
        if report.latency_us > 0 {
            self.timed_slots += slots;
            self.load.latency_us += f64::from(report.latency_us) * slots;
        }
    }

    fn into_load(self, typical_us: f64) -> ZoneLoad {
        let latency_us = if self.timed_slots > 0.0 {
            self.load.latency_us / self.timed_slots
        } else {
            typical_us
        };
        ZoneLoad {
            latency_us,
            round_trip_us: self.load.round_trip_us / self.upstreams.max(1.0),
            age_us: self.load.age_us / self.reported.max(1.0),
            ..self.load
        }
    }
}
