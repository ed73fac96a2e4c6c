//! State that the tasks of a node share: atomics, and tables that are replaced as a whole.

use {
    crate::node::{
        dialect::HeaderDialect,
        entry::hop::Hops,
        gate::{
            load_probe::LoadProbe,
            queue_task::{QueueHandle, QueueItem},
        },
    },
    crate::{
        attempt::Admission,
        config::{LastRead, SettingsAge, SettingsTree},
        limits::{
            ServiceTimes, TokenBucket,
            held::{ByteBudget, Holder, Holders},
            shared::LimitTable,
        },
        metrics::Metrics,
        recovery::Quarantine,
        routing::{EvacuatedZones, RoutingTable},
        schema::{Announcement, MemberRecord, StoreReads},
        settings::{ProcessSettings, Tunables},
        store::{MAX_WATCH_WAIT, Store},
        tick::{Tick, micros},
    },
    arc_swap::{ArcSwap, ArcSwapOption},
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    tokio::{
        sync::{Notify, mpsc, watch},
        time::{Duration, Instant},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Burst size of the inter-region byte budget, in seconds of its rate.
const INTER_REGION_BURST_SECONDS: u64 = 1;

/// Inter-region byte budget per second until settings are in force.
const DEFAULT_INTER_REGION_BYTES_PER_SECOND: u64 = 1_048_576;

/// Load probes per second until settings are in force.
const DEFAULT_PROBES_PER_SECOND: u64 = 20;

/// Log lines per second on holders that give way and bytes that are refused, and their burst. The metrics count all.
const MEMORY_LOG_LINES_PER_SECOND: u64 = 5;
const MEMORY_LOG_BURST: u64 = 20;

/// Percentage of the fleet's retry reserve that is distributed to the nodes; the rest covers the
/// calls that retries cause.
const DISTRIBUTED_RESERVE_PERCENT: u64 = 75;

/// Minimum retry reserve of a node in hundredths of a retry: a reserve below one retry would never
/// allow any.
const MIN_RESERVE_HUNDREDTHS: u64 = 100;

/// Part of the time in which an evacuation must hold after which a node that did not run asks again whether its zone is
/// evacuated. After a shorter pause, a change still arrives in time as usual.
const EVACUATION_GAP_DIVISOR: u32 = 4;

/// Time for which a node waits for changes in one call to the store while it confirms that there are none.
const CONFIRMING_WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Time for which a node watches the store after it found that no other one had read it lately.
const SUBSTITUTE_TIME: Duration = Duration::from_secs(30);

/// Dependencies from the adapter that all tasks share.
#[derive(Debug)]
pub struct NodeDependencies {
    /// Client of the platform's store.
    pub store: Store,
    /// Names of the headers that are exchanged with callers and upstreams.
    pub dialect: HeaderDialect,
    /// Whether the node is ready only once routes are in force.
    pub needs_routes: bool,
}

/// State of a node that its tasks use concurrently.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the process at its start.
    pub settings: ProcessSettings,
    /// Identity of the node, new at each start.
    pub node: u64,
    /// Routing table with the upstreams of all services.
    pub routing_table: ArcSwap<RoutingTable>,
    /// Settings in force for services and regions.
    pub settings_tree: ArcSwap<SettingsTree>,
    /// Last announcement of the local upstream, if there is one.
    pub upstream: ArcSwapOption<Announcement>,
    /// Admission of attempts to the local upstream.
    pub admission: Admission,
    /// Queue of the attempts that wait for a slot.
    pub queue: QueueHandle,
    /// Last local upstream that stated in a response that it is leaving.
    pub leaving_upstream: watch::Sender<Option<Announcement>>,
    /// Requests that crash the upstreams that run them.
    pub quarantine: Quarantine,
    /// Probes of the local upstream's load.
    pub load_probe: LoadProbe,
    /// Notified when the cold phase of the local upstream has changed or must be checked.
    pub cold_check: Notify,
    /// Connections to the gates of other nodes.
    pub hops: Hops,
    /// Number of attempts that this entry has created; the source of their sequence numbers.
    pub attempt_sequence: AtomicU64,
    /// Budget of the bytes that are held for peers.
    pub held_bytes: Arc<ByteBudget>,
    /// Log lines on holders that give way and bytes that are refused.
    pub memory_log: TokenBucket,
    /// Attempts at the local upstream whose bodies still arrive.
    pub slot_holders: Holders,
    /// Budget of load probes.
    pub probes: TokenBucket,
    /// Budget of bytes that are sent to other regions.
    pub inter_region_bytes: TokenBucket,
    /// Client of the platform's store.
    pub store: Store,
    /// Names of the headers that are exchanged with callers and upstreams.
    pub dialect: HeaderDialect,
    /// Settings that change while the node runs.
    pub tunables: ArcSwap<Tunables>,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Whether the node has read the settings from the store or received newer ones from a peer
    /// since its start.
    pub has_settings: AtomicBool,
    /// Age of the settings in force.
    pub settings_age: SettingsAge,
    /// Last read of the operator's configuration in the store.
    pub configuration_read: LastRead,
    /// Last read of the evacuated zones in the store.
    pub evacuations_read: LastRead,
    /// Whether the node is the one of the fleet that confirms to the others that nothing has changed in the store, or meets
    /// no other one.
    pub confirms_settings: AtomicBool,
    /// Time in microseconds until which the node watches the store in the place of those that should.
    pub substitute_until: AtomicU64,
    /// Notified when the node should read the store, because its peers have not supplied newer settings in time, or
    /// because no node has read it lately.
    pub settings_overdue: Notify,
    /// Version of the evacuated zones in force, for their watch.
    pub evacuations_in_force: watch::Sender<u64>,
    /// Notified when the node should list the evacuated zones in the store, because its peers have not supplied or
    /// confirmed them in time.
    pub evacuations_overdue: Notify,
    /// Notified when the node's zone is no longer evacuated and the gate may admit attempts once it knows the state of
    /// the upstream.
    pub zone_reopening: Notify,
    /// Whether the node has joined the fleet.
    pub has_joined: AtomicBool,
    /// Number of alive members of the region that precede the node in the order of store watchers.
    pub watch_rank: AtomicU64,
    /// Whether the node is ready only once routes are in force.
    pub needs_routes: bool,
    /// Number of members, those included that may be cut off and spend their shares of what the fleet may spend.
    pub fleet_size: AtomicU64,
    /// Limits that hold over all nodes, as far as this entry may spend them.
    pub limits: ArcSwap<LimitTable>,
    /// Notified when the owner of a limit should be asked for tokens at once.
    pub limits_urgent: Notify,
    /// Notified when the gate should send an unsolicited load report to the other nodes at once.
    pub unsolicited_report: Notify,
    /// Times from the arrival of calls at this entry to the heads of their responses, by class.
    pub call_times: ServiceTimes,
    /// Whether the node is shutting down.
    pub leaving: AtomicBool,
    /// Time in microseconds by which calls must end for their responses to be sent before the process ends.
    calls_end_at: AtomicU64,
    /// Cancelled when the node stops accepting connections of callers.
    pub stopping: CancellationToken,
    /// Requests and connections for which the shutdown waits.
    pub work: TaskTracker,
    started: Instant,
}

impl Shared {
    /// Creates the state of a node that has not joined yet, and the receiver of its queue.
    pub fn new(
        settings: ProcessSettings,
        dependencies: NodeDependencies,
        node: u64,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<QueueItem>) {
        let (queue, items) = QueueHandle::new();
        let tunables = ArcSwap::from_pointee(settings.tunables);
        let held_bytes = Arc::new(ByteBudget::new(settings.resources.buffer_bytes));
        let shared = Self {
            settings,
            node,
            routing_table: ArcSwap::default(),
            settings_tree: ArcSwap::default(),
            upstream: ArcSwapOption::empty(),
            admission: Admission::new(node),
            queue,
            quarantine: Quarantine::default(),
            leaving_upstream: watch::Sender::new(None),
            load_probe: LoadProbe::default(),
            cold_check: Notify::new(),
            hops: Hops::default(),
            attempt_sequence: AtomicU64::new(0),
            held_bytes,
            memory_log: TokenBucket::new(MEMORY_LOG_LINES_PER_SECOND, MEMORY_LOG_BURST),
            slot_holders: Holders::default(),
            probes: TokenBucket::new(DEFAULT_PROBES_PER_SECOND, DEFAULT_PROBES_PER_SECOND),
            inter_region_bytes: TokenBucket::new(
                DEFAULT_INTER_REGION_BYTES_PER_SECOND,
                DEFAULT_INTER_REGION_BYTES_PER_SECOND * INTER_REGION_BURST_SECONDS,
            ),
            store: dependencies.store,
            dialect: dependencies.dialect,
            tunables,
            metrics: Metrics::new(),
            has_settings: AtomicBool::new(false),
            settings_age: SettingsAge::default(),
            configuration_read: LastRead::default(),
            evacuations_read: LastRead::default(),
            confirms_settings: AtomicBool::new(true),
            substitute_until: AtomicU64::new(0),
            settings_overdue: Notify::new(),
            evacuations_in_force: watch::Sender::new(0),
            evacuations_overdue: Notify::new(),
            zone_reopening: Notify::new(),
            has_joined: AtomicBool::new(false),
            watch_rank: AtomicU64::new(0),
            needs_routes: dependencies.needs_routes,
            fleet_size: AtomicU64::new(1),
            limits: ArcSwap::default(),
            limits_urgent: Notify::new(),
            unsolicited_report: Notify::new(),
            call_times: ServiceTimes::default(),
            leaving: AtomicBool::new(false),
            calls_end_at: AtomicU64::new(u64::MAX),
            stopping: CancellationToken::new(),
            work: TaskTracker::new(),
            started: Instant::now(),
        };
        if let Some(timeout) = shared.settings.evacuation_timeout {
            shared.admission.gate.zone.require(timeout / EVACUATION_GAP_DIVISOR);
        }
        (Arc::new(shared), items)
    }

    /// Returns the time since the node started.
    pub fn now(&self) -> Tick {
        Tick(micros(self.started.elapsed()))
    }

    /// Whether the node can serve callers: it has settings and has joined the fleet.
    pub fn is_ready(&self) -> bool {
        let has_settings = if self.needs_routes {
            self.settings_tree.load().routes().is_some()
        } else {
            self.has_settings.load(Ordering::Relaxed)
        };
        has_settings && self.has_joined.load(Ordering::Relaxed)
    }

    /// Whether the node is shutting down.
    pub fn draining(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns the ages of the last reads of the store, for the other nodes.
    pub fn store_reads(&self) -> StoreReads {
        let now = self.now();
        StoreReads {
            configuration_age_ms: self.configuration_read.age_ms(now),
            evacuations_age_ms: self.evacuations_read.age_ms(now),
        }
    }

    /// Records the last reads of a node that holds the same settings.
    pub fn record_store_reads(&self, reads: &StoreReads) {
        let now = self.now();
        self.configuration_read.record_age_ms(now, reads.configuration_age_ms);
        self.evacuations_read.record_age_ms(now, reads.evacuations_age_ms);
    }

    /// Whether the node watches the store in the place of those that should.
    pub fn is_substitute(&self) -> bool {
        self.now().0 < self.substitute_until.load(Ordering::Relaxed)
    }

    /// Whether the node watches a kind that the first `watchers` nodes of each region watch.
    pub fn is_watcher(&self, watchers: u64) -> bool {
        self.watch_rank.load(Ordering::Relaxed) < watchers || self.is_substitute()
    }

    /// Records a read by this node, as of a time. If no node had read the kind for long, this one watches the store in
    /// the place of those that should.
    pub fn record_read(&self, read: &LastRead, at: Tick) {
        let now = self.now();
        if read.is_overdue(now) {
            self.substitute_until.store((now + SUBSTITUTE_TIME).0, Ordering::Relaxed);
        }
        read.record(at);
    }

    /// Returns the time for which the node waits for changes in one call to the store. One node of the fleet, or those that
    /// replace it, confirm within it that nothing changed.
    pub fn watch_wait(&self) -> Duration {
        let confirms = self.confirms_settings.load(Ordering::Relaxed) || self.is_substitute();
        if confirms { CONFIRMING_WATCH_WAIT } else { MAX_WATCH_WAIT }
    }

    /// Starts the shutdown: calls must end by a time.
    pub fn start_shutdown(&self, calls_end_at: Tick) {
        self.calls_end_at.store(calls_end_at.0, Ordering::SeqCst);
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns the time by which calls must end because the node shuts down; far in the future while it does not.
    pub fn calls_end_at(&self) -> Tick {
        Tick(self.calls_end_at.load(Ordering::SeqCst))
    }

    /// Whether a call of a class that starts now is expected to end before the process does.
    pub fn has_time_for(&self, class: u32) -> bool {
        !self.draining() || self.can_end(self.call_times.expected(class))
    }

    /// Whether work that starts now and takes this long ends before the process does.
    pub fn can_end(&self, expected: Duration) -> bool {
        self.now() + expected <= self.calls_end_at()
    }

    /// Counts and logs a holder that gives way because a bound is reached.
    pub fn record_eviction(&self, holder: &Holder) {
        Metrics::count(&self.metrics.evictions, holder.kind);
        if !self.memory_log.try_take(self.now(), 1) {
            return;
        }
        let (held, limit) = (self.held_bytes.held(), self.held_bytes.limit());
        log::info!(
            target: "memory", kind = holder.kind, bytes = holder.bytes(), held, limit;
            "holder that makes no progress gives way"
        );
    }

    /// Counts and logs bytes that are refused because their budget is used up.
    pub fn record_no_room(&self, kind: &'static str, request: &str) {
        Metrics::count(&self.metrics.buffer_refusals, kind);
        if !self.memory_log.try_take(self.now(), 1) {
            return;
        }
        let (held, limit) = (self.held_bytes.held(), self.held_bytes.limit());
        log::info!(
            target: "memory", request, kind, held, limit;
            "no memory left in the budget, refused"
        );
    }

    /// Converts a tick to an instant of the runtime.
    pub fn instant(&self, at: Tick) -> Instant {
        self.started + Duration::from_micros(at.0)
    }

    /// Returns the local member record in its first revision.
    pub fn initial_record(&self) -> MemberRecord {
        MemberRecord {
            node: self.node,
            revision: 1,
            health: crate::schema::Health::Alive,
            gate: self.settings.gate_advertise,
            control: self.settings.control_advertise,
            region: Arc::clone(&self.settings.region),
            zone: Arc::clone(&self.settings.zone),
            upstreams: Vec::new(),
        }
    }

    /// Returns the service of this host, to which calls from the host are attributed. It is empty
    /// if neither the settings nor an announcement of the upstream names one.
    pub fn local_service(&self) -> Arc<str> {
        let announced_service = || self.upstream.load().as_ref().map(|u| Arc::clone(&u.service));
        self.settings.service.clone().or_else(announced_service).unwrap_or_else(|| Arc::from(""))
    }

    /// Sets the node's retry reserve for each service: its equal share of the part of the fleet's
    /// reserve that is distributed, but at least one retry.
    pub fn update_retry_reserves(&self) {
        let reserve = u64::from(self.tunables.load().retry_reserve);
        let members = self.fleet_size.load(Ordering::Relaxed).max(1);
        let reserve_hundredths =
            (reserve * DISTRIBUTED_RESERVE_PERCENT / members).max(MIN_RESERVE_HUNDREDTHS);
        for service in self.routing_table.load().services() {
            service.state.retries.set_reserve(reserve_hundredths);
        }
    }

    /// Puts a settings tree in force, with the budgets of its region.
    pub fn apply_settings(&self, tree: SettingsTree) {
        let region = tree.region(&self.settings.region);
        let probes_per_second = u64::from(region.probes_per_second);
        self.probes.set(probes_per_second, probes_per_second);
        let inter_region_bytes_per_second = region.paid_bytes_per_second;
        self.inter_region_bytes.set(
            inter_region_bytes_per_second,
            inter_region_bytes_per_second * INTER_REGION_BURST_SECONDS,
        );
        let evacuations = tree.evacuations().cloned();
        self.settings_tree.store(Arc::new(tree));
        if let Some(evacuations) = evacuations {
            self.apply_evacuations(&evacuations);
        }
        self.update_warm_up_rate();
    }

    fn apply_evacuations(&self, evacuations: &EvacuatedZones) {
        let zone = &self.admission.gate.zone;
        if evacuations.contains(&self.settings.zone) {
            zone.evacuate();
            self.queue.wake();
            self.unsolicited_report.notify_one();
        } else if zone.end() {
            self.zone_reopening.notify_one();
        }
        self.evacuations_in_force.send_replace(evacuations.version);
    }

    /// Records that a peer or the store confirmed the evacuated zones in force at a request of `requested_at`.
    pub fn confirm_evacuations(&self, requested_at: Tick) {
        let tree = self.settings_tree.load();
        let is_in_service = tree.evacuations().is_some_and(|e| !e.contains(&self.settings.zone));
        if is_in_service && self.admission.gate.zone.confirm(requested_at) {
            self.zone_reopening.notify_one();
        }
    }

    /// Sets the rate that the local upstream tolerates while cold to that of its service.
    pub fn update_warm_up_rate(&self) {
        let upstream = self.upstream.load();
        let service = upstream.as_ref().map(|announced| &*announced.service);
        let tree = self.settings_tree.load();
        let rate = service.and_then(|service| tree.routes()?.warm_up_rate(service));
        self.admission.gate.stated_rate.set_warm_up(rate);
    }

    /// Returns the rate in force at the gate in requests per second; 0 stands for no limit.
    pub fn rate_limit(&self) -> f64 {
        self.admission.gate.stated_rate.in_force(self.now()).unwrap_or(0.0)
    }
}
