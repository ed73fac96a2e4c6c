//! One node's view of the fleet's members, maintained by SWIM-style probing.
//!
//! Once per `PROBE_PERIOD`, the node pings one member of its region, in a shuffled order. If no
//! acknowledgement arrives, it sends indirect probes, which are pings by other members on its
//! behalf. If these fail too, it marks the member suspect, and later dead. A few pings go to other
//! regions, but only to disseminate updates: the node never marks a member of another region
//! suspect, so a partition between regions raises no suspicion.

use {
    super::{
        merge::supersedes,
        suspect_queue::SuspectQueue,
        timing::{
            ACK_TIMEOUT, CROSS_REGION_FORWARDERS, CROSS_REGION_PINGS_PER_SECOND, DEAD_RETENTION,
            EXCHANGE_PERIOD, EXCHANGE_TIME_PER_MEMBER, INDIRECT_PROBES, INDIRECT_TIMEOUT,
            ISOLATION_TIMEOUT, JOIN_PERIOD, JOIN_PINGS, JOIN_TIMEOUT, LOAD_REPORT_FANOUT,
            PAUSE_THRESHOLD, PROBE_PERIOD, REJOIN_PERIOD, SUSPECT_CHECK_PERIOD, SUSPICION_TIMEOUT,
            URGENT_FANOUT, URGENT_SEND_PERIOD,
        },
        updates::UpdateQueue,
    },
    crate::{
        schema::{
            Acknowledgement, Health, LimitBatch, LoadReport, MemberRecord, Packet, PacketBody,
            PingRequest, SuspectUpdate,
        },
        tick::Tick,
    },
    rand::{
        Rng, RngExt,
        seq::{IndexedRandom, SliceRandom},
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Target of a ping to an address whose node ID is unknown.
const ANY_NODE: u64 = 0;

/// Maximum number of other members kept; records beyond it are dropped and counted.
const MAX_MEMBERS: usize = 16_384;

/// Input of [`Members::step`].
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// The periodic timer fired; expected every few tens of milliseconds.
    Timer,
    /// A packet arrived from an address.
    Packet(SocketAddr, Packet),
    /// The records of a full exchange arrived.
    Records(Vec<MemberRecord>),
    /// The local record changed; its revision is raised by [`Members::step`].
    LocalRecord(MemberRecord),
    /// What is known of suspected requests changed; all that other nodes need.
    Suspects(Vec<SuspectUpdate>),
    /// The load of the local gate changed enough to send unsolicited load reports.
    Load(LoadReport),
}

/// Action that the caller of [`Members::step`] must carry out.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// Send a packet.
    Send(SocketAddr, Packet),
    /// Fetch all records from a member's control address.
    Exchange(SocketAddr),
    /// A peer's settings differ from the local ones; exchange them over its control address.
    SettingsDiffer(SocketAddr),
    /// Member records changed; rebuild the routing table.
    MembersChanged,
    /// The round-trip time to a member was measured.
    RoundTrip(u64, Duration),
    /// A member reported the load of its gate.
    Load(u64, LoadReport),
    /// A member sent what it knows of suspected requests.
    Suspects(Vec<SuspectUpdate>),
    /// A member sent messages on limits that hold over all nodes.
    Limits(u64, LimitBatch),
}

value! {
    /// Whether a merged record is disseminated by gossip.
    enum Dissemination {
        /// Other members may not have it yet.
        Forward,
        /// Other members have it already.
        Skip,
    }
}

#[derive(Debug)]
struct Member {
    record: MemberRecord,
    /// Time at which the record was stored or its suspicion restarted.
    changed_at: Tick,
}

#[derive(Debug)]
struct Probe {
    target: u64,
    sent_at: Tick,
    /// Whether indirect probes have been sent.
    indirect: bool,
}

/// Ping sent on behalf of another node.
#[derive(Debug)]
struct Relay {
    requester: SocketAddr,
    /// Sequence of the requester, for the acknowledgement.
    sequence: u32,
    sent_at: Tick,
}

