//! Availability zones whose upstreams get no new requests.

use std::sync::Arc;

record! {
    /// Evacuated availability zones, as the settings in force list them.
    #[derive(Default)]
    pub struct EvacuatedZones {
        /// Version of the settings subtree; zero if there is none.
        pub version: u64,
        /// Names of the zones.
        pub zones: Vec<Arc<str>>,
    }
}

/// Set of a node that knows none, for a reference to it.
static NO_ZONES: EvacuatedZones = EvacuatedZones { version: 0, zones: Vec::new() };

impl EvacuatedZones {
    /// Returns the empty set.
    pub fn none() -> &'static Self {
        &NO_ZONES
    }

    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.iter().any(|name| name.as_ref() == zone)
    }

    /// Returns the zones that are not in another set.
    pub fn difference<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = &'a Arc<str>> {
        self.zones.iter().filter(|zone| !other.contains(zone))
    }
}
