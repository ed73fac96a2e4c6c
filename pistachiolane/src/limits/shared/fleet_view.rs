//! The members among which owners are chosen, and the part of the fleet that they are.

use {
    super::bounds::{MEMBER_MEMORY, PART_FACTOR},
    crate::tick::Tick,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
};

value! {
    /// Live member of the fleet.
    pub struct LimitMember {
        /// Identity of the node.
        pub node: u64,
        /// Control address, by which a restarted process is the same member.
        pub address: SocketAddr,
        /// Whether the member shuts down as planned; it is no owner then.
        pub is_leaving: bool,
        /// Whether the member is suspected to be dead.
        pub is_suspect: bool,
    }
}

/// Live members, and the addresses that were members lately.
#[derive(Debug, Default)]
pub struct FleetView {
    members: HashMap<u64, LimitMember>,
    recent: HashMap<SocketAddr, Tick>,
    registered: Option<RegisteredSize>,
}

/// Size of the fleet as another process wrote it to the store.
#[derive(Clone, Copy, Debug)]
struct RegisteredSize {
    members: usize,
    read_at: Tick,
}

impl FleetView {
    /// Replaces the members.
    pub fn set(&mut self, now: Tick, members: impl IntoIterator<Item = LimitMember>) {
        let previous = std::mem::take(&mut self.members);
        for member in previous.into_values().filter(|m| !m.is_leaving) {
            self.recent.insert(member.address, now);
        }
        self.members = members.into_iter().map(|m| (m.node, m)).collect();
        let present: HashSet<SocketAddr> = self.members.values().map(|m| m.address).collect();
        self.recent.retain(|a, at| !present.contains(a) && now.since(*at) < MEMBER_MEMORY);
    }

    /// Records the number of members that the store names; 0 if it names none, as at the first start of a fleet. It counts
    /// for [`MEMBER_MEMORY`] after the first read: by then the process has seen all members that exist.
    pub fn set_registered_size(&mut self, now: Tick, members: usize) {
        let read_at = self.registered.map_or(now, |r| r.read_at);
        self.registered = Some(RegisteredSize { members, read_at });
    }

    /// Returns a member.
    pub fn get(&self, node: u64) -> Option<&LimitMember> {
        self.members.get(&node)
    }

    /// Returns the nodes that may own limits.
    pub fn candidates(&self) -> impl Iterator<Item = u64> {
        self.members.values().filter(|m| !m.is_leaving).map(|m| m.node)
    }

    /// Returns the number of live members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the number of live members and of those that disappeared lately without leaving, before the start of
    /// this process included.
    pub fn recent_len(&self, now: Tick) -> usize {
        self.seen_len(now).max(self.registered_len(now)).max(1)
    }

    /// Whether the store names more members than the process has seen lately.
    pub fn is_short_of_registered(&self, now: Tick) -> bool {
        self.registered_len(now) > self.seen_len(now)
    }

    fn seen_len(&self, now: Tick) -> usize {
        let lost = self.recent.values().filter(|at| now.since(**at) < MEMBER_MEMORY).count();
        self.members.len() + lost
    }

    fn registered_len(&self, now: Tick) -> usize {
        let registered = self.registered.filter(|r| now.since(r.read_at) < MEMBER_MEMORY);
        registered.map_or(0, |r| r.members)
    }

    /// Whether the number of members is known: the process has met another one, or has read what the store names.
    pub fn is_size_known(&self) -> bool {
        self.registered.is_some() || self.members.len() > 1
    }

    /// Returns the part of a limit's rate that the live members may use. Members that disappeared may be cut off
    /// and use the other part.
    pub fn part(&self, now: Tick) -> f64 {
        if !self.is_size_known() {
            return 0.0;
        }
        (PART_FACTOR * self.members.len().max(1) as f64 / self.recent_len(now) as f64).min(1.0)
    }
}
