//! Task that owns membership and settings; other tasks send it commands through a handle.

use {
    crate::node::{
        control::{
            control_client, gossip_socket::GossipSocket, settings_comparison::compare_settings,
        },
        shared::Shared,
    },
    crate::{
        config::{ActiveSubtrees, ApplyResult, LastRead, OverdueReads, SettingsTree},
        limits::{
            WATCHERS_PER_REGION, ZoneEvacuation,
            shared::{LimitMember, LimitStatus, Outgoing, SharedLimits},
        },
        membership::{Members, MembershipAction, MembershipEvent},
        metrics::Metrics,
        routing::{EvacuatedZones, RoutingTable},
        schema::{
            ExchangeReply, Health, LoadReport, MemberRecord, PackedReply, PackedSubtree, Packet,
            Placement, StoreReads, Subtree, SubtreeVersion, SuspectUpdate,
        },
        tick::Tick,
    },
    rand::seq::IteratorRandom,
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

/// Interval between two steps of the membership protocol, each with a check of the routing table.
const MEMBERSHIP_TIMER_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two steps of the limits that hold over all nodes, while there are any.
const LIMITS_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which another comparison of settings is started beside one that is still running, as with a peer that
/// froze.
const COMPARISON_PATIENCE: Duration = Duration::from_millis(700);

/// Minimum time between two reads of the store for settings that peers have not supplied.
const OVERDUE_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between two requests to confirm that the node's zone is not evacuated.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(300);

/// Number of requests for a confirmation of which one goes to the store as well: a peer usually answers the first one,
/// and calls to the store are priced.
const CONFIRMATIONS_PER_STORE_READ: u32 = 7;
/// Most pairs of workspaces that a log line names.
const MAX_LOGGED_PAIRS: usize = 8;

/// Maximum number of commands that wait for the loop.
const MAX_QUEUED_COMMANDS: usize = 4_096;

/// Members and settings at one moment, for status, dumps and reads of settings.
#[derive(Clone, Debug)]
pub struct ControlSnapshot {
    /// All member records, the local node's first.
    pub members: Vec<MemberRecord>,
    /// Settings subtrees in force.
    pub subtrees: Vec<Subtree>,
    /// Number of member updates that are still to be disseminated.
    pub waiting_updates: usize,
    /// Limits that hold over all nodes.
    pub limits: Vec<LimitStatus>,
    /// Number of member records dropped because the fleet exceeds the maximum number of records.
    pub dropped_records: u64,
    /// Number of members, those that may be cut off included; `None` while the node meets none or does not know it.
    pub fleet_size: Option<usize>,
    /// Whether the store names more members than the node has seen lately.
    pub is_short_of_registered: bool,
}

#[derive(Debug)]
enum Command {
    Packet(SocketAddr, Packet, Option<StoreReads>),
    Records(Vec<MemberRecord>),
    Exchange(Vec<SubtreeVersion>, oneshot::Sender<ExchangeReply>),
    ExchangePacked(Vec<SubtreeVersion>, oneshot::Sender<PackedReply>),
    Apply(Vec<Subtree>, &'static str, oneshot::Sender<()>),
    ApplyPacked(Vec<PackedSubtree>, oneshot::Sender<()>),
    Subtrees(Vec<Arc<str>>, oneshot::Sender<Vec<Subtree>>),
    PackedSubtrees(Vec<Arc<str>>, oneshot::Sender<Vec<PackedSubtree>>),
    Version(Arc<str>, oneshot::Sender<u64>),
    Snapshot(oneshot::Sender<ControlSnapshot>),
    Seeds(Vec<SocketAddr>),
    RegisteredSize(usize),
    Placement(Vec<Placement>, Health),
}

/// Handle to the control loop.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    commands: mpsc::Sender<Command>,
}

/// State of the control loop.
#[derive(Debug)]
pub struct ControlLoop {
    shared: Arc<Shared>,
    socket: Arc<GossipSocket>,
    handle: ControlHandle,
    commands: mpsc::Receiver<Command>,
    members: Members,
    active_subtrees: ActiveSubtrees,
    limits: SharedLimits,
    is_table_outdated: bool,
    /// Number of alive members of the region that precede the node in the order of store watchers.
    watch_rank: u64,
    /// Number of live members and of their regions.
    fleet_size: (u64, u64),
    /// Whether the node's region is the first one by name.
    is_in_first_region: bool,
    /// Members, regions and role by which the node's share of the store's calls was last set.
    store_budget: (u64, u64, bool),
    is_isolated: bool,
    /// Version of the suspected requests that were last queued for the other nodes.
    suspects_version: u64,
    /// Earliest time of the next read of the store for settings that peers have not supplied.
    next_overdue_read_at: Tick,
    /// Start of the last comparison of settings with a peer.
    compared_at: Tick,
    /// Earliest time of the next request to confirm that the zone is not evacuated.
    next_confirmation_at: Tick,
    /// Number of such requests since the state of the zone became unknown.
    confirmation_requests: u32,
    is_comparing_settings: Arc<AtomicBool>,
    configuration_reads: OverdueReads,
    evacuations_reads: OverdueReads,
}

impl ControlHandle {
    async fn request<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, result) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        result.await.ok()
    }

    async fn send(&self, command: Command) {
        // Fails only if the loop has ended, and the loop runs as long as the node.
        let _closed = self.commands.send(command).await;
    }

    /// Queues a gossip packet for the loop, or drops it if the command queue is full.
    pub fn handle_packet(&self, from: SocketAddr, packet: Packet, reads: Option<StoreReads>) {
        let _dropped = self.commands.try_send(Command::Packet(from, packet, reads));
    }

    /// Merges the member records of a full exchange.
    pub async fn merge_records(&self, records: Vec<MemberRecord>) {
        self.send(Command::Records(records)).await;
    }

    /// Returns all member records.
    pub async fn members(&self) -> Vec<MemberRecord> {
        self.snapshot().await.map(|s| s.members).unwrap_or_default()
    }

    /// Compares a peer's subtree versions with the local ones.
    pub async fn exchange(&self, versions: Vec<SubtreeVersion>) -> ExchangeReply {
        let empty = ExchangeReply { newer: Vec::new(), wanted: Vec::new() };
        self.request(|reply| Command::Exchange(versions, reply)).await.unwrap_or(empty)
    }

    /// Compares a peer's subtree versions with the local ones; the reply has compressed documents.
    pub async fn exchange_packed(&self, versions: Vec<SubtreeVersion>) -> PackedReply {
        let empty = PackedReply { newer: Vec::new(), wanted: Vec::new() };
        self.request(|reply| Command::ExchangePacked(versions, reply)).await.unwrap_or(empty)
    }

    /// Puts those compressed subtrees of a peer in force that are newer than the local ones.
    pub async fn apply_packed(&self, subtrees: Vec<PackedSubtree>) {
        self.request(|reply| Command::ApplyPacked(subtrees, reply)).await;
    }

    /// Returns the named subtrees compressed; names without a local subtree are skipped.
    pub async fn packed_subtrees(&self, names: Vec<Arc<str>>) -> Vec<PackedSubtree> {
        self.request(|reply| Command::PackedSubtrees(names, reply)).await.unwrap_or_default()
    }

    /// Puts those subtrees in force that are newer than the local ones. The log names `source`.
    pub async fn apply(&self, subtrees: Vec<Subtree>, source: &'static str) {
        self.request(|reply| Command::Apply(subtrees, source, reply)).await;
    }

    /// Returns the named subtrees; names without a local subtree are skipped.
    pub async fn subtrees(&self, names: Vec<Arc<str>>) -> Vec<Subtree> {
        self.request(|reply| Command::Subtrees(names, reply)).await.unwrap_or_default()
    }

    /// Returns the local version of a subtree, zero if there is none.
    pub async fn subtree_version(&self, name: Arc<str>) -> u64 {
        self.request(|reply| Command::Version(name, reply)).await.unwrap_or(0)
    }

    /// Returns the current members and settings.
    pub async fn snapshot(&self) -> Option<ControlSnapshot> {
        self.request(Command::Snapshot).await
    }

    /// Adds control addresses of nodes to join through.
    pub async fn add_seeds(&self, seeds: Vec<SocketAddr>) {
        self.send(Command::Seeds(seeds)).await;
    }

    /// Sets the number of members that the store names, 0 if it names none.
    pub async fn set_registered_size(&self, members: usize) {
        self.send(Command::RegisteredSize(members)).await;
    }

    /// Sets the local upstreams and the node's health in its member record, which is then
    /// disseminated.
    pub async fn set_placement(&self, upstreams: Vec<Placement>, health: Health) {
        self.send(Command::Placement(upstreams, health)).await;
    }
}

