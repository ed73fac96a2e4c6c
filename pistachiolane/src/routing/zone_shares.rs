//! Shares of a service's requests that leave the entry's zone, computed from the load of all zones.

use {
    super::{BalanceTerms, Distance, ZoneLoad},
    crate::tick::{Tick, micros},
    std::{sync::Arc, time::Duration},
};

/// Time constant with which shares follow the load, if reports are fresh and service times short.
const SHARE_TIME_CONSTANT: Duration = Duration::from_millis(150);

/// Maximum age of the newest report for which shares wait, in microseconds; older reports have little weight.
const MAX_LAG_US: f64 = 1.5e6;

/// Time constant of the mean and the variance of the occupancy: a few service times.
const OCCUPANCY_TIME_CONSTANT: Duration = Duration::from_millis(200);

/// Range of the target occupancy of a zone. Above 0.85, chance alone fills most upstreams of the zone; below 0.75,
/// requests would leave a zone that can serve them.
const TARGET_OCCUPANCY: [f64; 2] = [0.75, 0.85];

/// Number of standard deviations of the occupancy that the target leaves free.
const HEADROOM_DEVIATIONS: f64 = 2.0;

/// Range of the hysteresis below the target, in which shares don't rise or fall and which takes no foreign requests.
const HYSTERESIS: [f64; 2] = [0.02, 0.08];

/// Share of requests that stays in a zone with usable upstreams, so that its reports stay fresh.
const MIN_HOME_SHARE: f64 = 0.05;

/// Share below which no request leaves.
const MIN_SHARE: f64 = 0.002;

/// Target latency of requests without one.
const MAX_TARGET_US: f64 = 10e6;

/// Inverse weight of one request's target latency in their average.
const TARGET_SMOOTHING: f64 = 8.0;

record! {
    /// Weight of a zone among those that take requests of the entry's zone.
    pub struct ZoneWeight {
        /// Region.
        pub region: Arc<str>,
        /// Zone.
        pub zone: Arc<str>,
        /// Distance from the entry.
        pub distance: Distance,
        /// Room of the zone in slots, smoothed; 0 if it takes no requests.
        pub weight: f64,
        /// Expected completion time there in microseconds.
        pub completion_us: f64,
        /// Mean age of the zone's reports in microseconds.
        pub age_us: f64,
    }

    /// Shares of requests that leave the entry's zone, with the state from which the next ones are computed.
    #[derive(Default)]
    pub struct ZoneShares {
        /// Time of the computation.
        pub at: Tick,
        /// Share of requests that leave for other zones of the region.
        pub region: f64,
        /// Share of requests that leave for other regions.
        pub remote: f64,
        /// Smoothed occupancy of the entry's zone.
        pub occupancy: f64,
        /// Smoothed variance of that occupancy.
        pub variance: f64,
        /// Occupancy up to which the zone's upstreams serve its requests within the target latency.
        pub target_occupancy: f64,
        /// Expected completion time in microseconds in the entry's zone if no request left.
        pub home_us: f64,
        /// Zones outside the entry's.
        pub zones: Vec<ZoneWeight>,
        target_us: f64,
    }
}

/// Bounds of a zone's occupancy.
#[derive(Clone, Copy)]
struct Bounds {
    /// Above it, a zone is short of upstreams for its own requests.
    short: f64,
    /// Above it, a zone takes no foreign requests; below it, it takes its own back.
    room: f64,
}

impl Bounds {
    /// Returns the bounds at a standard deviation of the occupancy and a target, which is clamped to its range.
    fn new(deviation: f64, target: f64) -> Self {
        let short = target.clamp(TARGET_OCCUPANCY[0], TARGET_OCCUPANCY[1]);
        Self { short, room: short - deviation.clamp(HYSTERESIS[0], HYSTERESIS[1]) }
    }

    /// Returns the bounds that follow from the variance of the occupancy in the entry's zone and from the time that the
    /// target latency leaves for waiting.
    fn of_zone(home: &ZoneLoad, variance: f64, target_us: f64) -> Self {
        let deviation = variance.sqrt();
        let time_to_wait = (target_us - home.latency_us).max(1.0);
        let urgency = (home.latency_us / time_to_wait).min(1.0);
        Self::new(deviation, 1.0 - HEADROOM_DEVIATIONS * deviation * urgency)
    }

    fn shortage(self, zone: &ZoneLoad) -> f64 {
        (zone.occupied - self.short * zone.slots).max(0.0)
    }

    fn room(self, zone: &ZoneLoad) -> f64 {
        (self.room * zone.slots - zone.occupied).max(0.0)
    }

    /// Returns the share of foreign requests that a zone gives back: its foreign requests go before its own.
    fn excess(self, zone: &ZoneLoad) -> f64 {
        ((zone.occupancy() - self.room) / (1.0 - self.room)).clamp(0.0, 1.0)
    }
}

