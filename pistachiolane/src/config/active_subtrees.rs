//! The versions of settings that a node holds, and their exchange with a peer.

use {
    super::SettingsTree,
    crate::schema::{ExchangeReply, Subtree, SubtreeVersion},
    std::{collections::BTreeMap, sync::Arc},
};

value! {
    /// Effect of a subtree that came.
    pub enum ApplyResult {
        /// It is newer than what was held, and is in force now.
        Newer,
        /// It is what is held.
        Same,
        /// It is older than what is held; nothing changed.
        Older,
    }
}

/// Subtrees by name. Versions never fall.
#[derive(Debug, Default)]
pub struct ActiveSubtrees {
    subtrees: BTreeMap<Arc<str>, Subtree>,
}

impl ActiveSubtrees {
    /// Takes a subtree if it is newer than the one held.
    pub fn apply(&mut self, subtree: Subtree) -> ApplyResult {
        let held = self.version(&subtree.name);
        match subtree.version {
            v if v < held => ApplyResult::Older,
            v if v == held => ApplyResult::Same,
            _ => {
                self.subtrees.insert(Arc::clone(&subtree.name), subtree);
                ApplyResult::Newer
            }
        }
    }

    /// Version of a subtree, zero if none is held.
    pub fn version(&self, name: &str) -> u64 {
        self.subtrees.get(name).map_or(0, |s| s.version)
    }

    /// A subtree.
    pub fn get(&self, name: &str) -> Option<&Subtree> {
        self.subtrees.get(name)
    }

    /// All subtrees by name.
    pub fn subtrees(&self) -> impl Iterator<Item = &Subtree> + Clone {
        self.subtrees.values()
    }

    /// Versions of all subtrees.
    pub fn versions(&self) -> Vec<SubtreeVersion> {
        self.subtrees
            .values()
            .map(|s| SubtreeVersion { name: Arc::clone(&s.name), version: s.version })
            .collect()
    }

    /// Digest of all versions; equal digests mean equal settings.
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for subtree in self.subtrees.values() {
            hasher.update(subtree.name.as_bytes());
            hasher.update(&[0]);
            hasher.update(&subtree.version.to_le_bytes());
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(first)
    }

    /// Answers a peer that holds `theirs`: what it lacks, and what it holds beyond this node.
    pub fn exchange(&self, theirs: &[SubtreeVersion]) -> ExchangeReply {
        let their: BTreeMap<&Arc<str>, u64> = theirs.iter().map(|v| (&v.name, v.version)).collect();
        let newer = self
            .subtrees
            .values()
            .filter(|s| s.version > their.get(&s.name).copied().unwrap_or(0))
            .cloned()
            .collect();
        let wanted = theirs
            .iter()
            .filter(|v| v.version > self.version(&v.name))
            .map(|v| Arc::clone(&v.name))
            .collect();
        ExchangeReply { newer, wanted }
    }

    /// Copies of the named subtrees that are held.
    pub fn get_many(&self, names: &[Arc<str>]) -> Vec<Subtree> {
        names.iter().filter_map(|name| self.subtrees.get(name)).cloned().collect()
    }

    /// The tree that the subtrees make.
    pub fn compile(&self) -> SettingsTree {
        SettingsTree::new(self.subtrees())
    }
}
