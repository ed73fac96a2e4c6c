//! Objects of the store.

use {serde_json::Value, std::sync::Arc};

record! {
    /// A versioned object.
    pub struct Object {
        /// Name within its kind.
        pub name: Arc<str>,
        /// Revision of its last change; every later change in the store has a higher revision.
        pub revision: u64,
        /// Content of the object.
        pub value: Value,
    }

    /// All objects of a kind, or only those changed since a revision.
    pub struct Listing {
        /// Revision up to which the listing is complete.
        pub revision: u64,
        /// Objects.
        pub items: Vec<Object>,
    }
}
