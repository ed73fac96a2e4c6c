//! The members as one node knows them, kept by SWIM-style probing.
//!
//! Every period the node pings one member of its region in a shuffled order. Without an acknowledgement it
//! asks others to ping for it, then suspects the member, then takes it for dead. A few pings go to other
//! regions, only to pass updates on: a parted region is not suspected.

use {
    super::{
        merge::supersedes,
        timing::{
            ACK_TIMEOUT, CROSS_REGION_PINGS_PER_SECOND, CROSS_REGION_SPREADERS, EXCHANGE_PERIOD,
            EXCHANGE_TIME_PER_MEMBER, INDIRECT_PROBES, INDIRECT_TIMEOUT, JOIN_PERIOD, JOIN_PINGS,
            JOIN_TIMEOUT, KEEP_DEAD, LOAD_FANOUT, PAUSE, PROBE_PERIOD, REJOIN_PERIOD,
            SPREAD_FANOUT, SPREAD_PERIOD, SUSPECTS_PERIOD, SUSPICION,
        },
        updates::Updates,
    },
    crate::{
        schema::{
            Acknowledgement, Health, LoadReport, MemberRecord, Packet, PacketBody, PingRequest,
        },
        tick::Tick,
    },
    rand::{Rng, RngExt, seq::SliceRandom},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Target of a ping to an address whose node is not known.
const ANY_NODE: u64 = 0;

/// Members held at most; records beyond are dropped and counted.
const MAX_MEMBERS: usize = 16_384;

/// What happened to the membership.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// The timer that is due every few tens of milliseconds.
    Timer,
    /// A packet came from an address.
    Packet(SocketAddr, Packet),
    /// Records of a full exchange came.
    Records(Vec<MemberRecord>),
    /// The node's own record changed; its revision is raised here.
    LocalRecord(MemberRecord),
    /// The load of the node's gate changed in a way that others should hear of at once.
    Load(LoadReport),
}

/// What the driver must do.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// Send a packet.
    Send(SocketAddr, Packet),
    /// Fetch all records from a member's control address.
    Exchange(SocketAddr),
    /// A peer's settings differ from the node's; exchange them over its control address.
    SettingsDiffer(SocketAddr),
    /// Members changed; build the routing table anew.
    MembersChanged,
    /// A round trip to a member was measured.
    RoundTrip(u64, Duration),
    /// A member told the load of its gate.
    Load(u64, LoadReport),
}

value! {
    /// Whether news is passed on by gossip.
    enum Spread {
        /// It is news to the fleet.
        PassOn,
        /// The fleet knows it already.
        Keep,
    }
}

#[derive(Debug)]
struct Member {
    record: MemberRecord,
    changed_at: Tick,
}

#[derive(Debug)]
struct Probe {
    target: u64,
    sent_at: Tick,
    indirect: bool,
}

#[derive(Debug)]
struct Relay {
    asker: SocketAddr,
    sequence: u32,
    sent_at: Tick,
}

/// The members. [`Members::step`] is the entry point; one task owns it.
#[derive(Debug)]
pub struct Members {
    own: MemberRecord,
    seeds: Vec<SocketAddr>,
    settings_digest: u64,
    known: BTreeMap<u64, Member>,
    updates: Updates,
    order: Vec<u64>,
    sequence: u32,
    probes: HashMap<u32, Probe>,
    relays: HashMap<u32, Relay>,
    timer_at: Tick,
    probe_at: Tick,
    rejoin_at: Tick,
    has_urgent_news: bool,
    spread_at: Tick,
    suspects_at: Tick,
    anti_entropy_at: Tick,
    exchanged_at: Option<Tick>,
    started_at: Tick,
    has_records: bool,
    seeds_asked: bool,
    dropped_records: u64,
}

impl Members {
    /// A fleet of which only the node itself and some seed addresses are known.
    pub fn new(now: Tick, own: MemberRecord, seeds: Vec<SocketAddr>) -> Self {
        let mut updates = Updates::default();
        updates.push(&own);
        Self {
            seeds,
            settings_digest: 0,
            known: BTreeMap::new(),
            updates,
            order: Vec::new(),
            sequence: 0,
            probes: HashMap::new(),
            relays: HashMap::new(),
            timer_at: now,
            probe_at: now,
            rejoin_at: now,
            has_urgent_news: false,
            spread_at: now,
            suspects_at: now,
            anti_entropy_at: now + EXCHANGE_PERIOD,
            exchanged_at: None,
            started_at: now,
            has_records: false,
            seeds_asked: false,
            dropped_records: 0,
            own,
        }
    }

