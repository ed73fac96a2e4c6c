//! What is wrong with a settings value.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// One fault of a settings document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct ValidationError {
    /// Path of the value, from the subtree's name on.
    pub path: String,
    /// What is wrong, and what is expected.
    pub reason: String,
}

impl ValidationError {
    /// A fault of a path.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { path: path.into(), reason: reason.into() }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}