impl ZoneShares {
    /// Computes the shares that follow these at `now` from the load of the zones that a request may use.
    ///
    /// Entries that know the same reports compute the same shares: the room elsewhere is divided among the zones that
    /// are short of upstreams in proportion to their shortage.
    #[must_use]
    pub fn next(&self, now: Tick, zones: &[ZoneLoad], terms: &BalanceTerms, bytes: f64) -> Self {
        let target_us = self.next_target_us(terms);
        let since = if self.at == Tick(0) { Duration::ZERO } else { now.since(self.at) };
        let is_home = |z: &&ZoneLoad| z.distance == Distance::Zone && z.slots > 0.0;
        let Some(home) = zones.iter().find(is_home) else {
            return self.next_without_home(now, since, zones, terms, target_us, bytes);
        };
        let (occupancy, variance) = self.next_occupancy(home, since);
        let bounds = Bounds::of_zone(home, variance, target_us);
        let smoothed = ZoneLoad { occupied: occupancy * home.slots, ..home.clone() };
        // Requests in progress that the zone's callers have anywhere, in terms of the zone's slots.
        let left = self.region + self.remote;
        let demand = smoothed.occupied.max(1.0) / (1.0 - left).max(MIN_HOME_SHARE);
        let home_occupancy = demand / home.slots.max(1.0);
        let home_us = home.completion_us(home_occupancy);
        let pays = |zone: &&ZoneLoad| {
            leaving_pays(home_us, home_occupancy, zone, bounds, terms, target_us, bytes)
        };
        let tier = |distance| zones.iter().filter(move |z| z.distance == distance);
        let rooms = |distance| tier(distance).filter(pays).map(|z| bounds.room(z)).sum::<f64>();
        let shortages = |distance| tier(distance).map(|z| bounds.shortage(z)).sum::<f64>();

        let short = bounds.shortage(&smoothed);
        let region_short = short + shortages(Distance::Region);
        let region_room = rooms(Distance::Region);
        let region_grant = divide(region_room, short, region_short);
        let unmet = short - region_grant;
        let all_unmet = (region_short - region_room).max(0.0) + shortages(Distance::Remote);
        let remote_grant = divide(rooms(Distance::Remote), unmet, all_unmet);

        let surplus = bounds.room(&smoothed) / demand;
        let remote_back = surplus.min(self.remote);
        let region_back = (surplus - remote_back).min(self.region);
        let give_back = |distance| excess(distance, zones, bounds, pays);
        let region_wanted =
            self.region * (1.0 - give_back(Distance::Region)) + region_grant / demand - region_back;
        let remote_wanted =
            self.remote * (1.0 - give_back(Distance::Remote)) + remote_grant / demand - remote_back;

        // Shares wait for their effect to show in reports, so that one set of reports doesn't move them twice. The newest
        // report tells how late reports are at least; the others are old where few requests are sent.
        let lag_us = home.newest_us.min(MAX_LAG_US) + home.latency_us;
        let time_constant = micros(SHARE_TIME_CONSTANT) as f64 + lag_us;
        let step = 1.0 - (-(micros(since) as f64) / time_constant).exp();
        let follow = |share: f64, wanted: f64| {
            let next = share + step * (wanted.clamp(0.0, 1.0) - share);
            if next < MIN_SHARE { 0.0 } else { next }
        };
        let region = follow(self.region, region_wanted).min(1.0 - MIN_HOME_SHARE);
        let remote = follow(self.remote, remote_wanted).min(1.0 - MIN_HOME_SHARE - region);
        Self {
            at: now,
            region,
            remote,
            occupancy,
            variance,
            target_occupancy: bounds.short,
            home_us,
            zones: self.next_weights(zones, bounds, step, pays),
            target_us,
        }
    }

    /// Computes the shares of a zone without usable upstreams: all requests leave at once, to other regions as far as
    /// the zones of the region are full.
    fn next_without_home(
        &self,
        now: Tick,
        since: Duration,
        zones: &[ZoneLoad],
        terms: &BalanceTerms,
        target_us: f64,
        bytes: f64,
    ) -> Self {
        let bounds = Bounds::new(0.0, TARGET_OCCUPANCY[1]);
        let pays = |zone: &&ZoneLoad| {
            leaving_pays(f64::INFINITY, f64::INFINITY, zone, bounds, terms, target_us, bytes)
        };
        let step = 1.0 - (-since.as_secs_f64() / SHARE_TIME_CONSTANT.as_secs_f64()).exp();
        let near = || zones.iter().filter(|z| z.distance == Distance::Region);
        let near_room: f64 = near().map(|z| bounds.room(z)).sum();
        let near_slots: f64 = near().map(|z| z.slots).sum();
        let full =
            if near_slots > 0.0 { excess(Distance::Region, zones, bounds, pays) } else { 1.0 };
        let has_remote = zones.iter().any(|z| z.distance == Distance::Remote && pays(&z));
        let wanted =
            self.remote * (1.0 - near_room / near_slots.max(1.0)) + (1.0 - self.remote) * full;
        let remote = match (has_remote, near_slots > 0.0) {
            (false, _) => 0.0,
            (true, false) => 1.0,
            (true, true) => self.remote + step * (wanted - self.remote),
        };
        Self {
            at: now,
            region: 1.0 - remote,
            remote,
            target_occupancy: bounds.short,
            zones: self.next_weights(zones, bounds, step, pays),
            target_us,
            ..Self::default()
        }
    }

