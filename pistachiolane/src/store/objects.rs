//! Objects of the store.

use {serde_json::Value, std::sync::Arc};

record! {
    /// One object.
    pub struct Object {
        /// Name within its kind.
        pub name: Arc<str>,
        /// Revision of its last change; later changes anywhere in the store have higher ones.
        pub revision: u64,
        /// Value.
        pub value: Value,
    }

    /// Objects of a kind, or those changed since a revision.
    pub struct Listing {
        /// Revision that the listing is complete up to.
        pub revision: u64,
        /// Objects.
        pub items: Vec<Object>,
    }
}
