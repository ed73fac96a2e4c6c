//! Metrics of a node, in the Prometheus text format.

use {
    papaya::HashSet,
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::{fmt, sync::atomic::AtomicU64, time::Duration},
};

/// Label that distinguishes the cases of one counter.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Case {
    case: &'static str,
}

/// Labels of a call that ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct CallLabels {
    route: String,
    outcome: &'static str,
    reason: &'static str,
}

/// Labels of an attempt that ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct AttemptLabels {
    upstream: String,
    end: &'static str,
}

/// Labels of a workspace's calls that ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct WorkspaceLabels {
    workspace: String,
    outcome: &'static str,
}

/// Labels of a call that no upstream ran.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct NotRunLabels {
    service: String,
    reason: &'static str,
}

/// Labels of requests that left the entry's zone or region.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct DepartureLabels {
    route: String,
    left: &'static str,
    reason: &'static str,
}

/// Labels of the results of requests that left the entry's zone or region.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct DepartureEndLabels {
    route: String,
    left: &'static str,
    reason: &'static str,
    end: &'static str,
}

/// Maximum number of routes and upstreams, and of workspaces, with their own series; further ones share the series [`OTHER`].
const MAX_SERIES_NAMES: usize = 512;

/// Label value of the series that all names beyond [`MAX_SERIES_NAMES`] share.
const OTHER: &str = "other";

/// Upper bounds of the latency buckets in seconds. They start at 1 ms, the target for the added latency, and
/// end at several seconds, the longest that callers wait.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0];

/// Gauge of a rate per second.
pub type RateGauge = Gauge<f64, AtomicU64>;

/// Latency histograms by label set.
pub type Latencies<L> = Family<L, Histogram, fn() -> Histogram>;

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}

/// Latency histograms of calls and attempts, with a bounded number of series.
pub struct LatencyMetrics {
    calls: Latencies<CallLabels>,
    attempts: Latencies<AttemptLabels>,
    /// Routes and upstreams that have their own series.
    series_names: HashSet<String>,
}

impl fmt::Debug for LatencyMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LatencyMetrics")
            .field("names", &self.series_names.len())
            .finish_non_exhaustive()
    }
}

impl LatencyMetrics {
    fn register(registry: &mut Registry) -> Self {
        let calls = Latencies::new_with_constructor(latency_histogram as fn() -> Histogram);
        let attempts = Latencies::new_with_constructor(latency_histogram as fn() -> Histogram);
        let help = "Time from a caller's request to its outcome, by route, outcome and reason";
        registry.register("call_seconds", help, calls.clone());
        let help = "Time from sending an attempt to its end, by address of the gate and by result";
        registry.register("attempt_seconds", help, attempts.clone());
        Self { calls, attempts, series_names: HashSet::new() }
    }

    /// Records the duration of a call that ended.
    pub fn record_call(
        &self,
        route: &str,
        outcome: &'static str,
        reason: &'static str,
        duration: Duration,
    ) {
        let labels = CallLabels { route: self.series_name(route), outcome, reason };
        self.calls.get_or_create(&labels).observe(duration.as_secs_f64());
    }

    /// Records the duration of an attempt that ended.
    pub fn record_attempt(&self, upstream: &str, end: &'static str, duration: Duration) {
        let labels = AttemptLabels { upstream: self.series_name(upstream), end };
        self.attempts.get_or_create(&labels).observe(duration.as_secs_f64());
    }

    fn series_name(&self, name: &str) -> String {
        bounded_name(&self.series_names, name)
    }
}

/// Counters of calls by workspace and outcome, with a bounded number of series.
#[derive(Debug, Default)]
pub struct WorkspaceMetrics {
    calls: Family<WorkspaceLabels, Counter>,
    /// Workspaces that have their own series.
    names: HashSet<String>,
}

