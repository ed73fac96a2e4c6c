//! What the program is given by an adapter to where it runs.

use {
    crate::{
        node::Integration,
        settings::{DerivedSettings, ProcessSettings},
    },
    std::fmt,
};

type SettingsDeriver = Box<dyn Fn(&dyn Fn(&str) -> Option<String>) -> DerivedSettings>;

/// Adapter to where the program runs.
pub struct Adapter {
    /// Derives settings, by flag name, from the variables of the environment and the settings file.
    pub derive_settings: SettingsDeriver,
    /// Chooses what a node is given.
    pub choose_integration: Box<dyn Fn(&ProcessSettings) -> Integration>,
}

impl fmt::Debug for Adapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Adapter").finish_non_exhaustive()
    }
}
