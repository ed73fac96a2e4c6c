//! What the tasks of a node share: atomics and tables that are replaced whole.

use {
    super::{
        dialect::Dialect,
        hop::Hops,
        queue_task::{QueueHandle, QueueItem},
    },
    crate::{
        attempt::Admission,
        config::SettingsTree,
        limits::TokenBucket,
        metrics::Metrics,
        routing::RoutingTable,
        schema::{Announcement, MemberRecord},
        settings::{ProcessSettings, Tunables},
        store::Store,
        tick::{Tick, micros},
    },
    arc_swap::{ArcSwap, ArcSwapOption},
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    tokio::{
        sync::{Notify, mpsc},
        time::{Duration, Instant},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Seconds of paid bytes that may be spent at once.
const PAID_BURST_SECONDS: u64 = 1;

/// Rate of paid bytes until the settings name one.
const DEFAULT_PAID_BYTES: u64 = 1_048_576;

/// Rate of probes until the settings name one.
const DEFAULT_PROBES: u64 = 20;

/// Share of the fleet's reserve that is given out, in percent; the rest covers calls that repeats make.
const RESERVE_PERCENT: u64 = 75;

/// Smallest reserve of a node in hundredths of a retry: less than one would never allow any.
const MIN_RESERVE: u64 = 100;

/// What an adapter gives that all tasks share.
#[derive(Debug)]
pub struct NodeDependencies {
    /// The platform's store.
    pub store: Store,
    /// Headers of callers and upstreams.
    pub dialect: Dialect,
    /// Whether the node is ready only with routes in force.
    pub needs_routes: bool,
}

/// State that the threads of a node use at once.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the process.
    pub settings: ProcessSettings,
    /// Identity of this run.
    pub node: u64,
    /// Upstreams of all services.
    pub table: ArcSwap<RoutingTable>,
    /// Settings of services and regions.
    pub tree: ArcSwap<SettingsTree>,
    /// The upstream beside the node, as it announced itself.
    pub upstream: ArcSwapOption<Announcement>,
    /// Admission to the upstream.
    pub admission: Admission,
    /// Attempts waiting for a slot.
    pub queue: QueueHandle,
    /// Connections to other gates.
    pub hops: Hops,
    /// Numbers of this entry's attempts.
    pub attempts: AtomicU64,
    /// Budget of load probes.
    pub probes: TokenBucket,
    /// Budget of bytes to other regions.
    pub inter_region_bytes: TokenBucket,
    /// The platform's store.
    pub store: Store,
    /// Headers of callers and upstreams.
    pub dialect: Dialect,
    /// Settings that change while the node runs.
    pub tunables: ArcSwap<Tunables>,
    /// Counters.
    pub metrics: Metrics,
    /// Whether the node holds the newest settings that anyone could name.
    pub has_settings: AtomicBool,
    /// Whether the node knows the fleet.
    pub has_joined: AtomicBool,
    /// Living members of the region before the node in the order in which they watch the store.
    pub watch_rank: AtomicU64,
    /// Whether the node is ready only with routes in force.
    pub needs_routes: bool,
    /// UpstreamEventRequest when other nodes should hear of the gate's load at once.
    pub unsolicited_report: Notify,
    /// Set when the gate takes no new work because the node leaves.
    pub leaving: AtomicBool,
    /// Set when the node accepts no more connections of callers.
    pub stopping: CancellationToken,
    /// Requests and connections that a stop waits for.
    pub work: TaskTracker,
    started: Instant,
}

impl Shared {
    /// State of a node that has not joined yet, and the receiving end of its queue.
    pub fn new(
        settings: ProcessSettings,
        dependencies: NodeDependencies,
        node: u64,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<QueueItem>) {
        let (queue, items) = QueueHandle::new();
        let tunables = ArcSwap::from_pointee(settings.tunables);
        let shared = Self {
            settings,
            node,
            table: ArcSwap::default(),
            tree: ArcSwap::default(),
            upstream: ArcSwapOption::empty(),
            admission: Admission::new(node),
            queue,
            hops: Hops::default(),
            attempts: AtomicU64::new(0),
            probes: TokenBucket::new(DEFAULT_PROBES, DEFAULT_PROBES),
            inter_region_bytes: TokenBucket::new(
                DEFAULT_PAID_BYTES,
                DEFAULT_PAID_BYTES * PAID_BURST_SECONDS,
            ),
            store: dependencies.store,
            dialect: dependencies.dialect,
            tunables,
            metrics: Metrics::new(),
            has_settings: AtomicBool::new(false),
            has_joined: AtomicBool::new(false),
            watch_rank: AtomicU64::new(0),
            needs_routes: dependencies.needs_routes,
            unsolicited_report: Notify::new(),
            leaving: AtomicBool::new(false),
            stopping: CancellationToken::new(),
            work: TaskTracker::new(),
            started: Instant::now(),
        };
        (Arc::new(shared), items)
    }

    /// Time since the node started.
    pub fn now(&self) -> Tick {
        Tick(micros(self.started.elapsed()))
    }

    /// Whether the node can serve callers: it knows the settings and the fleet.
    pub fn is_ready(&self) -> bool {
        let settings = if self.needs_routes {
            self.tree.load().routes().is_some()
        } else {
            self.has_settings.load(Ordering::Relaxed)
        };
        settings && self.has_joined.load(Ordering::Relaxed)
    }

    /// Whether the node is leaving.
    pub fn draining(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// The runtime's instant of a tick.
    pub fn instant(&self, at: Tick) -> Instant {
        self.started + Duration::from_micros(at.0)
    }

    /// The node's own member record at its first revision.
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

    /// The service of the host, which callers on it are taken for.
    pub fn local_service(&self) -> Arc<str> {
        let announced = || self.upstream.load().as_ref().map(|u| Arc::clone(&u.service));
        self.settings.service.clone().or_else(announced).unwrap_or_else(|| Arc::from(""))
    }

    /// Shares the fleet's reserve of retries out among its members.
    pub fn update_retry_reserves(&self) {
        let reserve = u64::from(self.tunables.load().retry_reserve);
        let members = u64::try_from(self.metrics.members.get()).unwrap_or(1).max(1);
        let hundredths = (reserve * RESERVE_PERCENT / members).max(MIN_RESERVE);
        for service in self.table.load().services() {
            service.state.retries.set_reserve(hundredths);
        }
    }

    /// Puts a settings tree in force.
    pub fn apply_settings(&self, tree: SettingsTree) {
        let region = tree.region(&self.settings.region);
        let probes = u64::from(region.probes_per_second);
        self.probes.set(probes, probes);
        let paid = region.paid_bytes_per_second;
        self.inter_region_bytes.set(paid, paid * PAID_BURST_SECONDS);
        self.tree.store(Arc::new(tree));
    }
}