impl ControlLoop {
    /// Creates a loop that has not started, and the handle to it.
    pub fn new(shared: Arc<Shared>, socket: Arc<GossipSocket>) -> (Self, ControlHandle) {
        let (tx, commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let handle = ControlHandle { commands: tx };
        let seeds = shared.settings.seeds.clone();
        let limits = SharedLimits::new(shared.now(), shared.node);
        let members = Members::new(shared.now(), shared.initial_record(), seeds);
        let control = Self {
            shared,
            socket,
            handle: handle.clone(),
            commands,
            members,
            active_subtrees: ActiveSubtrees::default(),
            limits,
            is_table_outdated: true,
            watch_rank: 0,
            fleet_size: (1, 1),
            is_in_first_region: true,
            store_budget: (1, 1, true),
            is_isolated: false,
            suspects_version: 0,
            next_overdue_read_at: Tick(0),
            compared_at: Tick(0),
            next_confirmation_at: Tick(0),
            confirmation_requests: 0,
            is_comparing_settings: Arc::default(),
            configuration_reads: OverdueReads::default(),
            evacuations_reads: OverdueReads::default(),
        };
        (control, handle)
    }

    /// Runs until its task is dropped. The command channel stays open, because the loop holds a
    /// handle itself.
    pub async fn run(mut self) {
        let mut timer = interval(MEMBERSHIP_TIMER_INTERVAL);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut limits_timer = interval(LIMITS_INTERVAL);
        limits_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.members.set_settings_digest(self.active_subtrees.digest());
        let shared = Arc::clone(&self.shared);
        loop {
            tokio::select! {
                _tick = timer.tick() => {
                    self.publish_suspects();
                    let age = self.shared.settings_age.since_confirmed(self.shared.now());
                    self.shared.metrics.settings_age_ms.set(age.as_millis() as i64);
                    self.step(MembershipEvent::Timer);
                    self.rebuild_routing_table();
                    self.update_watch_rank();
                    self.check_store_reads();
                    if self.publish_fleet_size() {
                        self.shared.update_retry_reserves();
                    }
                    self.confirm_zone();
                    let joined = self.members.has_joined(self.shared.now());
                    self.shared.has_joined.store(joined, Ordering::Relaxed);
                }
                _tick = limits_timer.tick(), if !self.limits.is_empty() => self.step_limits(),
                () = shared.limits_urgent.notified() => self.step_limits(),
                () = shared.unsolicited_report.notified() => {
                    let report = self.shared.admission.gate.next_load_report(self.shared.now());
                    self.record_load_report(self.shared.node, &report);
                    self.step(MembershipEvent::Load(report));
                }
                command = self.commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
            }
        }
    }

    fn handle(&mut self, command: Command) {
        // Sending a reply fails if the requester no longer waits; the reply is dropped.
        match command {
            Command::Packet(from, packet, reads) => {
                self.record_settings_digest(packet.settings);
                match reads {
                    Some(reads) if packet.settings == self.members.settings_digest() => {
                        self.shared.record_store_reads(&reads);
                    }
                    _ => {}
                }
                self.step(MembershipEvent::Packet(from, packet));
            }
            Command::Records(records) => self.step(MembershipEvent::Records(records)),
            Command::Exchange(versions, reply) => {
                let _closed = reply.send(self.active_subtrees.exchange(&versions));
            }
            Command::ExchangePacked(versions, reply) => {
                let _closed = reply.send(self.active_subtrees.exchange_packed(&versions));
            }
            Command::Apply(subtrees, source, reply) => {
                self.apply(subtrees, source);
                let _closed = reply.send(());
            }
            Command::ApplyPacked(subtrees, reply) => {
                self.apply_packed(subtrees);
                let _closed = reply.send(());
            }
            Command::PackedSubtrees(names, reply) => {
                let _closed = reply.send(self.active_subtrees.get_many_packed(&names));
            }
            Command::Subtrees(names, reply) => {
                let _closed = reply.send(self.active_subtrees.get_many(&names));
            }
            Command::Version(name, reply) => {
                let _closed = reply.send(self.active_subtrees.version(&name));
            }
            Command::Snapshot(reply) => {
                let _closed = reply.send(self.snapshot());
            }
            Command::Seeds(seeds) => self.members.add_seeds(seeds),
            Command::RegisteredSize(members) => {
                self.limits.set_registered_size(self.shared.now(), members);
            }
            Command::Placement(upstreams, health) => {
                let local =
                    MemberRecord { upstreams, health, ..self.members.local_record().clone() };
                self.step(MembershipEvent::LocalRecord(local));
                self.rebuild_routing_table();
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
                MembershipAction::MembersChanged => self.is_table_outdated = true,
                MembershipAction::RoundTrip(node, time) => self.record_round_trip(node, time),
                MembershipAction::Suspects(updates) => {
                    apply_suspects(&self.shared, &updates);
                }
                MembershipAction::Limits(from, batch) => {
                    let outgoing = self.limits.receive(self.shared.now(), from, &batch);
                    self.send_limits(outgoing);
                }
                MembershipAction::Load(node, report) => self.record_load_report(node, &report),
            }
        }
    }

    fn send(&self, to: SocketAddr, packet: &Packet) {
        let same_region = self
            .members
            .records()
            .find(|r| r.control == to)
            .map(|r| r.region == self.shared.settings.region);
        // An address without a member record, such as a seed, counts as in the same region.
        self.socket.send(to, packet, same_region.unwrap_or(true));
    }

    fn step_limits(&mut self) {
        let outgoing = self.limits.step(self.shared.now());
        self.send_limits(outgoing);
    }

    fn send_limits(&mut self, outgoing: Vec<Outgoing>) {
        for out in outgoing {
            if let Some((to, packet)) = self.members.limits_packet(out.to, out.batch) {
                self.send(to, &packet);
            }
        }
    }

    /// Passes the members on to the limits, which choose their owners among them.
    fn update_limit_members(&mut self) {
        let member = |r: &MemberRecord| LimitMember {
            node: r.node,
            address: r.control,
            is_leaving: r.health == Health::Draining,
            is_suspect: r.health == Health::Suspect,
        };
        let now = self.shared.now();
        self.limits.set_members(now, self.members.live_records().map(member));
        let owned_count = i64::try_from(self.limits.owned_count()).unwrap_or(i64::MAX);
        self.shared.metrics.limits_owned.set(owned_count);
    }

    fn record_round_trip(&self, node: u64, time: Duration) {
        let table = self.shared.routing_table.load();
        for candidate in table.services().filter_map(|s| s.candidate(node)) {
            candidate.observe_round_trip(time);
        }
    }

    fn record_load_report(&self, node: u64, report: &LoadReport) {
        let table = self.shared.routing_table.load();
        for candidate in table.services().filter_map(|s| s.candidate(node)) {
            candidate.record_report(self.shared.now(), report);
        }
    }

    fn rebuild_routing_table(&mut self) {
        if !std::mem::take(&mut self.is_table_outdated) {
            return;
        }
        let local = self.members.local_record().clone();
        let table = RoutingTable::new(
            &self.shared.routing_table.load(),
            &local,
            self.members.live_records(),
        );
        self.shared.routing_table.store(Arc::new(table));
        let live_nodes: HashSet<u64> = self.members.live_records().map(|r| r.node).collect();
        self.shared.hops.retain(|node| live_nodes.contains(&node));
        self.shared.metrics.members.set(i64::try_from(live_nodes.len()).unwrap_or(i64::MAX));
        let rank = watch_rank(&local, self.members.live_records());
        let regions: HashSet<&Arc<str>> = self.members.live_records().map(|r| &r.region).collect();
        self.fleet_size = (live_nodes.len() as u64, regions.len() as u64);
        self.is_in_first_region = regions.iter().min() == Some(&&local.region);
        self.watch_rank = rank;
        self.update_limit_members();
        // Services of the new table have no reserve yet.
        self.publish_fleet_size();
        self.shared.update_retry_reserves();
    }

    /// Publishes the number of members, and returns whether it has changed.
    fn publish_fleet_size(&self) -> bool {
        let size = self.limits.fleet_size(self.shared.now()).unwrap_or(usize::MAX);
        let size = u64::try_from(size).unwrap_or(u64::MAX);
        self.shared.fleet_size.swap(size, Ordering::Relaxed) != size
    }

    /// Sets the node's share of the calls to the store, if it has changed.
    fn update_store_budget(&mut self) {
        let (members, regions) = self.fleet_size;
        let is_watcher = self.watch_rank < WATCHERS_PER_REGION || self.shared.is_substitute();
        let budget = (members, regions, is_watcher);
        if std::mem::replace(&mut self.store_budget, budget) != budget {
            self.shared.store.set_budget_share(members, regions, is_watcher);
        }
    }

    /// Publishes the rank by which the node watches the store. A node that is cut off from its peers
    /// watches the store itself.
    fn update_watch_rank(&mut self) {
        let is_isolated = self.members.is_isolated(self.shared.now());
        if is_isolated != std::mem::replace(&mut self.is_isolated, is_isolated) {
            log::info!(target: "membership", is_isolated; "connection to the other members changed");
            if !is_isolated {
                self.shared.admission.gate.zone.forget(self.shared.now());
            }
        }
        let rank = if is_isolated { 0 } else { self.watch_rank };
        self.shared.watch_rank.store(rank, Ordering::Relaxed);
        let confirms = is_isolated || (rank == 0 && self.is_in_first_region);
        self.shared.confirms_settings.store(confirms, Ordering::Relaxed);
        self.update_store_budget();
    }

    /// Requests reads of the store if no node has read it lately: those that watch it may get no answer, and their
    /// health does not show that.
    fn check_store_reads(&mut self) {
        let (shared, now) = (&self.shared, self.shared.now());
        let rank = shared.watch_rank.load(Ordering::Relaxed);
        // A node that confirms the settings reads the store all the time, and one without settings reads them anyway.
        if shared.confirms_settings.load(Ordering::Relaxed) || !shared.is_ready() {
            return;
        }
        let is_due = |reads: &mut OverdueReads, read: &LastRead, kind: &'static str| {
            let age = read.age(now);
            let is_due = reads.is_due(now, age, rank);
            if is_due {
                Metrics::count(&shared.metrics.overdue_reads, kind);
                log::info!(
                    target: "settings", kind, rank,
                    age_ms = age.unwrap_or_default().as_millis() as u64;
                    "no node has read the store lately, reading it"
                );
            }
            is_due
        };
        if is_due(&mut self.configuration_reads, &shared.configuration_read, "configuration") {
            shared.settings_overdue.notify_one();
        }
        if is_due(&mut self.evacuations_reads, &shared.evacuations_read, "evacuations") {
            shared.evacuations_overdue.notify_one();
        }
    }