/// One node's view of the fleet. [`Members::step`] is the entry point; one task owns it.
#[derive(Debug)]
pub struct Members {
    local: MemberRecord,
    seeds: Vec<SocketAddr>,
    settings_digest: u64,
    others: BTreeMap<u64, Member>,
    updates: UpdateQueue,
    suspects: SuspectQueue,
    probe_order: Vec<u64>,
    sequence: u32,
    probes: HashMap<u32, Probe>,
    relays: HashMap<u32, Relay>,
    last_timer_at: Tick,
    last_packet_at: Tick,
    next_probe_at: Tick,
    next_rejoin_at: Tick,
    has_urgent_update: bool,
    next_urgent_send_at: Tick,
    next_suspects_send_at: Tick,
    next_suspect_check_at: Tick,
    next_anti_entropy_at: Tick,
    last_exchange_at: Option<Tick>,
    started_at: Tick,
    has_exchanged: bool,
    listed_as_seed: bool,
    dropped_records: u64,
}

impl Members {
    /// Creates the view of a node that has no record but its own, and some seed addresses.
    pub fn new(now: Tick, local: MemberRecord, seeds: Vec<SocketAddr>) -> Self {
        let mut updates = UpdateQueue::default();
        updates.push(&local);
        Self {
            seeds,
            settings_digest: 0,
            others: BTreeMap::new(),
            updates,
            suspects: SuspectQueue::default(),
            probe_order: Vec::new(),
            sequence: 0,
            probes: HashMap::new(),
            relays: HashMap::new(),
            last_timer_at: now,
            last_packet_at: now,
            next_probe_at: now,
            next_rejoin_at: now,
            has_urgent_update: false,
            next_urgent_send_at: now,
            next_suspects_send_at: now,
            next_suspect_check_at: now,
            next_anti_entropy_at: now + EXCHANGE_PERIOD,
            last_exchange_at: None,
            started_at: now,
            has_exchanged: false,
            listed_as_seed: false,
            dropped_records: 0,
            local,
        }
    }

    /// Sets the digest of the settings in force, which is sent with each packet. A new digest is sent
    /// to a few members immediately, so that settings spread faster than the periodic pings.
    pub fn set_settings_digest(&mut self, digest: u64) {
        self.has_urgent_update |= self.settings_digest != digest;
        self.settings_digest = digest;
    }

    /// Returns the digest of the settings in force.
    pub fn settings_digest(&self) -> u64 {
        self.settings_digest
    }

