//! Reason why a request leaves the entry's zone, with the figures that were compared.

use super::Distance;

value! {
    /// Reason why a request leaves the entry's zone.
    pub enum DepartureReason {
        /// The zone's upstreams are full: the share of the zone balance, or they refused the request.
        Full,
        /// An upstream elsewhere has the lowest expected completion time.
        Estimate,
        /// The zone's upstreams are ejected, suspect or failing.
        Ejected,
        /// The zone has no usable upstream that may run the request.
        None,
    }
}

record! {
    /// Choice of an upstream outside the entry's zone.
    #[derive(Copy)]
    pub struct Departure {
        /// Distance of the upstream: another zone or another region.
        pub distance: Distance,
        /// Reason.
        pub reason: DepartureReason,
        /// Expected completion time within the zone in microseconds; 0 if none was estimated.
        pub home_us: f64,
        /// Expected completion time at the chosen place in microseconds.
        pub away_us: f64,
        /// Age of the reports behind the figures in milliseconds; -1 if there are none.
        pub age_ms: i64,
    }
}

impl DepartureReason {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Estimate => "estimate",
            Self::Ejected => "ejected",
            Self::None => "none",
        }
    }
}

impl Departure {
    /// Returns what the request leaves, for logs and metrics.
    pub fn left(&self) -> &'static str {
        if self.distance == Distance::Remote { "region" } else { "zone" }
    }
}
