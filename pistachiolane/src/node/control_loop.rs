//! The task that owns membership and settings; others talk to it through a handle.

use {
    super::{control_client, gossip_socket::GossipSocket, shared::Shared},
    crate::{
        config::{Applied, Holder},
        limits::WATCHERS_PER_REGION,
        membership::{Members, MembershipAction, MembershipEvent},
        routing::RoutingTable,
        schema::{
            ExchangeReply, Health, LoadReport, MemberRecord, Packet, Placement, Subtree,
            SubtreeVersion,
        },
    },
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{MissedTickBehavior, interval},
    },
};

/// Time between two timers of the membership.
const TIMER_INTERVAL: Duration = Duration::from_millis(20);

/// Commands that may wait for the loop.
const MAX_COMMANDS: usize = 4_096;

/// Members and settings at one moment, for the dump.
#[derive(Clone, Debug)]
pub struct ControlSnapshot {
    /// All member records, the node's own first.
    pub members: Vec<MemberRecord>,
    /// Settings held.
    pub subtrees: Vec<Subtree>,
    /// Member updates that still have to be passed on.
    pub waiting_updates: usize,
    /// Member records dropped because the fleet is larger than is held.
    pub dropped_records: u64,
}

#[derive(Debug)]
enum Command {
    Packet(SocketAddr, Packet),
    Records(Vec<MemberRecord>),
    Exchange(Vec<SubtreeVersion>, oneshot::Sender<ExchangeReply>),
    Apply(Vec<Subtree>, &'static str, oneshot::Sender<()>),
    Subtrees(Vec<Arc<str>>, oneshot::Sender<Vec<Subtree>>),
    Version(Arc<str>, oneshot::Sender<u64>),
    Snapshot(oneshot::Sender<ControlSnapshot>),
    Seeds(Vec<SocketAddr>),
    Placement(Vec<Placement>, Health),
}

/// Handle to the control loop.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    commands: mpsc::Sender<Command>,
}

/// The loop's state.
#[derive(Debug)]
pub struct ControlLoop {
    shared: Arc<Shared>,
    socket: Arc<GossipSocket>,
    handle: ControlHandle,
    commands: mpsc::Receiver<Command>,
    members: Members,
    holder: Holder,
    changed: bool,
    exchanging: Arc<AtomicBool>,
}

impl ControlHandle {
    async fn request<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        answer.await.ok()
    }

    async fn send(&self, command: Command) {
        // The loop lives as long as the node.
        let _closed = self.commands.send(command).await;
    }

    /// Hands over a gossip packet; it is dropped when the loop is far behind.
    pub fn handle_packet(&self, from: SocketAddr, packet: Packet) {
        let _full = self.commands.try_send(Command::Packet(from, packet));
    }

    /// Hands over records of a full exchange.
    pub async fn merge_records(&self, records: Vec<MemberRecord>) {
        self.send(Command::Records(records)).await;
    }

    /// All member records.
    pub async fn members(&self) -> Vec<MemberRecord> {
        self.snapshot().await.map(|s| s.members).unwrap_or_default()
    }

    /// Answers a peer's settings exchange.
    pub async fn exchange(&self, versions: Vec<SubtreeVersion>) -> ExchangeReply {
        let empty = ExchangeReply { newer: Vec::new(), wanted: Vec::new() };
        self.request(|reply| Command::Exchange(versions, reply)).await.unwrap_or(empty)
    }

    /// Puts those subtrees in force that are newer than what is held; `source` is for the log.
    pub async fn apply(&self, subtrees: Vec<Subtree>, source: &'static str) {
        self.request(|reply| Command::Apply(subtrees, source, reply)).await;
    }

    /// Those of the named subtrees that are held.
    pub async fn subtrees(&self, names: Vec<Arc<str>>) -> Vec<Subtree> {
        self.request(|reply| Command::Subtrees(names, reply)).await.unwrap_or_default()
    }

    /// Version held of a subtree, zero if none.
    pub async fn subtree_version(&self, name: Arc<str>) -> u64 {
        self.request(|reply| Command::Version(name, reply)).await.unwrap_or(0)
    }

    /// Members and settings at this moment.
    pub async fn snapshot(&self) -> Option<ControlSnapshot> {
        self.request(Command::Snapshot).await
    }

    /// Adds addresses of nodes to join.
    pub async fn add_seeds(&self, seeds: Vec<SocketAddr>) {
        self.send(Command::Seeds(seeds)).await;
    }

    /// Announces the upstream beside the node and whether it takes work.
    pub async fn set_placement(&self, upstreams: Vec<Placement>, health: Health) {
        self.send(Command::Placement(upstreams, health)).await;
    }
}