impl WorkspaceMetrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Calls of callers with a key, by workspace and outcome; those that its limit refused have the outcome limit";
        registry.register("workspace_calls", help, metrics.calls.clone());
        metrics
    }

    /// Counts a call that ended.
    pub fn count(&self, workspace: &str, outcome: &'static str) {
        let workspace = bounded_name(&self.names, workspace);
        self.calls.get_or_create(&WorkspaceLabels { workspace, outcome }).inc();
    }
}

/// Counters of attempts that left the entry's zone or region, with a bounded number of series.
#[derive(Debug, Default)]
pub struct DepartureMetrics {
    ends: Family<DepartureEndLabels, Counter>,
    bytes: Family<DepartureLabels, Counter>,
    /// Routes that have their own series.
    names: HashSet<String>,
}

impl DepartureMetrics {
    fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Attempts outside the entry's zone that ended, by route, what they left, reason and result";
        registry.register("left_zone", help, metrics.ends.clone());
        let help =
            "Bytes of these attempts' bodies in both directions, as far as their length was known";
        registry.register("left_zone_bytes", help, metrics.bytes.clone());
        metrics
    }

    /// Counts an attempt that ended: what it left (zone or region), why, its result and its bytes.
    pub fn record(
        &self,
        route: &str,
        left: &'static str,
        reason: &'static str,
        end: &'static str,
        bytes: u64,
    ) {
        let route = bounded_name(&self.names, route);
        let labels = DepartureLabels { route: route.clone(), left, reason };
        self.bytes.get_or_create(&labels).inc_by(bytes);
        self.ends.get_or_create(&DepartureEndLabels { route, left, reason, end }).inc();
    }
}

/// Returns a label value: the name, or [`OTHER`] if `names` has [`MAX_SERIES_NAMES`] others.
fn bounded_name(names: &HashSet<String>, name: &str) -> String {
    let names = names.pin();
    if names.contains(name) {
        return name.to_owned();
    }
    if names.len() >= MAX_SERIES_NAMES {
        return OTHER.to_owned();
    }
    names.insert(name.to_owned());
    name.to_owned()
}

/// Counters by case.
pub type Cases = Family<Case, Counter>;

