//! Evacuated zones as the store shows them to one watcher, and their publication as a settings subtree.

use {
    super::EVACUATIONS,
    crate::{
        schema::{EvacuationsDocument, Subtree},
        store::{Listing, Position},
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// Number of low bits of a version that hold the revision; the era is above them. The fleet makes less than 1,000
/// writes a second, so that revisions don't reach the era within thousands of years.
const REVISION_BITS: u32 = 48;

/// Largest era that a version holds. A store comes back from an older copy a few times at most.
const MAX_ERA: u64 = (1 << (u64::BITS - REVISION_BITS)) - 1;

/// Evacuated zones at one position of the store.
#[derive(Clone, Debug, Default)]
pub struct WatchedEvacuations {
    zones: BTreeSet<Arc<str>>,
    position: Option<Position>,
}

impl WatchedEvacuations {
    /// Returns the position to continue the watch from; `None` if all objects must be listed.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Takes a listing of all objects.
    pub fn replace(&mut self, listing: &Listing) {
        self.zones = listing.items.iter().map(|o| Arc::clone(&o.name)).collect();
        self.position = Some(listing.position);
    }

    /// Takes the changes since the position.
    pub fn update(&mut self, changes: &Listing) {
        self.zones.extend(changes.items.iter().map(|o| Arc::clone(&o.name)));
        for name in &changes.removed {
            self.zones.remove(name);
        }
        self.position = Some(changes.position);
    }

    /// Discards the position, so that all objects are listed again.
    pub fn discard_position(&mut self) {
        self.position = None;
    }

    /// Returns the subtree to put in force, if the zones differ from those in force and are more recent.
    ///
    /// Without a subtree in force, the set is published even if it is empty: until then, gates admit nothing.
    pub fn publication(&self, in_force: Option<&Subtree>) -> Option<Subtree> {
        let version = version(self.position?);
        let zones: Vec<Arc<str>> = self.zones.iter().cloned().collect();
        if let Some(in_force) = in_force {
            let document = serde_json::from_str::<EvacuationsDocument>(&in_force.document);
            let is_same = document.is_ok_and(|d| d.zones == zones);
            if is_same || in_force.version >= version {
                return None;
            }
        }
        Some(Subtree {
            name: Arc::from(EVACUATIONS),
            version,
            change: "store".to_owned(),
            document: serde_json::to_string(&EvacuationsDocument { zones }).ok()?,
        })
    }
}

/// Returns a version that rises with the position. It is above zero, which stands for no subtree.
fn version(position: Position) -> u64 {
    let max_revision = (1 << REVISION_BITS) - 2;
    (position.era.min(MAX_ERA) << REVISION_BITS) + position.revision.min(max_revision) + 1
}
