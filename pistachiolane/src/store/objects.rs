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

    /// Point in the history of the store.
    #[derive(Copy)]
    pub struct Position {
        /// Era of the history: it rises each time the store comes back from an older copy, which then
        /// assigns revisions of its previous era again.
        pub era: u64,
        /// Revision within the era.
        pub revision: u64,
    }

    /// All objects of a kind, or only those changed since a position.
    pub struct Listing {
        /// Position up to which the listing is complete.
        pub position: Position,
        /// Objects.
        pub items: Vec<Object>,
        /// Names of the objects whose last change since the position was their deletion; empty in a listing of all.
        pub removed: Vec<Arc<str>>,
    }
}
