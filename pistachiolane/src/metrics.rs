//! Metrics of a node, exported in the Prometheus text format.

use {
    papaya::HashSet,
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::{fmt, time::Duration},
};

/// Label that distinguishes the cases of one counter.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Case {
    case: &'static str,
}

/// Labels of a completed call.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct CallLabels {
    route: String,
    outcome: &'static str,
    reason: &'static str,
}

/// Labels of a completed attempt.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct AttemptLabels {
    upstream: String,
    end: &'static str,
}

/// Maximum number of routes and upstreams with a series of their own; all others share one.
const MAX_NAMED_SERIES: usize = 512;

/// Label value shared by all names beyond `MAX_NAMED_SERIES`.
const OTHER_NAMES: &str = "other";

/// Upper bounds of the buckets in seconds. The target for added latency is 1 ms, and callers wait for a few
/// seconds at most.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0];

/// One latency histogram for each set of labels.
pub type HistogramFamily<L> = Family<L, Histogram, fn() -> Histogram>;

fn new_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}

/// Latency histograms of calls and attempts with a bounded number of series.
pub struct LatencyMetrics {
    calls: HistogramFamily<CallLabels>,
    attempts: HistogramFamily<AttemptLabels>,
    names: HashSet<String>,
}

impl fmt::Debug for LatencyMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LatencyMetrics").field("names", &self.names.len()).finish_non_exhaustive()
    }
}

impl LatencyMetrics {
    fn register(registry: &mut Registry) -> Self {
        let calls = HistogramFamily::new_with_constructor(new_histogram as fn() -> Histogram);
        let attempts = HistogramFamily::new_with_constructor(new_histogram as fn() -> Histogram);
        let help =
            "Time from receiving a caller's request to its outcome, by route, outcome and reason";
        registry.register("call_seconds", help, calls.clone());
        let help =
            "Time from sending an attempt to its end, by the gate of the upstream and how it ended";
        registry.register("attempt_seconds", help, attempts.clone());
        Self { calls, attempts, names: HashSet::new() }
    }

    /// Records the duration of a completed call.
    pub fn record_call(
        &self,
        route: &str,
        outcome: &'static str,
        reason: &'static str,
        time: Duration,
    ) {
        let labels = CallLabels { route: self.bounded_label(route), outcome, reason };
        self.calls.get_or_create(&labels).observe(time.as_secs_f64());
    }

    /// Records the duration of a completed attempt.
    pub fn record_attempt(&self, upstream: &str, end: &'static str, time: Duration) {
        let labels = AttemptLabels { upstream: self.bounded_label(upstream), end };
        self.attempts.get_or_create(&labels).observe(time.as_secs_f64());
    }

    /// Returns the label value for a name, which is `OTHER_NAMES` once `MAX_NAMED_SERIES` is reached.
    fn bounded_label(&self, name: &str) -> String {
        let names = self.names.pin();
        if names.contains(name) {
            return name.to_owned();
        }
        if names.len() >= MAX_NAMED_SERIES {
            return OTHER_NAMES.to_owned();
        }
        names.insert(name.to_owned());
        name.to_owned()
    }
}

/// One counter for each of a few named cases.
pub type CaseCounters = Family<Case, Counter>;

macro_rules! metrics {
    ($($(#[doc = $doc:literal])+ $name:ident: $kind:ty,)*) => {
        /// All metrics of a node.
        pub struct Metrics {
            registry: Registry,
            /// Latency histograms of calls and attempts.
            pub latencies: LatencyMetrics,
            $($(#[doc = $doc])+ pub $name: $kind,)*
        }

        impl Metrics {
            /// Registers all metrics, with counters at zero.
            pub fn new() -> Self {
                let mut registry = Registry::with_prefix("pistachiolane");
                $(
                    let $name = <$kind>::default();
                    let help = concat!($($doc),+).trim().trim_end_matches('.');
                    registry.register(stringify!($name), help, $name.clone());
                )*
                let latencies = LatencyMetrics::register(&mut registry);
                Self { registry, latencies, $($name,)* }
            }
        }
    };
}

metrics! {
    /// Completed calls, by outcome.
    calls: CaseCounters,
    /// Attempts sent to gates.
    attempts: Counter,
    /// Attempts refused by gates, by reason.
    refused: CaseCounters,
    /// Attempts whose response was lost.
    lost: Counter,
    /// Retries of work that may already have run.
    retries: Counter,
    /// Hedges: second attempts sent while the first of a slow idempotent call is still in flight.
    hedges: Counter,
    /// Calls whose hedge returned the first response.
    hedges_won: Counter,
    /// Attempts settled with a gate, by the gate's reply.
    settled: CaseCounters,
    /// Load probes sent.
    probes: Counter,
    /// Upstreams ejected because of high latency.
    ejections: Counter,
    /// Attempts that this node's gate ran.
    gate_runs: Counter,
    /// Attempts that this node's gate refused, by reason.
    gate_refusals: CaseCounters,
    /// Gossip packets sent.
    packets_sent: Counter,
    /// Gossip bytes sent.
    packet_bytes_sent: Counter,
    /// Gossip bytes sent to other regions.
    remote_packet_bytes_sent: Counter,
    /// Gossip packets received.
    packets_received: Counter,
    /// Packets, frames and headers from other nodes that could not be decoded or authenticated.
    malformed: Counter,
    /// Calls to the platform's object store, by result.
    store_calls: CaseCounters,
    /// Settings changes requested at this node, by outcome.
    changes: CaseCounters,
    /// Live members known to this node.
    members: Gauge,
    /// Detected invariant violations.
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
    pub fn count(cases: &CaseCounters, case: &'static str) {
        cases.get_or_create(&Case { case }).inc();
    }

    /// Returns the count of a case.
    pub fn get(cases: &CaseCounters, case: &'static str) -> u64 {
        cases.get_or_create(&Case { case }).get()
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Fails when a metric cannot be encoded.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