impl ControlLoop {
    /// A loop that has not begun, and the handle to it.
    pub fn new(shared: Arc<Shared>, socket: Arc<GossipSocket>) -> (Self, ControlHandle) {
        let (tx, commands) = mpsc::channel(MAX_COMMANDS);
        let handle = ControlHandle { commands: tx };
        let seeds = shared.settings.seeds.clone();
        let members = Members::new(shared.now(), shared.initial_record(), seeds);
        let control = Self {
            shared,
            socket,
            handle: handle.clone(),
            commands,
            members,
            holder: Holder::default(),
            changed: true,
            exchanging: Arc::default(),
        };
        (control, handle)
    }

    /// Runs until the node ends.
    pub async fn run(mut self) {
        let mut timer = interval(TIMER_INTERVAL);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.members.set_settings_digest(self.holder.digest());
        let shared = Arc::clone(&self.shared);
        loop {
            tokio::select! {
                _tick = timer.tick() => {
                    self.step(MembershipEvent::Timer);
                    self.rebuild();
                    let joined = self.members.has_joined(self.shared.now());
                    self.shared.has_joined.store(joined, Ordering::Relaxed);
                }
                () = shared.unsolicited_report.notified() => {
                    let report = self.shared.admission.gate.next_load_report(self.shared.now());
                    self.step(MembershipEvent::Load(report));
                }
                command = self.commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
            }
        }
    }

    fn command(&mut self, command: Command) {
        // A reply that nobody waits for any more is dropped.
        match command {
            Command::Packet(from, packet) => self.step(MembershipEvent::Packet(from, packet)),
            Command::Records(records) => self.step(MembershipEvent::Records(records)),
            Command::Exchange(versions, reply) => {
                let _gone = reply.send(self.holder.exchange(&versions));
            }
            Command::Apply(subtrees, source, reply) => {
                self.apply(subtrees, source);
                let _gone = reply.send(());
            }
            Command::Subtrees(names, reply) => {
                let _gone = reply.send(self.holder.copies(&names));
            }
            Command::Version(name, reply) => {
                let _gone = reply.send(self.holder.version(&name));
            }
            Command::Snapshot(reply) => {
                let _gone = reply.send(self.snapshot());
            }
            Command::Seeds(seeds) => self.members.add_seeds(seeds),
            Command::Placement(upstreams, health) => {
                let own = MemberRecord { upstreams, health, ..self.members.own().clone() };
                self.step(MembershipEvent::Own(own));
                self.rebuild();
            }
        }
    }

    fn step(&mut self, event: MembershipEvent) {
        let actions = self.members.step(self.shared.now(), &mut rand::rng(), event);
        for action in actions {
            match action {
                MembershipAction::Send(to, packet) => self.send(to, &packet),
                MembershipAction::Exchange(from) => self.fetch_members(from),
                MembershipAction::SettingsDiffer(from) => self.compare_settings(from),
                MembershipAction::Changed => self.changed = true,
                MembershipAction::RoundTrip(node, time) => self.observe_link(node, time),
                MembershipAction::Load(node, report) => self.observe_load(node, &report),
            }
        }
    }

    fn send(&self, to: SocketAddr, packet: &Packet) {
        let same_region = self
            .members
            .records()
            .find(|r| r.control == to)
            .map(|r| r.region == self.shared.settings.region);
        self.socket.send(to, packet, same_region.unwrap_or(true));
    }

    fn observe_link(&self, node: u64, time: Duration) {
        let table = self.shared.table.load();
        for candidate in table.services().filter_map(|s| s.candidate(node)) {
            candidate.observe_round_trip(time);
        }
    }

