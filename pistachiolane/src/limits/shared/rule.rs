//! A limit that holds over all nodes.

use {crate::config::WorkspaceLimit, std::sync::Arc};

record! {
    /// Named limit on requests per second, over all nodes.
    pub struct LimitRule {
        /// Name, such as that of a workspace.
        pub name: Arc<str>,
        /// Rate and burst.
        pub limit: WorkspaceLimit,
    }
}

/// Returns the identity of a limit in messages between nodes: the start of the BLAKE3 hash of its name.
pub fn limit_id(name: &str) -> u64 {
    let mut id = [0; 8];
    id.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(id)
}
