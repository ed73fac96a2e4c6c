//! How far an upstream is from the entry.

use std::time::Duration;

value! {
    /// Place of a gate relative to an entry, near to far.
    #[derive(PartialOrd, Ord)]
    pub enum Distance {
        /// The entry's own gate; no hop.
        Local,
        /// The same availability zone.
        Zone,
        /// Another availability zone of the region.
        Region,
        /// Another region, over paid links.
        Remote,
    }
}

impl Distance {
    /// Distance of a place from an entry's region and availability zone.
    pub fn between(own: (&str, &str), other: (&str, &str)) -> Self {
        match other {
            (region, _) if region != own.0 => Self::Remote,
            (_, zone) if zone != own.1 => Self::Region,
            _ => Self::Zone,
        }
    }

    /// Price of a kilobyte of request and answer to this place, as a time: what leaves the availability zone
    /// costs the users money, and what leaves the region more.
    ///
    /// A zone is left for an answer of five kilobytes when that saves 30 ms, for one of ninety when it saves the
    /// highest price that [`super::Estimate`] allows.
    pub fn transfer_cost_us_per_kb(self) -> f64 {
        match self {
            Self::Local | Self::Zone => 0.0,
            Self::Region => 6_000.0,
            Self::Remote => 12_000.0,
        }
    }

    /// Round trip assumed until one is measured.
    pub fn initial_round_trip(self) -> Duration {
        match self {
            Self::Local => Duration::ZERO,
            Self::Zone => Duration::from_micros(200),
            Self::Region => Duration::from_millis(2),
            Self::Remote => Duration::from_millis(60),
        }
    }
}