    /// Adds seed addresses, such as those listed by the platform.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            // The list counts as complete only once it contains this node; only then can the node
            // conclude that it is alone.
            self.listed_as_seed |= seed == self.local.control;
            if seed != self.local.control && !self.seeds.contains(&seed) {
                self.seeds.push(seed);
                // Ping new seeds at the next timer instead of waiting for the next rejoin period.
                self.next_rejoin_at = self.last_timer_at;
            }
        }
    }

    /// Whether the node has joined the fleet: a full exchange was completed, the seed list shows
    /// that there is no other node, or `JOIN_TIMEOUT` has passed.
    pub fn has_joined(&self, now: Tick) -> bool {
        let alone = self.listed_as_seed && self.seeds.is_empty();
        self.has_exchanged || alone || now.since(self.started_at) >= JOIN_TIMEOUT
    }

    /// Returns the record of this node.
    pub fn local_record(&self) -> &MemberRecord {
        &self.local
    }

    /// Returns the records of all other members, including dead ones.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.others.values().map(|m| &m.record)
    }

    /// Returns the record of this node, then those of all other members that are not dead.
    pub fn live_records(&self) -> impl Iterator<Item = &MemberRecord> {
        let others = self.records().filter(|r| r.health != Health::Dead);
        std::iter::once(&self.local).chain(others)
    }

    /// Returns the number of members that are not dead, including this node.
    pub fn len(&self) -> usize {
        self.live_records().count()
    }

    /// Whether all other members are dead or there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 1
    }

    /// Whether the node has live members and has received nothing from any of them for
    /// `ISOLATION_TIMEOUT`, as in a partition or after a pause.
    pub fn is_isolated(&self, now: Tick) -> bool {
        !self.is_empty() && now.since(self.last_packet_at) >= ISOLATION_TIMEOUT
    }

    /// Returns the number of records dropped because `MAX_MEMBERS` records were stored already.
    pub fn dropped_records(&self) -> u64 {
        self.dropped_records
    }

    /// Returns the number of updates that still have to be disseminated.
    pub fn waiting_updates(&self) -> usize {
        self.updates.len()
    }

    /// Processes an event and returns the resulting actions.
    pub fn step<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        event: MembershipEvent,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        match event {
            MembershipEvent::Timer => self.on_timer(now, rng, &mut actions),
            MembershipEvent::Packet(from, packet) => {
                self.on_packet(now, rng, from, packet, &mut actions);
            }
            MembershipEvent::Records(records) => {
                self.last_exchange_at = Some(now);
                self.has_exchanged = true;
                self.merge_all(now, records, Dissemination::Skip, &mut actions);
            }
            MembershipEvent::LocalRecord(record) => self.update_local_record(record, &mut actions),
            MembershipEvent::Suspects(updates) => self.suspects.set(updates),
            MembershipEvent::Load(report) => self.send_load_report(rng, report, &mut actions),
        }
        invariant!(self.others.len() <= MAX_MEMBERS, "members_bounded");
        actions
    }

    /// Returns the packet that carries messages on limits to a member, with its address; `None` if
    /// the member is not known.
    pub fn limits_packet(&mut self, node: u64, batch: LimitBatch) -> Option<(SocketAddr, Packet)> {
        let address = self.others.get(&node)?.record.control;
        let sequence = self.next_sequence();
        let body = PacketBody::Limits(batch);
        // Without member updates, so that the packet's size depends on the batch alone.
        let (from, settings, updates) = (self.local.node, self.settings_digest, Vec::new());
        Some((address, Packet { from, sequence, settings, body, updates }))
    }

    /// Sends an unsolicited load report to some members of the region.
    fn send_load_report<R: Rng>(
        &mut self,
        rng: &mut R,
        report: LoadReport,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut nearby: Vec<SocketAddr> = self.region_members().map(|r| r.control).collect();
        nearby.shuffle(rng);
        for address in nearby.into_iter().take(LOAD_REPORT_FANOUT) {
            let sequence = self.next_sequence();
            let packet = self.build_packet(sequence, PacketBody::Load(report));
            actions.push(MembershipAction::Send(address, packet));
        }
    }

    fn update_local_record(&mut self, record: MemberRecord, actions: &mut Vec<MembershipAction>) {
        let revision = self.local.revision + 1;
        self.local = MemberRecord { revision, ..record };
        self.updates.push(&self.local);
        self.has_urgent_update |= self.local.health != Health::Alive;
        actions.push(MembershipAction::MembersChanged);
    }

    fn on_timer<R: Rng>(&mut self, now: Tick, rng: &mut R, actions: &mut Vec<MembershipAction>) {
        if now.since(self.last_timer_at) > PAUSE_THRESHOLD {
            self.probes.clear();
            self.restart_suspicions(now);
        }
        self.last_timer_at = now;
        self.check_probes(now, rng, actions);
        if now >= self.next_suspect_check_at {
            self.next_suspect_check_at = now + SUSPECT_CHECK_PERIOD;
            self.check_suspects(now, actions);
        }
        self.relays.retain(|_, r| now.since(r.sent_at) < INDIRECT_TIMEOUT);
        if now >= self.next_probe_at {
            self.next_probe_at = now + PROBE_PERIOD;
            self.probe_next(now, rng, actions);
            self.maybe_ping_other_region(rng, actions);
        }
        if self.has_urgent_update && now >= self.next_urgent_send_at {
            self.send_urgent_updates(now, rng, actions);
        }
        if self.suspects.has_pending(self.others.len() + 1) && now >= self.next_suspects_send_at {
            self.send_suspects(now, rng, actions);
        }
        if now >= self.next_anti_entropy_at {
            self.exchange_with_random_member(now, rng, actions);
        }
        if now >= self.next_rejoin_at {
            let alone = self.is_empty();
            self.next_rejoin_at = now + if alone { JOIN_PERIOD } else { REJOIN_PERIOD };
            let max_seeds = if alone { JOIN_PINGS } else { 1 };
            self.ping_lost_members(rng, max_seeds, actions);
        }
    }

    /// Restarts the timeout of every suspect, because this node may have missed refutations while
    /// it was paused.
    fn restart_suspicions(&mut self, now: Tick) {
        for member in self.others.values_mut() {
            if member.record.health == Health::Suspect {
                member.changed_at = now;
            }
        }
    }

    fn check_probes<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        actions: &mut Vec<MembershipAction>,
    ) {
        let unacknowledged: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, p)| !p.indirect && now.since(p.sent_at) >= ACK_TIMEOUT)
            .map(|(&s, _)| s)
            .collect();
        for sequence in unacknowledged {
            self.send_indirect_probes(sequence, rng, actions);
        }
        let failed: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, p)| now.since(p.sent_at) >= INDIRECT_TIMEOUT)
            .map(|(&s, _)| s)
            .collect();
        for sequence in failed {
            let Some(probe) = self.probes.remove(&sequence) else {
                continue;
            };
            self.suspect(now, probe.target, actions);
        }
    }

    fn send_indirect_probes<R: Rng>(
        &mut self,
        sequence: u32,
        rng: &mut R,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(probe) = self.probes.get_mut(&sequence) else {
            return;
        };
        probe.indirect = true;
        let target = probe.target;
        let Some(address) = self.others.get(&target).map(|m| m.record.control) else {
            return;
        };
        let mut helpers: Vec<SocketAddr> =
            self.region_members().filter(|r| r.node != target).map(|r| r.control).collect();
        helpers.shuffle(rng);
        for helper in helpers.into_iter().take(INDIRECT_PROBES) {
            let body = PacketBody::PingRequest(PingRequest { target, address });
            let packet = self.build_packet(sequence, body);
            actions.push(MembershipAction::Send(helper, packet));
        }
    }

    fn suspect(&mut self, now: Tick, node: u64, actions: &mut Vec<MembershipAction>) {
        let Some(member) = self.others.get(&node) else {
            return;
        };
        if !matches!(member.record.health, Health::Alive | Health::Draining) {
            return;
        }
        let record = MemberRecord { health: Health::Suspect, ..member.record.clone() };
        self.merge(now, record, Dissemination::Forward, actions);
    }

    fn check_suspects(&mut self, now: Tick, actions: &mut Vec<MembershipAction>) {
        let due = |m: &&Member| match m.record.health {
            Health::Suspect => now.since(m.changed_at) >= SUSPICION_TIMEOUT,
            _ => false,
        };
        let dead: Vec<MemberRecord> = self
            .others
            .values()
            .filter(due)
            .map(|m| MemberRecord { health: Health::Dead, ..m.record.clone() })
            .collect();
        for record in dead {
            self.merge(now, record, Dissemination::Forward, actions);
        }
        let expired = |m: &Member| {
            m.record.health == Health::Dead && now.since(m.changed_at) >= DEAD_RETENTION
        };
        self.others.retain(|_, m| !expired(m));
    }

    fn probe_next<R: Rng>(&mut self, now: Tick, rng: &mut R, actions: &mut Vec<MembershipAction>) {
        if self.probe_order.is_empty() {
            self.probe_order = self.region_members().map(|r| r.node).collect();
            self.probe_order.shuffle(rng);
        }
        while let Some(node) = self.probe_order.pop() {
            let Some(member) = self.others.get(&node) else {
                continue;
            };
            if member.record.health == Health::Dead {
                continue;
            }
            let address = member.record.control;
            let sequence = self.next_sequence();
            self.probes.insert(sequence, Probe { target: node, sent_at: now, indirect: false });
            let packet = self.build_packet(sequence, PacketBody::Ping(node));
            actions.push(MembershipAction::Send(address, packet));
            return;
        }
    }

    /// Sends urgent updates (a member that is not alive) to a few members immediately instead of
    /// with the next periodic pings.
    fn send_urgent_updates<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.has_urgent_update = false;
        self.next_urgent_send_at = now + URGENT_SEND_PERIOD;
        let nearby: Vec<(u64, SocketAddr)> =
            self.region_members().map(|r| (r.node, r.control)).collect();
        for _ in 0..URGENT_FANOUT.min(nearby.len()) {
            let (node, address) = nearby[rng.random_range(0..nearby.len())];
            self.ping_untracked(node, address, actions);
        }
        // Each node of the region that sends the update decides at random, so that about
        // `CROSS_REGION_FORWARDERS` of them also send it to another region.
        if rng.random_bool((CROSS_REGION_FORWARDERS / (nearby.len() + 1) as f64).min(1.0)) {
            self.ping_other_region(rng, actions);
        }
    }

    /// Sends what is known of suspected requests to a few members of the region, and sometimes to one of another.
    fn send_suspects<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.next_suspects_send_at = now + URGENT_SEND_PERIOD;
        let fleet_size = self.others.len() + 1;
        let nearby: Vec<SocketAddr> = self.region_members().map(|r| r.control).collect();
        let remote: Vec<SocketAddr> = self
            .records()
            .filter(|r| r.region != self.local.region && r.health != Health::Dead)
            .map(|r| r.control)
            .collect();
        let forwards = (CROSS_REGION_FORWARDERS / (nearby.len() + 1) as f64).min(1.0);
        let mut receivers: Vec<SocketAddr> = nearby.sample(rng, URGENT_FANOUT).copied().collect();
        if rng.random_bool(forwards) {
            receivers.extend(remote.sample(rng, 1).copied());
        }
        for address in receivers {
            let batch = self.suspects.next_batch(fleet_size);
            let sequence = self.next_sequence();
            let packet = self.build_packet(sequence, PacketBody::Suspects(batch));
            actions.push(MembershipAction::Send(address, packet));
        }
    }

    fn maybe_ping_other_region<R: Rng>(
        &mut self,
        rng: &mut R,
        actions: &mut Vec<MembershipAction>,
    ) {
        let nearby = self.region_members().count() + 1;
        let probability =
            CROSS_REGION_PINGS_PER_SECOND * PROBE_PERIOD.as_secs_f64() / nearby as f64;
        if rng.random_bool(probability.min(1.0)) {
            self.ping_other_region(rng, actions);
        }
    }

    fn ping_other_region<R: Rng>(&mut self, rng: &mut R, actions: &mut Vec<MembershipAction>) {
        let remote: Vec<(u64, SocketAddr)> = self
            .records()
            .filter(|r| r.region != self.local.region && r.health != Health::Dead)
            .map(|r| (r.node, r.control))
            .collect();
        if remote.is_empty() {
            return;
        }
        let (node, address) = remote[rng.random_range(0..remote.len())];
        self.ping_untracked(node, address, actions);
    }

    /// Pings one dead member and up to `max_seeds` seeds that are not live members.
    fn ping_lost_members<R: Rng>(
        &mut self,
        rng: &mut R,
        max_seeds: usize,
        actions: &mut Vec<MembershipAction>,
    ) {
        let dead: Vec<(u64, SocketAddr)> = self
            .records()
            .filter(|r| r.health == Health::Dead)
            .map(|r| (r.node, r.control))
            .collect();
        if !dead.is_empty() {
            let (node, address) = dead[rng.random_range(0..dead.len())];
            self.ping_dead(node, address, actions);
        }
        let known: Vec<SocketAddr> = self.live_records().map(|r| r.control).collect();
        let mut lost: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|s| !known.contains(s)).collect();
        lost.shuffle(rng);
        for seed in lost.into_iter().take(max_seeds) {
            self.ping_untracked(ANY_NODE, seed, actions);
        }
    }

    fn ping_untracked(
        &mut self,
        node: u64,
        address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        let sequence = self.next_sequence();
        let packet = self.build_packet(sequence, PacketBody::Ping(node));
        actions.push(MembershipAction::Send(address, packet));
    }

    /// Pings a member that is marked dead and includes the record that it has to refute.
    fn ping_dead(&mut self, node: u64, address: SocketAddr, actions: &mut Vec<MembershipAction>) {
        let sequence = self.next_sequence();
        let mut packet = self.build_packet(sequence, PacketBody::Ping(node));
        let record = self.others.get(&node).map(|m| m.record.clone());
        packet.updates.extend(record);
        actions.push(MembershipAction::Send(address, packet));
    }

    /// Repairs the record of a packet's sender if gossip missed it: an unknown sender triggers a
    /// full exchange, and a sender that is marked dead is pinged with the record that it has to
    /// refute.
    fn repair_sender(
        &mut self,
        now: Tick,
        node: u64,
        address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        match self.others.get(&node).map(|m| m.record.health) {
            None => self.exchange(now, address, actions),
            Some(Health::Dead) => self.ping_dead(node, address, actions),
            Some(_) => {}
        }
    }

    /// Periodically fetches all records from a random member (anti-entropy), to pick up what gossip
    /// missed.
    fn exchange_with_random_member<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        actions: &mut Vec<MembershipAction>,
    ) {
        let others: Vec<SocketAddr> = self.live_records().skip(1).map(|r| r.control).collect();
        let period = (EXCHANGE_TIME_PER_MEMBER * others.len() as u32).max(EXCHANGE_PERIOD * 2);
        let jitter: f64 = rng.random_range(0.5..1.5);
        self.next_anti_entropy_at = now + period.mul_f64(jitter);
        if !others.is_empty() {
            let from = others[rng.random_range(0..others.len())];
            self.exchange(now, from, actions);
        }
    }

    fn exchange(&mut self, now: Tick, from: SocketAddr, actions: &mut Vec<MembershipAction>) {
        if self.last_exchange_at.is_some_and(|at| now.since(at) < EXCHANGE_PERIOD) {
            return;
        }
        self.last_exchange_at = Some(now);
        actions.push(MembershipAction::Exchange(from));
    }

    fn on_packet<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        from: SocketAddr,
        packet: Packet,
        actions: &mut Vec<MembershipAction>,
    ) {
        if packet.from == self.local.node {
            return;
        }
        self.last_packet_at = now;
        if packet.settings != self.settings_digest {
            // Both the ping and its acknowledgement carry the digest and would start an exchange; a
            // random choice starts one of the two on average.
            if rng.random_bool(0.5) {
                actions.push(MembershipAction::SettingsDiffer(from));
            }
        }
        let sequence = packet.sequence;
        self.merge_all(now, packet.updates, Dissemination::Forward, actions);
        self.repair_sender(now, packet.from, from, actions);
        match packet.body {
            PacketBody::Ping(target) => self.acknowledge_ping(from, sequence, target, actions),
            PacketBody::PingRequest(req) => self.relay_ping(now, from, sequence, &req, actions),
            PacketBody::Ack(ack) => self.on_acknowledgement(now, sequence, &ack, from, actions),
            PacketBody::Load(report) => actions.push(MembershipAction::Load(packet.from, report)),
            PacketBody::Suspects(updates) => actions.push(MembershipAction::Suspects(updates)),
            PacketBody::Limits(batch) => actions.push(MembershipAction::Limits(packet.from, batch)),
        }
    }

    fn acknowledge_ping(
        &mut self,
        from: SocketAddr,
        sequence: u32,
        target: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        if target == ANY_NODE {
            self.updates.push(&self.local);
        }
        let ack = Acknowledgement { target, responder: self.local.node };
        let packet = self.build_packet(sequence, PacketBody::Ack(ack));
        actions.push(MembershipAction::Send(from, packet));
    }

    fn relay_ping(
        &mut self,
        now: Tick,
        requester: SocketAddr,
        sequence: u32,
        req: &PingRequest,
        actions: &mut Vec<MembershipAction>,
    ) {
        let relay_sequence = self.next_sequence();
        self.relays.insert(relay_sequence, Relay { requester, sequence, sent_at: now });
        let packet = self.build_packet(relay_sequence, PacketBody::Ping(req.target));
        actions.push(MembershipAction::Send(req.address, packet));
    }

    fn on_acknowledgement(
        &mut self,
        now: Tick,
        sequence: u32,
        ack: &Acknowledgement,
        from: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(relay) = self.relays.remove(&sequence) {
            let packet = self.build_packet(relay.sequence, PacketBody::Ack(ack.clone()));
            actions.push(MembershipAction::Send(relay.requester, packet));
            return;
        }
        if ack.target == ANY_NODE {
            self.exchange(now, from, actions);
            return;
        }
        let probe = self.probes.remove(&sequence);
        if ack.responder != ack.target {
            // Another incarnation of the process responds at the target's address, so the target is
            // dead.
            if let Some(member) = self.others.get(&ack.target) {
                let record = MemberRecord { health: Health::Dead, ..member.record.clone() };
                self.merge(now, record, Dissemination::Forward, actions);
            }
            return;
        }
        if let Some(probe) = probe
            && probe.target == ack.responder
            && !probe.indirect
        {
            let round_trip = now.since(probe.sent_at);
            actions.push(MembershipAction::RoundTrip(probe.target, round_trip));
        }
    }

    fn merge_all(
        &mut self,
        now: Tick,
        records: Vec<MemberRecord>,
        dissemination: Dissemination,
        actions: &mut Vec<MembershipAction>,
    ) {
        for record in records {
            self.merge(now, record, dissemination, actions);
        }
    }

    fn merge(
        &mut self,
        now: Tick,
        record: MemberRecord,
        dissemination: Dissemination,
        actions: &mut Vec<MembershipAction>,
    ) {
        if record.node == self.local.node {
            self.refute(&record);
            return;
        }
        let node = record.node;
        let known = self.others.get(&node);
        let newer = known.is_none_or(|m| supersedes(&record, &m.record));
        // A dead member without a record here needs none.
        let irrelevant = known.is_none() && record.health == Health::Dead;
        if !newer || irrelevant {
            return;
        }
        if known.is_none() && self.others.len() >= MAX_MEMBERS {
            self.dropped_records += 1;
            return;
        }
        if let Some(known) = known {
            invariant!(record.revision >= known.record.revision, "member_revision_never_falls");
            log_health_change(&known.record, &record);
        }
        let revived = known.is_some_and(|m| m.record.health == Health::Dead);
        if revived && record.health == Health::Alive {
            // A partition has healed: each side missed updates of the other.
            self.exchange(now, record.control, actions);
        }
        if dissemination == Dissemination::Forward {
            self.updates.push(&record);
            self.has_urgent_update |= record.health != Health::Alive;
        }
        self.others.insert(node, Member { record, changed_at: now });
        if !actions.iter().any(|a| matches!(a, MembershipAction::MembersChanged)) {
            actions.push(MembershipAction::MembersChanged);
        }
    }

    /// Refutes a record of this node that another member sent: if it supersedes the local record,
    /// the local revision is raised above it.
    fn refute(&mut self, record: &MemberRecord) {
        if supersedes(record, &self.local) {
            self.local.revision = record.revision + 1;
            self.updates.push(&self.local);
        }
    }

    fn region_members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|r| r.region == self.local.region && r.health != Health::Dead)
    }

    fn build_packet(&mut self, sequence: u32, body: PacketBody) -> Packet {
        let fleet_size = self.others.len() + 1;
        let (local, others) = (&self.local, &self.others);
        let updates = self.updates.next_batch(fleet_size, |node| {
            let known = || others.get(&node).map(|m| m.record.clone());
            if node == local.node { Some(local.clone()) } else { known() }
        });
        Packet { from: self.local.node, sequence, settings: self.settings_digest, body, updates }
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}

/// Logs a change of a member's health, as other tasks choose owners and upstreams by it.
fn log_health_change(known: &MemberRecord, new: &MemberRecord) {
    if known.health != new.health {
        log::info!(
            target: "membership", node = format!("{:016x}", new.node).as_str(),
            control = new.control.to_string().as_str(), from = known.health.to_string().as_str(),
            to = new.health.to_string().as_str(), revision = new.revision;
            "health of the member changed"
        );
    }
}
