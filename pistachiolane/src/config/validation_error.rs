//! Error of the validation of settings.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// An invalid value in a settings document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct ValidationError {
    /// Path of the value, starting with the subtree's name.
    pub path: String,
    /// Reason why the value is invalid, such as the expected range.
    pub reason: String,
}

impl ValidationError {
    /// Creates the error for the value at `path`.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { path: path.into(), reason: reason.into() }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}
