//! Queue of member records that still have to be disseminated.

use {
    crate::schema::{Health, MemberRecord},
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of times that each update is sent, as a multiple of the binary logarithm of the fleet
/// size.
const SENDS_FACTOR: u32 = 2;

/// Maximum bytes of updates in one packet; at eight packets per second this keeps the traffic below
/// 7 KB/s however many updates are waiting.
const MAX_UPDATE_BYTES: usize = 800;

/// Upper bound in bytes for the encoded numbers and addresses of a record.
const MAX_FIXED_RECORD_BYTES: usize = 64;

value! {
    /// Priority of an update; the order of the variants is the order of sending.
    #[derive(PartialOrd, Ord)]
    pub enum Urgency {
        /// The member is not alive and must receive no new work.
        Urgent,
        /// Any other update.
        Normal,
    }
}

/// Updates ordered by urgency, then by the number of times they were sent, fewest first.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    order: BTreeSet<(Urgency, u32, u64)>,
    sends: BTreeMap<u64, (Urgency, u32)>,
}

impl UpdateQueue {
    /// Adds a member whose record changed; resets its send count if it is queued already.
    pub fn push(&mut self, record: &MemberRecord) {
        let urgency =
            if record.health == Health::Alive { Urgency::Normal } else { Urgency::Urgent };
        self.remove(record.node);
        self.insert(urgency, 0, record.node);
    }

    pub fn remove(&mut self, node: u64) {
        if let Some((urgency, sends)) = self.sends.remove(&node) {
            self.order.remove(&(urgency, sends, node));
        }
    }

    fn insert(&mut self, urgency: Urgency, sends: u32, node: u64) {
        self.sends.insert(node, (urgency, sends));
        self.order.insert((urgency, sends, node));
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.sends.len()
    }

    /// Returns the records for one packet and counts them as sent.
    ///
    /// `record` returns the current record of a node. An update is removed after its last send,
    /// which depends on `fleet_size`, or if `record` returns `None`.
    pub fn next_batch(
        &mut self,
        fleet_size: usize,
        record: impl Fn(u64) -> Option<MemberRecord>,
    ) -> Vec<MemberRecord> {
        let max_sends = SENDS_FACTOR * (usize::BITS - fleet_size.leading_zeros()).max(1);
        let mut bytes = 0;
        let mut records = Vec::new();
        let nodes: Vec<(Urgency, u32, u64)> = self.order.iter().copied().collect();
        for (urgency, sends, node) in nodes {
            let Some(record) = record(node) else {
                self.remove(node);
                continue;
            };
            bytes += max_encoded_bytes(&record);
            if bytes > MAX_UPDATE_BYTES {
                break;
            }
            records.push(record);
            self.remove(node);
            if sends + 1 < max_sends {
                self.insert(urgency, sends + 1, node);
            }
        }
        records
    }
}

fn max_encoded_bytes(record: &MemberRecord) -> usize {
    let names: usize = record.upstreams.iter().map(|u| u.service.len() + 4).sum();
    MAX_FIXED_RECORD_BYTES + record.region.len() + record.zone.len() + names
}
