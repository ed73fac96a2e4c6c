//! Settings of the process itself, from flags and the environment.

mod process;

pub use process::{ProcessSettings, SettingsError, SettingsSource};