    /// Requests a confirmation of the set of evacuated zones from a random peer, and at times from the store, while the
    /// node may have missed a change of it.
    fn confirm_zone(&mut self) {
        let now = self.shared.now();
        if self.shared.admission.gate.zone.observe(now) != ZoneEvacuation::Unknown {
            self.confirmation_requests = 0;
            return;
        }
        // A node that knows no set since its start reads it as all other settings.
        let is_known = self.shared.settings_tree.load().evacuations().is_some();
        if !is_known || now < self.next_confirmation_at {
            return;
        }
        self.next_confirmation_at = now + CONFIRMATION_INTERVAL;
        self.confirmation_requests += 1;
        let local = self.shared.node;
        let alive =
            self.members.live_records().filter(|r| r.node != local && r.health == Health::Alive);
        let peer = alive.choose(&mut rand::rng()).map(|r| r.control);
        if let Some(peer) = peer {
            self.compare_settings(peer);
        }
        if peer.is_none() || self.confirmation_requests % CONFIRMATIONS_PER_STORE_READ == 2 {
            self.shared.evacuations_overdue.notify_one();
        }
    }

    /// Queues what is known of suspected requests for the other nodes, if it changed.
    fn publish_suspects(&mut self) {
        let version = self.shared.quarantine.version();
        if std::mem::replace(&mut self.suspects_version, version) != version {
            let updates = self.shared.quarantine.updates(self.shared.now());
            self.shared.metrics.suspects.set(i64::try_from(updates.len()).unwrap_or(i64::MAX));
            self.step(MembershipEvent::Suspects(updates));
        }
    }

