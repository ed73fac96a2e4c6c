//! Member records that still have to be passed on.

use {
    crate::schema::{Health, MemberRecord},
    std::collections::{BTreeMap, BTreeSet},
};

/// Sends of each update, as a multiple of the logarithm of the fleet's size.
const SENDS_FACTOR: u32 = 2;

/// Bytes of updates that one packet carries; with eight packets a second below 7 KB/s in any storm.
const MAX_UPDATE_BYTES: usize = 800;

/// Encoded size of a record's numbers and addresses, an upper bound in bytes.
const RECORD_BYTES: usize = 64;

value! {
    /// How soon an update must be known.
    #[derive(PartialOrd, Ord)]
    pub enum Urgency {
        /// A member takes no more work.
        First,
        /// Anything else.
        Then,
    }
}

/// Updates ordered by urgency, then by how often they were sent, fewest first.
#[derive(Debug, Default)]
pub struct Updates {
    order: BTreeSet<(Urgency, u32, u64)>,
    sends: BTreeMap<u64, (Urgency, u32)>,
}

impl Updates {
    /// Adds a member whose record changed; it starts anew if it was there.
    pub fn push(&mut self, record: &MemberRecord) {
        let urgency = if record.health == Health::Alive { Urgency::Then } else { Urgency::First };
        self.remove(record.node);
        self.insert(urgency, 0, record.node);
    }

    /// Removes a member.
    pub fn remove(&mut self, node: u64) {
        if let Some((urgency, sends)) = self.sends.remove(&node) {
            self.order.remove(&(urgency, sends, node));
        }
    }

    fn insert(&mut self, urgency: Urgency, sends: u32, node: u64) {
        self.sends.insert(node, (urgency, sends));
        self.order.insert((urgency, sends, node));
    }

    /// Updates waiting.
    pub fn len(&self) -> usize {
        self.sends.len()
    }

    /// Takes the records for one packet, in a fleet of `size` members.
    pub fn take(
        &mut self,
        size: usize,
        record: impl Fn(u64) -> Option<MemberRecord>,
    ) -> Vec<MemberRecord> {
        let most = SENDS_FACTOR * (usize::BITS - size.leading_zeros()).max(1);
        let mut bytes = 0;
        let mut records = Vec::new();
        let nodes: Vec<(Urgency, u32, u64)> = self.order.iter().copied().collect();
        for (urgency, sends, node) in nodes {
            let Some(record) = record(node) else {
                self.remove(node);
                continue;
            };
            bytes += encoded_bytes(&record);
            if bytes > MAX_UPDATE_BYTES {
                break;
            }
            records.push(record);
            self.remove(node);
            if sends + 1 < most {
                self.insert(urgency, sends + 1, node);
            }
        }
        records
    }
}

fn encoded_bytes(record: &MemberRecord) -> usize {
    let names: usize = record.upstreams.iter().map(|u| u.service.len() + 4).sum();
    RECORD_BYTES + record.region.len() + record.zone.len() + names
}
