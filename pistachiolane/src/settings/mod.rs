//! Settings of the process: flags, environment variables and a file, checked together.

mod file;
mod process;
mod tunables;

pub use {
    file::{FileError, SettingsFile},
    process::{Interface, ProcessSettings, SettingsError, SettingsSource},
    tunables::Tunables,
};