    fn observe_load(&self, node: u64, report: &LoadReport) {
        let table = self.shared.table.load();
        for candidate in table.services().filter_map(|s| s.candidate(node)) {
            candidate.record_report(self.shared.now(), report);
        }
    }

    fn rebuild(&mut self) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let own = self.members.own().clone();
        let table = RoutingTable::new(&self.shared.table.load(), &own, self.members.living());
        self.shared.table.store(Arc::new(table));
        let living: HashSet<u64> = self.members.living().map(|r| r.node).collect();
        self.shared.hops.retain(|node| living.contains(&node));
        self.shared.metrics.members.set(i64::try_from(living.len()).unwrap_or(i64::MAX));
        let rank = watch_rank(&own, self.members.living());
        let watches = rank < WATCHERS_PER_REGION;
        let regions: HashSet<&Arc<str>> = self.members.living().map(|r| &r.region).collect();
        let (members, regions) = (living.len() as u64, regions.len() as u64);
        self.shared.store.share_budget(members, regions, watches);
        self.shared.update_retry_reserves();
        self.shared.watch_rank.store(rank, Ordering::Relaxed);
    }

    fn fetch_members(&self, from: SocketAddr) {
        let (shared, handle) = (Arc::clone(&self.shared), self.handle.clone());
        tokio::spawn(async move {
            if let Ok(records) = control_client::members(&shared.settings.fleet_key, from).await {
                handle.merge_records(records).await;
            }
        });
    }

    fn compare_settings(&self, from: SocketAddr) {
        if self.exchanging.swap(true, Ordering::SeqCst) {
            return;
        }
        let (shared, handle) = (Arc::clone(&self.shared), self.handle.clone());
        let exchanging = Arc::clone(&self.exchanging);
        let versions = self.holder.versions();
        tokio::spawn(async move {
            compare_settings(&shared, &handle, from, versions).await;
            exchanging.store(false, Ordering::SeqCst);
        });
    }

    fn apply(&mut self, subtrees: Vec<Subtree>, source: &'static str) {
        let mut newer = false;
        for subtree in subtrees {
            let held = self.holder.version(&subtree.name);
            let (name, version) = (Arc::clone(&subtree.name), subtree.version);
            let applied = self.holder.apply(subtree);
            invariant!(self.holder.version(&name) >= held, "settings_version_never_falls");
            if applied == Applied::Newer {
                log::info!(
                    target: "settings", subtree = &*name, version, replaced = held, source;
                    "settings in force"
                );
                newer = true;
            }
        }
        if newer {
            self.shared.apply_settings(self.holder.compile());
            self.members.set_settings_digest(self.holder.digest());
        }
    }

    fn snapshot(&self) -> ControlSnapshot {
        let own = std::iter::once(self.members.own().clone());
        ControlSnapshot {
            members: own.chain(self.members.records().cloned()).collect(),
            subtrees: self.holder.subtrees().cloned().collect(),
            waiting_updates: self.members.waiting_updates(),
            dropped_records: self.members.dropped_records(),
        }
    }
}

async fn compare_settings(
    shared: &Shared,
    handle: &ControlHandle,
    from: SocketAddr,
    versions: Vec<SubtreeVersion>,
) {
    let key = &shared.settings.fleet_key;
    let Ok(reply) = control_client::exchange(key, from, versions).await else {
        return;
    };
    let learned = !reply.newer.is_empty();
    handle.apply(reply.newer, "peer").await;
    if learned {
        shared.has_settings.store(true, Ordering::Relaxed);
    }
    if reply.wanted.is_empty() {
        return;
    }
    let subtrees = handle.subtrees(reply.wanted).await;
    // The peer finds the difference again if this is lost.
    let _lost = control_client::push(key, from, subtrees).await;
}

/// Living members of a node's region before it in the order in which they watch the store: lowest hashes first.
///
/// A node that is wrong about its peers costs the store a few calls and nothing else.
fn watch_rank<'a>(own: &MemberRecord, living: impl Iterator<Item = &'a MemberRecord>) -> u64 {
    let rank = |node: u64| node.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(31);
    living
        .filter(|r| r.region == own.region && r.health == Health::Alive)
        .filter(|r| rank(r.node) < rank(own.node))
        .count() as u64
}