    fn fetch_members(&self, from: SocketAddr) {
        let (shared, handle) = (Arc::clone(&self.shared), self.handle.clone());
        tokio::spawn(async move {
            let key = &shared.settings.fleet_key;
            let (records, suspects) = tokio::join!(
                control_client::members(key, from),
                control_client::suspects(key, from)
            );
            match suspects {
                Ok(updates) => apply_suspects(&shared, &updates),
                Err(e) => {
                    log::debug!(target: "quarantine", "suspected requests not read from {from}: {e}");
                }
            }
            // The records complete the join, so the suspects come before them.
            if let Ok(records) = records {
                handle.merge_records(records).await;
            }
        });
    }

    /// Records whether a peer holds the same settings, and requests a read of the store if what differs has not
    /// arrived in time.
    fn record_settings_digest(&mut self, digest: u64) {
        let (age, now) = (&self.shared.settings_age, self.shared.now());
        if digest == self.members.settings_digest() {
            age.confirm(now);
        } else {
            age.record_difference(now);
        }
        // The identity is random, so it spreads the nodes over the range.
        let spread = self.shared.node as f64 / u64::MAX as f64;
        if age.is_overdue(now, spread) && now >= self.next_overdue_read_at {
            self.next_overdue_read_at = now + OVERDUE_READ_INTERVAL;
            log::info!(
                target: "settings", age_ms = age.since_confirmed(now).as_millis() as u64;
                "peers have not supplied newer settings in time, reading the store"
            );
            self.shared.settings_overdue.notify_one();
            self.shared.evacuations_overdue.notify_one();
        }
    }

