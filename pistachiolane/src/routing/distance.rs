//! Network distance between an entry and an upstream.

use std::time::Duration;

value! {
    /// Location of a gate relative to an entry, in increasing order of distance.
    #[derive(PartialOrd, Ord)]
    pub enum Distance {
        /// The gate on the entry's own node; no hop.
        Local,
        /// The same availability zone.
        Zone,
        /// Another availability zone of the region.
        Region,
        /// Another region; the traffic is billed by volume.
        Remote,
    }
}

impl Distance {
    /// Returns the distance between two nodes from their regions and availability zones; never [`Self::Local`].
    pub fn between(local: (&str, &str), other: (&str, &str)) -> Self {
        match other {
            (region, _) if region != local.0 => Self::Remote,
            (_, zone) if zone != local.1 => Self::Region,
            _ => Self::Zone,
        }
    }

    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Local => "local",
            Self::Zone => "zone",
            Self::Region => "region",
            Self::Remote => "remote",
        }
    }

    /// Returns the cost of transferring a kilobyte of request and response, expressed as a time.
    ///
    /// Traffic that leaves the availability zone costs the users money, and traffic that leaves the region
    /// costs more. A request that transfers 5 kB is sent to another zone if that saves 30 ms, one that
    /// transfers 90 kB only if that saves the maximum cost that [`super::Estimate`] applies.
    pub fn transfer_cost_us_per_kb(self) -> f64 {
        match self {
            Self::Local | Self::Zone => 0.0,
            Self::Region => 6_000.0,
            Self::Remote => 12_000.0,
        }
    }

    /// Returns the round trip that is assumed until one is measured.
    pub fn initial_round_trip(self) -> Duration {
        match self {
            Self::Local => Duration::ZERO,
            Self::Zone => Duration::from_micros(200),
            Self::Region => Duration::from_millis(2),
            Self::Remote => Duration::from_millis(60),
        }
    }
}
