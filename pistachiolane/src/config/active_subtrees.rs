//! The settings subtrees in force at a node, and their exchange with a peer.

use {
    super::{PackingError, SettingsTree, pack, unpack},
    crate::schema::{ExchangeReply, PackedReply, PackedSubtree, Subtree, SubtreeVersion},
    std::{
        collections::BTreeMap,
        sync::{Arc, OnceLock},
    },
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

/// Subtree in force, with its compressed form once that was received or needed.
#[derive(Debug)]
struct ActiveSubtree {
    subtree: Subtree,
    packed: OnceLock<PackedSubtree>,
}

impl ActiveSubtree {
    /// Returns the compressed form, or `None` if the compressor failed.
    fn packed(&self) -> Option<PackedSubtree> {
        if let Some(packed) = self.packed.get() {
            return Some(packed.clone());
        }
        match pack(&self.subtree) {
            Ok(packed) => Some(self.packed.get_or_init(|| packed).clone()),
            Err(e) => {
                log::warn!(target: "settings", subtree = &*self.subtree.name; "not sent: {e}");
                None
            }
        }
    }
}

/// Subtrees in force by name. Versions never decrease.
#[derive(Debug, Default)]
pub struct ActiveSubtrees {
    subtrees: BTreeMap<Arc<str>, ActiveSubtree>,
}

impl ActiveSubtrees {
    /// Puts a subtree in force if it is newer than the current one.
    pub fn apply(&mut self, subtree: Subtree) -> ApplyResult {
        let current = self.version(&subtree.name);
        match subtree.version {
            v if v < current => ApplyResult::Older,
            v if v == current => ApplyResult::Same,
            _ => {
                let name = Arc::clone(&subtree.name);
                self.subtrees.insert(name, ActiveSubtree { subtree, packed: OnceLock::new() });
                ApplyResult::Newer
            }
        }
    }

    /// Puts a compressed subtree in force if it is newer than the current one, and keeps the compressed form.
    ///
    /// # Errors
    /// Fails if a newer one cannot be decompressed.
    pub fn apply_packed(&mut self, packed: PackedSubtree) -> Result<ApplyResult, PackingError> {
        match self.version(&packed.name) {
            current if packed.version < current => return Ok(ApplyResult::Older),
            current if packed.version == current => return Ok(ApplyResult::Same),
            _ => {}
        }
        let subtree = unpack(&packed)?;
        let name = Arc::clone(&subtree.name);
        let packed = OnceLock::from(packed);
        self.subtrees.insert(name, ActiveSubtree { subtree, packed });
        Ok(ApplyResult::Newer)
    }

    /// Returns the version of a subtree, or zero if there is no such subtree.
    pub fn version(&self, name: &str) -> u64 {
        self.get(name).map_or(0, |s| s.version)
    }

    /// Returns a subtree by name.
    pub fn get(&self, name: &str) -> Option<&Subtree> {
        self.subtrees.get(name).map(|active| &active.subtree)
    }

    /// Returns all subtrees, ordered by name.
    pub fn subtrees(&self) -> impl Iterator<Item = &Subtree> + Clone {
        self.subtrees.values().map(|active| &active.subtree)
    }

    /// Returns the versions of all subtrees.
    pub fn versions(&self) -> Vec<SubtreeVersion> {
        self.subtrees()
            .map(|s| SubtreeVersion { name: Arc::clone(&s.name), version: s.version })
            .collect()
    }

    /// Returns a digest of all versions; equal digests mean equal settings.
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for subtree in self.subtrees() {
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
        let newer = self.newer_than(peer_versions).map(|active| active.subtree.clone()).collect();
        ExchangeReply { newer, wanted: self.older_than(peer_versions) }
    }

    /// Returns the same reply as [`Self::exchange`] with compressed documents.
    pub fn exchange_packed(&self, peer_versions: &[SubtreeVersion]) -> PackedReply {
        let newer = self.newer_than(peer_versions).filter_map(ActiveSubtree::packed).collect();
        PackedReply { newer, wanted: self.older_than(peer_versions) }
    }

    fn newer_than(&self, versions: &[SubtreeVersion]) -> impl Iterator<Item = &ActiveSubtree> {
        let by_name: BTreeMap<Arc<str>, u64> =
            versions.iter().map(|v| (Arc::clone(&v.name), v.version)).collect();
        self.subtrees.iter().filter_map(move |(name, active)| {
            let is_newer = active.subtree.version > by_name.get(name).copied().unwrap_or(0);
            is_newer.then_some(active)
        })
    }

    fn older_than(&self, versions: &[SubtreeVersion]) -> Vec<Arc<str>> {
        let older = versions.iter().filter(|v| v.version > self.version(&v.name));
        older.map(|v| Arc::clone(&v.name)).collect()
    }

    /// Returns copies of the named subtrees; names without a subtree are skipped.
    pub fn get_many(&self, names: &[Arc<str>]) -> Vec<Subtree> {
        names.iter().filter_map(|name| self.get(name)).cloned().collect()
    }

    /// Returns the named subtrees compressed; names without a subtree are skipped.
    pub fn get_many_packed(&self, names: &[Arc<str>]) -> Vec<PackedSubtree> {
        names.iter().filter_map(|name| self.subtrees.get(name)?.packed()).collect()
    }

    /// Compiles the subtrees to the settings tree.
    pub fn compile(&self) -> SettingsTree {
        SettingsTree::new(self.subtrees())
    }
}
