//! Simulated network and its nodes.

use {
    pistachiolane::{
        membership::{Members, MembershipAction, MembershipEvent},
        recovery::{Fingerprint, Quarantine, Suspicion},
        schema::{FleetKey, Health, MemberRecord, SuspectUpdate},
        tick::Tick,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

const TIMER_PERIOD: Duration = Duration::from_millis(50);

/// The nodes and the messages in flight between them.
#[derive(Debug)]
pub struct SimulatedNetwork {
    /// Current virtual time.
    pub now: Tick,
    rng: SmallRng,
    key: FleetKey,
    /// Nodes by control address.
    pub nodes: BTreeMap<SocketAddr, Members>,
    /// Events by arrival time; the second part of the key is random, so that events of one moment
    /// arrive in random order.
    in_flight: BTreeMap<(Tick, u64), (SocketAddr, MembershipEvent)>,
    /// Number of packets sent.
    pub packets_sent: u64,
    /// Bytes of the packets sent, with their UDP and IP headers.
    pub bytes_sent: u64,
    /// Probability that a packet is lost.
    loss: f64,
    /// Nodes that neither send nor receive.
    pub paused: BTreeSet<SocketAddr>,
    /// Addresses on one side of a partition; packets between the two sides are lost.
    pub partitioned: BTreeSet<SocketAddr>,
    /// Suspected requests by the control address of the node that knows of them.
    quarantines: BTreeMap<SocketAddr, Quarantine>,
}

/// Returns the control address of the node with an index.
pub fn control_address(index: u16) -> SocketAddr {
    let [high, low] = index.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 8082))
}

fn alive_record(node: u64, index: u16, region: &str) -> MemberRecord {
    MemberRecord {
        node,
        revision: 1,
        health: Health::Alive,
        gate: control_address(index),
        control: control_address(index),
        region: region.into(),
        zone: format!("{region}-{}", index % 3).into(),
        upstreams: Vec::new(),
    }
}

impl SimulatedNetwork {
    /// Creates `size` nodes with the same two seed addresses; each packet is lost with probability
    /// `loss`.
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
            quarantines: BTreeMap::new(),
        };
        for index in 0..size {
            net.start(u64::from(index) + 1, index);
        }
        net
    }

    /// Starts a node at the address of an index, replacing the node at this address.
    pub fn start(&mut self, node: u64, index: u16) {
        let region = if index % 4 == 3 { "gotaland" } else { "svealand" };
        let members = Members::new(
            self.now,
            alive_record(node, index, region),
            vec![control_address(0), control_address(1)],
        );
        self.nodes.insert(control_address(index), members);
    }

    /// Advances the virtual time by `duration`, delivering events and firing timers.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TIMER_PERIOD;
            self.deliver();
            let addresses: Vec<SocketAddr> = self.nodes.keys().copied().collect();
            for address in addresses {
                self.step(address, MembershipEvent::Timer);
            }
        }
    }

    fn deliver(&mut self) {
        let not_due = self.in_flight.split_off(&(self.now, u64::MAX));
        for (_, (to, event)) in std::mem::replace(&mut self.in_flight, not_due) {
            self.step(to, event);
        }
    }

    /// Processes an event at a node and carries out the resulting actions; a paused node ignores
    /// it.
    pub fn step(&mut self, address: SocketAddr, event: MembershipEvent) {
        if self.paused.contains(&address) {
            return;
        }
        let Some(members) = self.nodes.get_mut(&address) else { return };
        for action in members.step(self.now, &mut self.rng, event) {
            match action {
                MembershipAction::Send(to, packet) => {
                    self.packets_sent += 1;
                    self.bytes_sent +=
                        self.key.encode_packet(&packet).map_or(0, |b| b.len() as u64 + 28);
                    let partitioned =
                        self.partitioned.contains(&address) != self.partitioned.contains(&to);
                    if !partitioned && !self.rng.random_bool(self.loss) {
                        self.schedule_event(to, MembershipEvent::Packet(address, packet));
                    }
                }
                MembershipAction::Exchange(from) => {
                    let records =
                        self.nodes.get(&from).map(|m| m.live_records().cloned().collect());
                    if let Some(records) = records {
                        self.schedule_event(address, MembershipEvent::Records(records));
                    }
                }
                MembershipAction::Suspects(updates) => self.apply_suspects(address, &updates),
                MembershipAction::SettingsDiffer(from) => self.exchange_settings(address, from),
                _ => {}
            }
        }
    }

    /// Applies observations of suspected requests at a node, and queues them there for the others if they are new.
    pub fn apply_suspects(&mut self, address: SocketAddr, updates: &[SuspectUpdate]) {
        let quarantine = self.quarantines.entry(address).or_default();
        let version = quarantine.version();
        for update in updates {
            quarantine.apply(self.now, update);
        }
        if quarantine.version() != version {
            let updates = quarantine.updates(self.now);
            self.step(address, MembershipEvent::Suspects(updates));
        }
    }

    /// Returns the number of nodes that refuse a request.
    pub fn refusing_count(&self, fingerprint: Fingerprint) -> usize {
        let refuses = |q: &&Quarantine| {
            matches!(q.suspicion(self.now, fingerprint), Suspicion::Refused { .. })
        };
        self.quarantines.values().filter(refuses).count()
    }

    /// Puts the settings with the higher digest in force at both nodes, as the exchange of two nodes
    /// does with the newer ones.
    fn exchange_settings(&mut self, address: SocketAddr, from: SocketAddr) {
        let digest =
            |net: &Self, a: &SocketAddr| net.nodes.get(a).map_or(0, Members::settings_digest);
        let newer = digest(self, &address).max(digest(self, &from));
        for a in [address, from] {
            if let Some(members) = self.nodes.get_mut(&a) {
                members.set_settings_digest(newer);
            }
        }
    }

    /// Schedules an event at a node after a random delay of some milliseconds.
    pub fn schedule_event(&mut self, to: SocketAddr, event: MembershipEvent) {
        let delay = Duration::from_millis(self.rng.random_range(1..40));
        let order = self.rng.random();
        self.in_flight.insert((self.now + delay, order), (to, event));
    }

    /// Returns the number of other nodes whose record of `node` is alive.
    pub fn alive_view_count(&self, node: u64) -> usize {
        let alive = |m: &Members| m.records().any(|r| r.node == node && r.health == Health::Alive);
        self.nodes.values().filter(|m| alive(m)).count()
    }

    /// Returns each pair of running nodes in which the second has no record of the first as alive:
    /// the first, the second, and the health of the second's record, if there is one.
    pub fn missing_alive_views(&self) -> Vec<(u64, u64, Option<Health>)> {
        let nodes: Vec<u64> = self.nodes.values().map(|m| m.local_record().node).collect();
        let mut missing_views = Vec::new();
        for observer in self.nodes.values() {
            let observer_node = observer.local_record().node;
            let health: BTreeMap<u64, Health> =
                observer.records().map(|r| (r.node, r.health)).collect();
            let others = nodes.iter().copied().filter(|&n| n != observer_node);
            let missing = others.filter(|n| health.get(n) != Some(&Health::Alive));
            missing_views.extend(missing.map(|n| (n, observer_node, health.get(&n).copied())));
        }
        missing_views
    }
}
