//! Hooks through which the program is adapted to its deployment environment.

use {
    crate::{
        node::Integration,
        settings::{DerivedSettings, ProcessSettings},
    },
    std::fmt,
};

type SettingsDeriver = Box<dyn Fn(&dyn Fn(&str) -> Option<String>) -> DerivedSettings>;

/// Adapter to the deployment environment.
pub struct Adapter {
    /// Derives settings, by flag name, from environment variables and the settings file.
    pub derive_settings: SettingsDeriver,
    /// Chooses the integration of a node from its settings.
    pub choose_integration: Box<dyn Fn(&ProcessSettings) -> Integration>,
}

impl fmt::Debug for Adapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Adapter").finish_non_exhaustive()
    }
}
