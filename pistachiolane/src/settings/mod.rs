//! Settings of the process: flags, environment variables and a settings file, validated together.

mod derived_settings;
mod file;
mod process;
mod resources;
mod tunables;

pub use {
    derived_settings::DerivedSettings,
    file::{FileError, SettingsFile},
    process::{Interface, ProcessSettings, SettingsError, SettingsSource},
    resources::Resources,
    tunables::Tunables,
};
