//! Settings file with lines `NAME=value`, named like the environment variables.

use std::{collections::HashMap, path::Path};

/// Error for a settings file that cannot be read or parsed.
#[derive(Debug, thiserror::Error)]
#[error("cannot read settings file {path}: {source}")]
pub struct FileError {
    path: String,
    source: dotenvy::Error,
}

/// Values of a settings file, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsFile {
    values: HashMap<String, String>,
}

impl SettingsFile {
    /// Reads and parses a settings file.
    ///
    /// # Errors
    /// Fails when the file does not exist or a line is not `NAME=value`.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let with_path = |source| FileError { path: path.display().to_string(), source };
        let lines = dotenvy::from_path_iter(path).map_err(with_path)?;
        let values = lines.collect::<Result<_, _>>().map_err(with_path)?;
        Ok(Self { values })
    }

    /// Returns the value of a name.
    pub fn get(&self, name: &str) -> Option<String> {
        self.values.get(name).cloned()
    }
}
