//! The settings file: lines `NAME=value`, named as the environment variables.

use std::{collections::HashMap, path::Path};

/// A settings file that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {source}")]
pub struct FileError {
    path: String,
    source: dotenvy::Error,
}

/// Values of a settings file by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsFile {
    values: HashMap<String, String>,
}

impl SettingsFile {
    /// Reads a file.
    ///
    /// # Errors
    /// Fails when the file is not there or a line is not `NAME=value`.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let named = |source| FileError { path: path.display().to_string(), source };
        let lines = dotenvy::from_path_iter(path).map_err(named)?;
        let values = lines.collect::<Result<_, _>>().map_err(named)?;
        Ok(Self { values })
    }

    /// Value of a name.
    pub fn get(&self, name: &str) -> Option<String> {
        self.values.get(name).cloned()
    }
}