    fn compare_settings(&mut self, from: SocketAddr) {
        let now = self.shared.now();
        let is_recent = now.since(self.compared_at) < COMPARISON_PATIENCE;
        if is_recent && self.is_comparing_settings.load(Ordering::SeqCst) {
            return;
        }
        self.compared_at = now;
        self.is_comparing_settings.store(true, Ordering::SeqCst);
        let (shared, handle) = (Arc::clone(&self.shared), self.handle.clone());
        let is_comparing_settings = Arc::clone(&self.is_comparing_settings);
        let versions = self.active_subtrees.versions();
        tokio::spawn(async move {
            compare_settings(&shared, &handle, from, versions).await;
            is_comparing_settings.store(false, Ordering::SeqCst);
        });
    }

    fn apply(&mut self, subtrees: Vec<Subtree>, source: &'static str) {
        let mut has_newer = false;
        for subtree in subtrees {
            let (name, version) = (Arc::clone(&subtree.name), subtree.version);
            let previous = self.active_subtrees.version(&name);
            let applied = self.active_subtrees.apply(subtree);
            has_newer |= self.record_applied(&name, version, previous, applied, source);
        }
        self.put_in_force(has_newer, source);
    }

    fn apply_packed(&mut self, subtrees: Vec<PackedSubtree>) {
        let mut has_newer = false;
        for packed in subtrees {
            let (name, version) = (Arc::clone(&packed.name), packed.version);
            let previous = self.active_subtrees.version(&name);
            match self.active_subtrees.apply_packed(packed) {
                Ok(applied) => {
                    has_newer |= self.record_applied(&name, version, previous, applied, "peer");
                }
                Err(e) => {
                    log::warn!(target: "settings", subtree = &*name, version; "skipped: {e}");
                }
            }
        }
        self.put_in_force(has_newer, "peer");
    }

