//! What is wrong with a settings value.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// One fault of a settings document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct Fault {
    /// Path of the value, from the subtree's name on.
    pub path: String,
    /// What is wrong, and what is expected.
    pub reason: String,
}

impl Fault {
    /// A fault of a path.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { path: path.into(), reason: reason.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}
