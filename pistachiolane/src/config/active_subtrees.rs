//! The settings subtrees in force at a node, and their exchange with a peer.

use {
    super::SettingsTree,
    crate::schema::{ExchangeReply, Subtree, SubtreeVersion},
    std::{collections::BTreeMap, sync::Arc},
};

value! {
    /// Result of applying a received subtree.
    pub enum ApplyResult {
        /// It is newer than the version that was in force, and is in force now.
        Newer,
        /// It has the version that is in force.
        Same,
        /// It is older than the version in force; nothing changed.
        Older,
    }
}

/// Subtrees in force by name. Versions never decrease.
#[derive(Debug, Default)]
pub struct ActiveSubtrees {
    subtrees: BTreeMap<Arc<str>, Subtree>,
}

impl ActiveSubtrees {
    /// Puts a subtree in force if it is newer than the current one.
    pub fn apply(&mut self, subtree: Subtree) -> ApplyResult {
        let current = self.version(&subtree.name);
        match subtree.version {
            v if v < current => ApplyResult::Older,
            v if v == current => ApplyResult::Same,
            _ => {
                self.subtrees.insert(Arc::clone(&subtree.name), subtree);
                ApplyResult::Newer
            }
        }
    }

    /// Returns the version of a subtree, or zero if there is no such subtree.
    pub fn version(&self, name: &str) -> u64 {
        self.subtrees.get(name).map_or(0, |s| s.version)
    }

    /// Returns a subtree by name.
    pub fn get(&self, name: &str) -> Option<&Subtree> {
        self.subtrees.get(name)
    }

    /// Returns all subtrees, ordered by name.
    pub fn subtrees(&self) -> impl Iterator<Item = &Subtree> + Clone {
        self.subtrees.values()
    }

    /// Returns the versions of all subtrees.
    pub fn versions(&self) -> Vec<SubtreeVersion> {
        self.subtrees
            .values()
            .map(|s| SubtreeVersion { name: Arc::clone(&s.name), version: s.version })
            .collect()
    }

    /// Returns a digest of all versions; equal digests mean equal settings.
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for subtree in self.subtrees.values() {
            hasher.update(subtree.name.as_bytes());
            hasher.update(&[0]);
            hasher.update(&subtree.version.to_le_bytes());
        }
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(prefix)
    }

    /// Returns the reply to a peer whose versions are `peer_versions`: the subtrees that are newer
    /// here, and the names of those that are newer at the peer.
    pub fn exchange(&self, peer_versions: &[SubtreeVersion]) -> ExchangeReply {
        let version_by_name: BTreeMap<&Arc<str>, u64> =
            peer_versions.iter().map(|v| (&v.name, v.version)).collect();
        let newer = self
            .subtrees
            .values()
            .filter(|s| s.version > version_by_name.get(&s.name).copied().unwrap_or(0))
            .cloned()
            .collect();
        let wanted = peer_versions
            .iter()
            .filter(|v| v.version > self.version(&v.name))
            .map(|v| Arc::clone(&v.name))
            .collect();
        ExchangeReply { newer, wanted }
    }

    /// Returns copies of the named subtrees; names without a subtree are skipped.
    pub fn get_many(&self, names: &[Arc<str>]) -> Vec<Subtree> {
        names.iter().filter_map(|name| self.subtrees.get(name)).cloned().collect()
    }

    /// Compiles the subtrees to the settings tree.
    pub fn compile(&self) -> SettingsTree {
        SettingsTree::new(self.subtrees())
    }
}