macro_rules! metrics {
    ($($(#[doc = $doc:literal])+ $name:ident: $kind:ty,)*) => {
        /// All counters and gauges of a node.
        pub struct Metrics {
            registry: Registry,
            /// Latencies of calls and attempts.
            pub latencies: LatencyMetrics,
            /// Calls by workspace.
            pub workspaces: WorkspaceMetrics,
            /// Attempts outside the entry's zone.
            pub departures: DepartureMetrics,
            $($(#[doc = $doc])+ pub $name: $kind,)*
        }

        impl Metrics {
            /// Creates metrics with all counters and gauges at zero.
            pub fn new() -> Self {
                let mut registry = Registry::with_prefix("pistachiolane");
                $(
                    let $name = <$kind>::default();
                    let help = concat!($($doc),+).trim().trim_end_matches('.');
                    registry.register(stringify!($name), help, $name.clone());
                )*
                let latencies = LatencyMetrics::register(&mut registry);
                let workspaces = WorkspaceMetrics::register(&mut registry);
                let departures = DepartureMetrics::register(&mut registry);
                Self { registry, latencies, workspaces, departures, $($name,)* }
            }
        }
    };
}

metrics! {
    /// Calls that ended, by outcome.
    calls: Cases,
    /// Calls that no upstream ran, by service and reason; `throttled` for those rejected before an attempt.
    calls_not_run: Family<NotRunLabels, Counter>,
    /// Attempts sent to gates.
    attempts: Counter,
    /// Attempts that gates refused or that could not be sent, by reason.
    refused: Cases,
    /// Calls that no upstream ran because their regions have no usable upstream or none is allowed, by reason.
    region_refusals: Cases,
    /// Attempts whose response was lost.
    lost: Counter,
    /// Attempts that repeat a request which may have run.
    retries: Counter,
    /// Hedges, which are second attempts of slow idempotent calls.
    hedges: Counter,
    /// Calls whose hedge responded first.
    hedges_won: Counter,
    /// Settlement requests to gates, by result.
    settled: Cases,
    /// Crashes of the local upstream while it ran requests.
    upstream_crashes: Counter,
    /// Load probes sent.
    probes: Counter,
    /// Load probes sent to the local upstream.
    upstream_probes: Counter,
    /// Ejections of upstreams because of their service time.
    ejections: Counter,
    /// Attempts that this node's gate ran.
    gate_runs: Counter,
    /// Attempts that this node's gate refused, by reason.
    gate_refusals: Cases,
    /// Gossip packets sent.
    packets_sent: Counter,
    /// Gossip bytes sent.
    packet_bytes_sent: Counter,
    /// Gossip bytes sent to other regions.
    remote_packet_bytes_sent: Counter,
    /// Gossip packets received.
    packets_received: Counter,
    /// Packets, frames and headers from other nodes that could not be parsed or authenticated.
    malformed: Counter,
    /// Calls to the platform's store, by result.
    store_calls: Cases,
    /// Reads of the store because no node had read it lately, by kind.
    overdue_reads: Cases,
    /// Changes of settings requested at this node, by outcome.
    changes: Cases,
    /// Live members in the node's membership view.
    members: Gauge,
    /// Observations of requests suspected of crashing upstreams, as known to this node.
    suspects: Gauge,
    /// Milliseconds since a peer or the store last confirmed the settings in force.
    settings_age_ms: Gauge,
    /// Evacuated availability zones, as known to this node.
    evacuated_zones: Gauge,
    /// Evacuations of zones that came into force or ended at this node, by case.
    evacuation_changes: Cases,
    /// Requests per second that the local upstream states to accept; 0 while it states no limit.
    upstream_rate_limit: RateGauge,
    /// Requests per second that the local upstream tolerates while cold; 0 while it isn't cold or there is no limit.
    upstream_cold_rate: RateGauge,
    /// Statements and lost connections from which the local upstream was taken to be cold, by source.
    upstream_cold: Cases,
    /// Requests checked against the limit of a workspace, by result: granted, ahead of a report or refused; and tokens
    /// returned by requests that were not run, and taken by further attempts.
    limit_checks: Cases,
    /// Requests refused by the limit of a workspace, by what last set the number of requests that may be sent ahead of
    /// a report: with `suspicion`, `silence`, `owner-lost` or `pause`, the entry has not heard the owner since.
    limit_refusals: Cases,
    /// Limits that this node owns.
    limits_owned: Gauge,
    /// Bytes held for peers: bodies of requests, and responses that are not taken yet.
    held_bytes: Gauge,
    /// Open connections that other processes have made to this one, by listener.
    connections: Family<Case, Gauge>,
    /// Bodies and connections ended because a bound on memory, slots or connections was reached and they made no progress,
    /// by kind.
    evictions: Cases,
    /// Requests refused because the memory for bodies is used up, by what needed it.
    buffer_refusals: Cases,
    /// Invariant violations since the process started.
    invariant_violations: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Increments the counter of a case.
    pub fn count(cases: &Cases, case: &'static str) {
        cases.get_or_create(&Case { case }).inc();
    }

    /// Returns the gauge of a case.
    pub fn gauge(cases: &Family<Case, Gauge>, case: &'static str) -> Gauge {
        cases.get_or_create(&Case { case }).clone()
    }

    /// Returns the count of a case.
    pub fn get(cases: &Cases, case: &'static str) -> u64 {
        cases.get_or_create(&Case { case }).get()
    }

    /// Counts a call that no upstream ran.
    pub fn count_not_run(&self, service: &str, reason: &'static str) {
        let labels = NotRunLabels { service: service.to_owned(), reason };
        self.calls_not_run.get_or_create(&labels).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Fails if the metrics can't be encoded.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
