//! Regions whose upstreams may run a request.

use std::sync::Arc;

/// Regions whose upstreams may run a request; a route and a workspace may each restrict them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum AllowedRegions {
    /// All regions.
    #[default]
    All,
    /// Only these regions, none if empty.
    Only(Arc<[Arc<str>]>),
}

impl AllowedRegions {
    /// Creates the regions that settings name; an empty list allows all.
    pub fn from_settings(names: &[Arc<str>]) -> Self {
        if names.is_empty() { Self::All } else { Self::Only(names.into()) }
    }

    /// Whether upstreams of a region may run the request.
    pub fn allows(&self, region: &str) -> bool {
        match self {
            Self::All => true,
            Self::Only(names) => names.iter().any(|name| name.as_ref() == region),
        }
    }

    /// Whether no region is allowed, as when a route and a workspace have none in common.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(names) if names.is_empty())
    }

    /// Returns the regions that both allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::All, regions) | (regions, Self::All) => regions.clone(),
            (Self::Only(names), _) => {
                Self::Only(names.iter().filter(|name| other.allows(name)).cloned().collect())
            }
        }
    }
}