    /// Logs the result of applying a subtree; returns whether it is in force now and was not before.
    fn record_applied(
        &self,
        name: &Arc<str>,
        version: u64,
        previous: u64,
        applied: ApplyResult,
        source: &'static str,
    ) -> bool {
        invariant!(self.active_subtrees.version(name) >= previous, "settings_version_never_falls");
        let is_newer = applied == ApplyResult::Newer;
        if is_newer {
            let age = self.shared.settings_age.since_confirmed(self.shared.now());
            log::info!(
                target: "settings", subtree = &**name, version, replaced = previous, source,
                age_ms = age.as_millis() as u64;
                "settings in force"
            );
        }
        is_newer
    }

    fn put_in_force(&mut self, has_newer: bool, source: &'static str) {
        if has_newer {
            let previous = self.shared.settings_tree.load_full();
            let tree = self.active_subtrees.compile();
            if tree.routes_version() > previous.routes_version() {
                warn_of_shared_keys(&tree);
            }
            self.shared.apply_settings(tree);
            if let Some(routes) = self.shared.settings_tree.load().routes() {
                self.limits.set_rules(self.shared.now(), routes.shared_limits.iter().cloned());
                self.shared.limits.store(Arc::new(self.limits.table()));
            }
            self.record_evacuations(&previous, source);
            self.members.set_settings_digest(self.active_subtrees.digest());
        }
    }