    /// Returns the weights of the zones outside the entry's, which follow their room.
    fn next_weights(
        &self,
        zones: &[ZoneLoad],
        bounds: Bounds,
        step: f64,
        pays: impl Fn(&&ZoneLoad) -> bool,
    ) -> Vec<ZoneWeight> {
        let zone_weight = |zone: &ZoneLoad| {
            let room = if pays(&zone) { bounds.room(zone) } else { 0.0 };
            let is_same = |w: &&ZoneWeight| w.zone == zone.zone && w.region == zone.region;
            let previous = self.zones.iter().find(is_same);
            let weight = previous.map_or(room, |w| w.weight + step * (room - w.weight));
            ZoneWeight {
                region: Arc::clone(&zone.region),
                zone: Arc::clone(&zone.zone),
                distance: zone.distance,
                weight,
                completion_us: zone.completion_us(zone.occupancy()),
                age_us: zone.age_us,
            }
        };
        zones.iter().filter(|z| z.distance > Distance::Zone).map(zone_weight).collect()
    }

    /// Returns the zone that a request is sent to, or `None` if it stays; `draw` is a uniform random number in
    /// `0.0..1.0`.
    pub fn draw(&self, draw: f64) -> Option<&ZoneWeight> {
        let (distance, position) = if draw < self.region {
            (Distance::Region, draw / self.region)
        } else if draw < self.region + self.remote {
            (Distance::Remote, (draw - self.region) / self.remote)
        } else {
            return None;
        };
        let tier = || self.zones.iter().filter(|z| z.distance == distance && z.weight > 0.0);
        let mut rest = position * tier().map(|z| z.weight).sum::<f64>();
        for zone in tier() {
            rest -= zone.weight;
            if rest < 0.0 {
                return Some(zone);
            }
        }
        None
    }

    fn next_target_us(&self, terms: &BalanceTerms) -> f64 {
        let target_us = (micros(terms.target) as f64).min(MAX_TARGET_US);
        if self.target_us == 0.0 {
            return target_us;
        }
        self.target_us + (target_us - self.target_us) / TARGET_SMOOTHING
    }

    /// Returns the smoothed mean and variance of the occupancy of the entry's zone.
    fn next_occupancy(&self, home: &ZoneLoad, since: Duration) -> (f64, f64) {
        let sample = home.occupancy();
        if self.target_us == 0.0 || self.occupancy == 0.0 {
            // Independent arrivals vary by the square root of their number.
            return (sample, sample / home.slots.max(1.0));
        }
        let weight = 1.0 - (-since.as_secs_f64() / OCCUPANCY_TIME_CONSTANT.as_secs_f64()).exp();
        let difference = sample - self.occupancy;
        let variance = (1.0 - weight) * (self.variance + weight * difference * difference);
        (self.occupancy + weight * difference, variance)
    }
}

/// Returns the share of the requests sent to zones at a distance that these give back: all if none is left that pays.
fn excess(
    distance: Distance,
    zones: &[ZoneLoad],
    bounds: Bounds,
    pays: impl Fn(&&ZoneLoad) -> bool,
) -> f64 {
    let (mut excess, mut total) = (0.0, 0.0);
    for zone in zones.iter().filter(|z| z.distance == distance).filter(pays) {
        excess += bounds.excess(zone) * zone.slots;
        total += zone.slots;
    }
    if total > 0.0 { excess / total } else { 1.0 }
}

/// Returns the part of `room` that a zone with this shortage gets, of all that are short.
fn divide(room: f64, shortage: f64, all_shortages: f64) -> f64 {
    if shortage <= 0.0 { 0.0 } else { shortage * (room / all_shortages.max(shortage)).min(1.0) }
}

/// Whether one more request is worth more in another zone than at home. Without values, the lower expected latency
/// decides. With them, a request that takes the place of another one is worth nothing, at home as there, and the bytes
/// have their price.
fn leaving_pays(
    home_us: f64,
    home_occupancy: f64,
    zone: &ZoneLoad,
    bounds: Bounds,
    terms: &BalanceTerms,
    target_us: f64,
    bytes: f64,
) -> bool {
    let policy = &terms.policy;
    let away_us = zone.completion_us(zone.occupancy());
    if !policy.has_values() {
        return away_us < home_us;
    }
    let displaced =
        |occupancy: f64| ((occupancy - bounds.short) / (1.0 - bounds.short)).clamp(0.0, 1.0);
    let home = policy.value(home_us, target_us) * (1.0 - displaced(home_occupancy));
    let away = policy.value(away_us, target_us) * (1.0 - displaced(zone.occupancy()));
    away - policy.price(zone.distance == Distance::Remote, bytes) > home
}
