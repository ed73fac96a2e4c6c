//! The fake network.

use {
    pistachiolane::{
        membership::{Members, MembershipAction, MembershipEvent},
        schema::{FleetKey, Health, MemberRecord},
        tick::Tick,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

const TIMER: Duration = Duration::from_millis(20);

/// Nodes, and the messages between them.
#[derive(Debug)]
pub struct SimulatedNetwork {
    /// Present time.
    pub now: Tick,
    rng: SmallRng,
    key: FleetKey,
    /// Nodes by control address.
    pub nodes: BTreeMap<SocketAddr, Members>,
    /// Messages by arrival.
    in_flight: BTreeMap<(Tick, u64), (SocketAddr, MembershipEvent)>,
    /// Packets sent.
    pub packets_sent: u64,
    /// Bytes of the packets sent, with their UDP and IP headers.
    pub bytes_sent: u64,
    loss: f64,
    /// Nodes that neither send nor receive.
    pub paused: BTreeSet<SocketAddr>,
    /// Addresses on the far side of a parting.
    pub partitioned: BTreeSet<SocketAddr>,
}

/// Control address of a node by its place.
pub fn control_address(at: u16) -> SocketAddr {
    let [high, low] = at.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 8082))
}

fn record(node: u64, at: u16, region: &str) -> MemberRecord {
    MemberRecord {
        node,
        revision: 1,
        health: Health::Alive,
        gate: control_address(at),
        control: control_address(at),
        region: region.into(),
        zone: format!("{region}-{}", at % 3).into(),
        upstreams: Vec::new(),
    }
}

impl SimulatedNetwork {
    /// `size` nodes that know two seeds; each packet is lost with a chance of `loss`.
    pub fn new(size: u16, loss: f64, seed: u64) -> Self {
        let mut net = Self {
            now: Tick(1),
            rng: SmallRng::seed_from_u64(seed),
            key: FleetKey::new("net"),
            nodes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            packets_sent: 0,
            bytes_sent: 0,
            loss,
            paused: BTreeSet::new(),
            partitioned: BTreeSet::new(),
        };
        for at in 0..size {
            net.start(u64::from(at) + 1, at);
        }
        net
    }

    /// Starts a node at an address, in place of the one that was there.
    pub fn start(&mut self, node: u64, at: u16) {
        let region = if at % 4 == 3 { "gotaland" } else { "svealand" };
        let members = Members::new(
            self.now,
            record(node, at, region),
            vec![control_address(0), control_address(1)],
        );
        self.nodes.insert(control_address(at), members);
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TIMER;
            self.deliver();
            let addresses: Vec<SocketAddr> = self.nodes.keys().copied().collect();
            for address in addresses {
                self.step(address, MembershipEvent::Timer);
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now, u64::MAX));
        for (_, (to, event)) in std::mem::replace(&mut self.in_flight, later) {
            self.step(to, event);
        }
    }

    /// Gives a node an event.
    pub fn step(&mut self, at: SocketAddr, event: MembershipEvent) {
        if self.paused.contains(&at) {
            return;
        }
        let Some(members) = self.nodes.get_mut(&at) else { return };
        for action in members.step(self.now, &mut self.rng, event) {
            match action {
                MembershipAction::Send(to, packet) => {
                    self.packets_sent += 1;
                    self.bytes_sent +=
                        self.key.encode_packet(&packet).map_or(0, |b| b.len() as u64 + 28);
                    let partitioned =
                        self.partitioned.contains(&at) != self.partitioned.contains(&to);
                    if !partitioned && !self.rng.random_bool(self.loss) {
                        self.schedule_event(to, MembershipEvent::Packet(at, packet));
                    }
                }
                MembershipAction::Exchange(from) => {
                    let known = self.nodes.get(&from).map(|m| m.live_records().cloned().collect());
                    if let Some(records) = known {
                        self.schedule_event(at, MembershipEvent::Records(records));
                    }
                }
                _ => {}
            }
        }
    }

    /// Sends a node an event, which arrives after some milliseconds.
    pub fn schedule_event(&mut self, to: SocketAddr, event: MembershipEvent) {
        let delay = Duration::from_millis(self.rng.random_range(1..40));
        let order = self.rng.random();
        self.in_flight.insert((self.now + delay, order), (to, event));
    }

    /// Nodes that take `node` for usable.
    pub fn alive_view_count(&self, node: u64) -> usize {
        let alive = |m: &Members| m.records().any(|r| r.node == node && r.health == Health::Alive);
        self.nodes.values().filter(|m| alive(m)).count()
    }

    /// Members that some node does not count as alive: who, by whom, and how it is seen.
    pub fn missing_alive_views(&self) -> Vec<(u64, u64, Option<Health>)> {
        let nodes: Vec<u64> = self.nodes.values().map(|m| m.local_record().node).collect();
        let mut unknown = Vec::new();
        for seen_by in self.nodes.values() {
            let own = seen_by.local_record().node;
            let seen: BTreeMap<u64, Health> =
                seen_by.records().map(|r| (r.node, r.health)).collect();
            let others = nodes.iter().copied().filter(|&n| n != own);
            let missing = others.filter(|n| seen.get(n) != Some(&Health::Alive));
            unknown.extend(missing.map(|n| (n, own, seen.get(&n).copied())));
        }
        unknown
    }
}