    /// Logs and counts the zones that are evacuated since the previous settings, and those that no longer are.
    fn record_evacuations(&self, previous: &SettingsTree, source: &'static str) {
        let (shared, tree) = (&self.shared, self.shared.settings_tree.load());
        let current = tree.evacuations().unwrap_or(EvacuatedZones::none());
        let previous = previous.evacuations().unwrap_or(EvacuatedZones::none());
        let age_ms = shared.settings_age.since_confirmed(shared.now()).as_millis() as u64;
        let version = current.version;
        for zone in current.difference(previous) {
            Metrics::count(&shared.metrics.evacuation_changes, "evacuated");
            log::warn!(target: "evacuation", zone = &**zone, version, source, age_ms; "zone evacuated");
        }
        for zone in previous.difference(current) {
            Metrics::count(&shared.metrics.evacuation_changes, "ended");
            log::warn!(target: "evacuation", zone = &**zone, version, source, age_ms; "evacuation ended");
        }
        let zones = i64::try_from(current.zones.len()).unwrap_or(i64::MAX);
        shared.metrics.evacuated_zones.set(zones);
    }

    fn snapshot(&self) -> ControlSnapshot {
        let now = self.shared.now();
        let meets_members = !self.members.is_empty() && !self.is_isolated;
        let local = std::iter::once(self.members.local_record().clone());
        ControlSnapshot {
            members: local.chain(self.members.records().cloned()).collect(),
            subtrees: self.active_subtrees.subtrees().cloned().collect(),
            waiting_updates: self.members.waiting_updates(),
            limits: self.limits.status(now),
            dropped_records: self.members.dropped_records(),
            fleet_size: self.limits.fleet_size(now).filter(|_| meets_members),
            is_short_of_registered: self.limits.is_short_of_registered(now),
        }
    }
}

/// Logs the workspaces whose callers get 401 because they hold the same key, once for each version of the routes.
fn warn_of_shared_keys(tree: &SettingsTree) {
    let shared_keys = tree.routes().map_or(&[][..], |routes| &routes.shared_keys);
    if shared_keys.is_empty() {
        return;
    }
    let pairs: Vec<String> =
        shared_keys.iter().take(MAX_LOGGED_PAIRS).map(|pair| pair.join(" and ")).collect();
    log::warn!(
        target: "settings", version = tree.routes_version(), keys = shared_keys.len(),
        workspaces = pairs.join(", ").as_str();
        "keys of more than one workspace identify none"
    );
}

fn apply_suspects(shared: &Shared, updates: &[SuspectUpdate]) {
    for update in updates {
        shared.quarantine.apply(shared.now(), update);
    }
}

/// Returns the number of alive members of the node's region that precede it in the order of store
/// watchers. The order is by ascending hash of the node identity.
///
/// Nodes with different lists of members may compute overlapping ranks. This only causes a few
/// extra calls to the store.
fn watch_rank<'a>(
    local: &MemberRecord,
    live_records: impl Iterator<Item = &'a MemberRecord>,
) -> u64 {
    let hash = |node: u64| node.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(31);
    live_records
        .filter(|r| r.region == local.region && r.health == Health::Alive)
        .filter(|r| hash(r.node) < hash(local.node))
        .count() as u64
}