    /// Sets the digest of the settings that the node holds, sent with each packet.
    pub fn set_settings_digest(&mut self, digest: u64) {
        self.settings_digest = digest;
    }

    /// Adds seed addresses, as those that the platform names.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            // Only a node that sees itself named can tell that nobody else is.
            self.seeds_asked |= seed == self.own.control;
            if seed != self.own.control && !self.seeds.contains(&seed) {
                self.seeds.push(seed);
                // The next timer asks them, rather than the next period.
                self.rejoin_at = self.timer_at;
            }
        }
    }

    /// Whether the node knows the fleet: it has had a full exchange, or there is nobody to have it with.
    pub fn has_joined(&self, now: Tick) -> bool {
        let alone = self.seeds_asked && self.seeds.is_empty();
        self.has_records || alone || now.since(self.started_at) >= JOIN_TIMEOUT
    }

    /// The node's own record.
    pub fn local_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Records of all other members, dead ones included.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.known.values().map(|m| &m.record)
    }

    /// Records of the node itself and of all others that are not dead.
    pub fn live_records(&self) -> impl Iterator<Item = &MemberRecord> {
        let others = self.records().filter(|r| r.health != Health::Dead);
        std::iter::once(&self.own).chain(others)
    }

    /// Living members, the node itself included.
    pub fn len(&self) -> usize {
        self.live_records().count()
    }

    /// Whether the node knows no other.
    pub fn is_empty(&self) -> bool {
        self.len() == 1
    }

    /// Records dropped because the fleet was larger than is held.
    pub fn dropped_records(&self) -> u64 {
        self.dropped_records
    }

    /// Updates that still have to be passed on.
    pub fn waiting_updates(&self) -> usize {
        self.updates.len()
    }

    /// Takes an event and gives the actions that follow.
    pub fn step<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        event: MembershipEvent,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        match event {
            MembershipEvent::Timer => self.timer(now, rng, &mut actions),
            MembershipEvent::Packet(from, packet) => {
                self.packet(now, rng, from, packet, &mut actions);
            }
            MembershipEvent::Records(records) => {
                self.exchanged_at = Some(now);
                self.has_records = true;
                self.merge_all(now, records, Spread::Keep, &mut actions);
            }
            MembershipEvent::LocalRecord(record) => self.own_changed(record, &mut actions),
            MembershipEvent::Load(report) => self.tell_load(rng, report, &mut actions),
        }
        invariant!(self.known.len() <= MAX_MEMBERS, "members_bounded");
        actions
    }

    /// Tells some members of the region the load of the node's gate.
    fn tell_load<R: Rng>(
        &mut self,
        rng: &mut R,
        report: LoadReport,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut near: Vec<SocketAddr> = self.neighbours().map(|r| r.control).collect();
        near.shuffle(rng);
        for address in near.into_iter().take(LOAD_FANOUT) {
            let sequence = self.next_sequence();
            let packet = self.compose(sequence, PacketBody::Load(report));
            actions.push(MembershipAction::Send(address, packet));
        }
    }

    fn own_changed(&mut self, record: MemberRecord, actions: &mut Vec<MembershipAction>) {
        let revision = self.own.revision + 1;
        self.own = MemberRecord { revision, ..record };
        self.updates.push(&self.own);
        self.has_urgent_news |= self.own.health != Health::Alive;
        actions.push(MembershipAction::MembersChanged);
    }

    fn timer<R: Rng>(&mut self, now: Tick, rng: &mut R, actions: &mut Vec<MembershipAction>) {
        if now.since(self.timer_at) > PAUSE {
            self.probes.clear();
            self.delay_suspicions(now);
        }
        self.timer_at = now;
        self.check_probes(now, rng, actions);
        if now >= self.suspects_at {
            self.suspects_at = now + SUSPECTS_PERIOD;
            self.check_suspects(now, actions);
        }
        self.relays.retain(|_, r| now.since(r.sent_at) < INDIRECT_TIMEOUT);
        if now >= self.probe_at {
            self.probe_at = now + PROBE_PERIOD;
            self.probe_next(now, rng, actions);
            self.probe_other_region(rng, actions);
        }
        if self.has_urgent_news && now >= self.spread_at {
            self.spread_news(now, rng, actions);
        }
        if now >= self.anti_entropy_at {
            self.exchange_with_anyone(now, rng, actions);
        }
        if now >= self.rejoin_at {
            let alone = self.is_empty();
            self.rejoin_at = now + if alone { JOIN_PERIOD } else { REJOIN_PERIOD };
            let seeds = if alone { JOIN_PINGS } else { 1 };
            self.probe_lost(rng, seeds, actions);
        }
    }

    /// After a pause the node has missed refutations; suspects get their full time again.
    fn delay_suspicions(&mut self, now: Tick) {
        for member in self.known.values_mut() {
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
        let late: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, p)| !p.indirect && now.since(p.sent_at) >= ACK_TIMEOUT)
            .map(|(&s, _)| s)
            .collect();
        for sequence in late {
            self.probe_through_others(sequence, rng, actions);
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

    fn probe_through_others<R: Rng>(
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
        let Some(address) = self.known.get(&target).map(|m| m.record.control) else {
            return;
        };
        let mut helpers: Vec<SocketAddr> =
            self.neighbours().filter(|r| r.node != target).map(|r| r.control).collect();
        helpers.shuffle(rng);
        for helper in helpers.into_iter().take(INDIRECT_PROBES) {
            let body = PacketBody::PingRequest(PingRequest { target, address });
            let packet = self.compose(sequence, body);
            actions.push(MembershipAction::Send(helper, packet));
        }
    }

    fn suspect(&mut self, now: Tick, node: u64, actions: &mut Vec<MembershipAction>) {
        let Some(member) = self.known.get(&node) else {
            return;
        };
        if !matches!(member.record.health, Health::Alive | Health::Draining) {
            return;
        }
        let record = MemberRecord { health: Health::Suspect, ..member.record.clone() };
        self.merge(now, record, Spread::PassOn, actions);
    }

    fn check_suspects(&mut self, now: Tick, actions: &mut Vec<MembershipAction>) {
        let due = |m: &&Member| match m.record.health {
            Health::Suspect => now.since(m.changed_at) >= SUSPICION,
            _ => false,
        };
        let dead: Vec<MemberRecord> = self
            .known
            .values()
            .filter(due)
            .map(|m| MemberRecord { health: Health::Dead, ..m.record.clone() })
            .collect();
        for record in dead {
            self.merge(now, record, Spread::PassOn, actions);
        }
        let forgettable =
            |m: &Member| m.record.health == Health::Dead && now.since(m.changed_at) >= KEEP_DEAD;
        self.known.retain(|_, m| !forgettable(m));
    }

    fn probe_next<R: Rng>(&mut self, now: Tick, rng: &mut R, actions: &mut Vec<MembershipAction>) {
        if self.order.is_empty() {
            self.order = self.neighbours().map(|r| r.node).collect();
            self.order.shuffle(rng);
        }
        while let Some(node) = self.order.pop() {
            let Some(member) = self.known.get(&node) else {
                continue;
            };
            if member.record.health == Health::Dead {
                continue;
            }
            let address = member.record.control;
            let sequence = self.next_sequence();
            self.probes.insert(sequence, Probe { target: node, sent_at: now, indirect: false });
            let packet = self.compose(sequence, PacketBody::Ping(node));
            actions.push(MembershipAction::Send(address, packet));
            return;
        }
    }

    /// Tells a few members at once that some member takes no more work, rather than with the next pings.
    fn spread_news<R: Rng>(&mut self, now: Tick, rng: &mut R, actions: &mut Vec<MembershipAction>) {
        self.has_urgent_news = false;
        self.spread_at = now + SPREAD_PERIOD;
        let near: Vec<(u64, SocketAddr)> = self.neighbours().map(|r| (r.node, r.control)).collect();
        for _ in 0..SPREAD_FANOUT.min(near.len()) {
            let (node, address) = near[rng.random_range(0..near.len())];
            self.ping_unwatched(node, address, actions);
        }
        // A few of the nodes that hear of it tell other regions.
        if rng.random_bool((CROSS_REGION_SPREADERS / (near.len() + 1) as f64).min(1.0)) {
            self.ping_other_region(rng, actions);
        }
    }

    fn probe_other_region<R: Rng>(&mut self, rng: &mut R, actions: &mut Vec<MembershipAction>) {
        let near = self.neighbours().count() + 1;
        let share = CROSS_REGION_PINGS_PER_SECOND * PROBE_PERIOD.as_secs_f64() / near as f64;
        if rng.random_bool(share.min(1.0)) {
            self.ping_other_region(rng, actions);
        }
    }

    fn ping_other_region<R: Rng>(&mut self, rng: &mut R, actions: &mut Vec<MembershipAction>) {
        let far: Vec<(u64, SocketAddr)> = self
            .records()
            .filter(|r| r.region != self.own.region && r.health != Health::Dead)
            .map(|r| (r.node, r.control))
            .collect();
        if far.is_empty() {
            return;
        }
        let (node, address) = far[rng.random_range(0..far.len())];
        self.ping_unwatched(node, address, actions);
    }

    fn probe_lost<R: Rng>(
        &mut self,
        rng: &mut R,
        seeds: usize,
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
        for seed in lost.into_iter().take(seeds) {
            self.ping_unwatched(ANY_NODE, seed, actions);
        }
    }

    fn ping_unwatched(
        &mut self,
        node: u64,
        address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        let sequence = self.next_sequence();
        let packet = self.compose(sequence, PacketBody::Ping(node));
        actions.push(MembershipAction::Send(address, packet));
    }

    /// Pings a member taken for dead with the record it must refute.
    fn ping_dead(&mut self, node: u64, address: SocketAddr, actions: &mut Vec<MembershipAction>) {
        let sequence = self.next_sequence();
        let mut packet = self.compose(sequence, PacketBody::Ping(node));
        let record = self.known.get(&node).map(|m| m.record.clone());
        packet.updates.extend(record);
        actions.push(MembershipAction::Send(address, packet));
    }

    /// Repairs what gossip missed about the sender of a packet.
    fn meet(
        &mut self,
        now: Tick,
        node: u64,
        address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        match self.known.get(&node).map(|m| m.record.health) {
            None => self.exchange(now, address, actions),
            Some(Health::Dead) => self.ping_dead(node, address, actions),
            Some(_) => {}
        }
    }

    /// Now and then compares all records with one member, for what gossip missed.
    fn exchange_with_anyone<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        actions: &mut Vec<MembershipAction>,
    ) {
        let others: Vec<SocketAddr> = self.live_records().skip(1).map(|r| r.control).collect();
        let period = (EXCHANGE_TIME_PER_MEMBER * others.len() as u32).max(EXCHANGE_PERIOD * 2);
        let jitter: f64 = rng.random_range(0.5..1.5);
        self.anti_entropy_at = now + period.mul_f64(jitter);
        if !others.is_empty() {
            let from = others[rng.random_range(0..others.len())];
            self.exchange(now, from, actions);
        }
    }

    fn exchange(&mut self, now: Tick, from: SocketAddr, actions: &mut Vec<MembershipAction>) {
        if self.exchanged_at.is_some_and(|at| now.since(at) < EXCHANGE_PERIOD) {
            return;
        }
        self.exchanged_at = Some(now);
        actions.push(MembershipAction::Exchange(from));
    }

    fn packet<R: Rng>(
        &mut self,
        now: Tick,
        rng: &mut R,
        from: SocketAddr,
        packet: Packet,
        actions: &mut Vec<MembershipAction>,
    ) {
        if packet.from == self.own.node {
            return;
        }
        if packet.settings != self.settings_digest {
            // A ping and its acknowledgement would both start an exchange; a coin keeps one of two.
            if rng.random_bool(0.5) {
                actions.push(MembershipAction::SettingsDiffer(from));
            }
        }
        let sequence = packet.sequence;
        self.merge_all(now, packet.updates, Spread::PassOn, actions);
        self.meet(now, packet.from, from, actions);
        match packet.body {
            PacketBody::Ping(target) => self.answer_ping(from, sequence, target, actions),
            PacketBody::PingRequest(req) => self.relay_ping(now, from, sequence, &req, actions),
            PacketBody::Ack(ack) => self.acknowledged(now, sequence, &ack, from, actions),
            PacketBody::Load(report) => actions.push(MembershipAction::Load(packet.from, report)),
        }
    }

    fn answer_ping(
        &mut self,
        from: SocketAddr,
        sequence: u32,
        target: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        if target == ANY_NODE {
            self.updates.push(&self.own);
        }
        let ack = Acknowledgement { target, responder: self.own.node };
        let packet = self.compose(sequence, PacketBody::Ack(ack));
        actions.push(MembershipAction::Send(from, packet));
    }

    fn relay_ping(
        &mut self,
        now: Tick,
        asker: SocketAddr,
        sequence: u32,
        req: &PingRequest,
        actions: &mut Vec<MembershipAction>,
    ) {
        let own_sequence = self.next_sequence();
        self.relays.insert(own_sequence, Relay { asker, sequence, sent_at: now });
        let packet = self.compose(own_sequence, PacketBody::Ping(req.target));
        actions.push(MembershipAction::Send(req.address, packet));
    }

    fn acknowledged(
        &mut self,
        now: Tick,
        sequence: u32,
        ack: &Acknowledgement,
        from: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(relay) = self.relays.remove(&sequence) {
            let packet = self.compose(relay.sequence, PacketBody::Ack(ack.clone()));
            actions.push(MembershipAction::Send(relay.asker, packet));
            return;
        }
        if ack.target == ANY_NODE {
            self.exchange(now, from, actions);
            return;
        }
        let probe = self.probes.remove(&sequence);
        if ack.responder != ack.target {
            // Another run of the process answers at the target's address: the target is gone.
            if let Some(member) = self.known.get(&ack.target) {
                let record = MemberRecord { health: Health::Dead, ..member.record.clone() };
                self.merge(now, record, Spread::PassOn, actions);
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
        spread: Spread,
        actions: &mut Vec<MembershipAction>,
    ) {
        for record in records {
            self.merge(now, record, spread, actions);
        }
    }

    fn merge(
        &mut self,
        now: Tick,
        record: MemberRecord,
        spread: Spread,
        actions: &mut Vec<MembershipAction>,
    ) {
        if record.node == self.own.node {
            self.refute(&record);
            return;
        }
        let node = record.node;
        let known = self.known.get(&node);
        let newer = known.is_none_or(|m| supersedes(&record, &m.record));
        // A death of which nothing else is known is no news.
        let irrelevant = known.is_none() && record.health == Health::Dead;
        if !newer || irrelevant {
            return;
        }
        if known.is_none() && self.known.len() >= MAX_MEMBERS {
            self.dropped_records += 1;
            return;
        }
        if let Some(known) = known {
            invariant!(record.revision >= known.record.revision, "member_revision_never_falls");
        }
        let revived = known.is_some_and(|m| m.record.health == Health::Dead);
        if revived && record.health == Health::Alive {
            // The end of a parting: each side missed what the other did.
            self.exchange(now, record.control, actions);
        }
        if spread == Spread::PassOn {
            self.updates.push(&record);
            self.has_urgent_news |= record.health != Health::Alive;
        }
        self.known.insert(node, Member { record, changed_at: now });
        if !actions.iter().any(|a| matches!(a, MembershipAction::MembersChanged)) {
            actions.push(MembershipAction::MembersChanged);
        }
    }

    /// Others hold a record of this node that is not its own: outbid it.
    fn refute(&mut self, record: &MemberRecord) {
        if supersedes(record, &self.own) {
            self.own.revision = record.revision + 1;
            self.updates.push(&self.own);
        }
    }

    fn neighbours(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|r| r.region == self.own.region && r.health != Health::Dead)
    }

    fn compose(&mut self, sequence: u32, body: PacketBody) -> Packet {
        let size = self.known.len() + 1;
        let (own, others) = (&self.own, &self.known);
        let updates = self.updates.take(size, |node| {
            let known = || others.get(&node).map(|m| m.record.clone());
            if node == own.node { Some(own.clone()) } else { known() }
        });
        Packet { from: self.own.node, sequence, settings: self.settings_digest, body, updates }
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}
