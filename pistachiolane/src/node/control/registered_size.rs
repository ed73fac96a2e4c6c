//! The size of the fleet in the store: read by processes that start, written by the first node of each region.

use {
    crate::node::{
        control::{
            control_loop::{ControlHandle, ControlSnapshot},
            store_task::{count_read, write_outcome_label},
        },
        shared::Shared,
    },
    crate::{
        config::WriteResult,
        limits::shared::SizeRegistration,
        metrics::Metrics,
        store::{Freshness, Object},
        tick::Tick,
    },
    serde::{Deserialize, Serialize},
    std::{sync::atomic::Ordering, time::Duration},
};

/// Kind and name of the object with the number of members, for processes that start on one side of a partition.
const FLEET_KIND: &str = "fleet";
const FLEET_SIZE_NAME: &str = "size";

/// Interval between two reads of that object by a node that has seen fewer members lately than it names.
const SIZE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug, Serialize, Deserialize)]
struct FleetSize {
    members: usize,
}

/// Size of the fleet in the store, as the node last read or wrote it.
#[derive(Debug, Default)]
pub struct RegisteredSize {
    /// Number of members, 0 if there is no object, and revision of the object; `None` if it must be read first.
    known: Option<(usize, u64)>,
    /// Whether it was read since the start of the process.
    was_read: bool,
    read_at: Tick,
    registration: SizeRegistration,
}

impl RegisteredSize {
    /// Reads the size unless it was read since the start of the process.
    pub async fn read_first(&mut self, shared: &Shared, control: &ControlHandle) {
        if !self.was_read {
            self.read(shared, control, Freshness::MayBeStale).await;
        }
    }

    /// Reads the size and passes it on to the limits. Stale reads are cheaper, and suffice unless the size is written next.
    async fn read(&mut self, shared: &Shared, control: &ControlHandle, freshness: Freshness) {
        self.read_at = shared.now();
        let listing = shared.store.list(FLEET_KIND, freshness).await;
        count_read(shared, &listing);
        let Ok(listing) = listing else {
            return;
        };
        let object = listing.items.iter().find(|o| &*o.name == FLEET_SIZE_NAME);
        let (members, revision) = object.map_or((0, 0), |o| (parse_fleet_size(o), o.revision));
        self.known = (freshness == Freshness::Current).then_some((members, revision));
        self.was_read = true;
        control.set_registered_size(members).await;
    }

    /// Reads the size if the node needs it, and writes it if the node is the first of its region and the size has changed.
    pub async fn check(
        &mut self,
        shared: &Shared,
        control: &ControlHandle,
        snapshot: &ControlSnapshot,
    ) {
        let now = shared.now();
        self.read_first(shared, control).await;
        let is_due = now.since(self.read_at) >= SIZE_CHECK_INTERVAL;
        if snapshot.is_short_of_registered && is_due {
            self.read(shared, control, Freshness::MayBeStale).await;
        }
        let Some(size) = snapshot.fleet_size else {
            return;
        };
        if shared.watch_rank.load(Ordering::Relaxed) > 0 {
            return;
        }
        if self.known.is_none() {
            self.read(shared, control, Freshness::Current).await;
        }
        let Some((registered, revision)) = self.known else {
            return;
        };
        if !self.registration.is_due(now, registered, size) {
            return;
        }
        let value = serde_json::json!(FleetSize { members: size });
        let written = shared.store.put(FLEET_KIND, FLEET_SIZE_NAME, revision, &value).await;
        Metrics::count(&shared.metrics.store_calls, write_outcome_label(&written));
        log::info!(
            target: "membership", members = size, replaced = registered,
            result = write_outcome_label(&written);
            "size of the fleet registered"
        );
        // After a conflict, another region's first node has written it.
        self.known = match written {
            WriteResult::Written(revision) => Some((size, revision)),
            _ => None,
        };
    }
}

/// Returns the number of members in an object, or 0 if the object is malformed.
fn parse_fleet_size(object: &Object) -> usize {
    let size = FleetSize::deserialize(&object.value);
    let size = size.inspect_err(|e| {
        log::warn!(target: "membership", object = &*object.name; "size of the fleet skipped: {e}");
    });
    size.map_or(0, |size| size.members)
}
