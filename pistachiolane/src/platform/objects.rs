//! Objects as the platform's API shows them.

use {
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::sync::Arc,
};

/// One object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name within its kind.
    pub name: Arc<str>,
    /// Version; later writes of the store have higher ones.
    pub version: u64,
    /// Value.
    pub value: Value,
}

/// Objects of a kind, or those changed since a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision that the listing is complete up to.
    pub revision: u64,
    /// Objects.
    pub items: Vec<Object>,
}

/// Answer to a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutAnswer {
    /// Version of the object: the one written, or the one that stood in the way.
    pub version: u64,
}
