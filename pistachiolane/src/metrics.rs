//! Counters of a node, in the Prometheus text format.

use {
    papaya::HashSet,
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::{fmt, time::Duration},
};

/// Label that tells apart the cases of one counter.
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

/// Routes and upstreams that have series of their own; the rest share one.
const MAX_NAMES: usize = 512;

/// Name of the series that all names beyond the bound share.
const OTHER: &str = "other";

/// Buckets in seconds: a millisecond added is the target, and callers wait for seconds at most.
const BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0];

/// A latency histogram for each set of labels.
pub type HistogramFamily<L> = Family<L, Histogram, fn() -> Histogram>;

fn histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

/// Histograms of calls and attempts, with a bounded number of series.
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
        let calls = HistogramFamily::new_with_constructor(histogram as fn() -> Histogram);
        let attempts = HistogramFamily::new_with_constructor(histogram as fn() -> Histogram);
        let help = "Time from a caller's request to its outcome, by route, outcome and reason";
        registry.register("call_seconds", help, calls.clone());
        let help = "Time from an attempt to its end, by the upstream's gate and the end";
        registry.register("attempt_seconds", help, attempts.clone());
        Self { calls, attempts, names: HashSet::new() }
    }

    /// Takes a call that ended.
    pub fn record_call(
        &self,
        route: &str,
        outcome: &'static str,
        reason: &'static str,
        time: Duration,
    ) {
        let labels = CallLabels { route: self.name(route), outcome, reason };
        self.calls.get_or_create(&labels).observe(time.as_secs_f64());
    }

    /// Takes an attempt that ended.
    pub fn record_attempt(&self, upstream: &str, end: &'static str, time: Duration) {
        let labels = AttemptLabels { upstream: self.name(upstream), end };
        self.attempts.get_or_create(&labels).observe(time.as_secs_f64());
    }

    fn name(&self, name: &str) -> String {
        let names = self.names.pin();
        if names.contains(name) {
            return name.to_owned();
        }
        if names.len() >= MAX_NAMES {
            return OTHER.to_owned();
        }
        names.insert(name.to_owned());
        name.to_owned()
    }
}

/// A counter for each of a few named cases.
pub type CaseCounters = Family<Case, Counter>;

macro_rules! metrics {
    ($($(#[doc = $doc:literal])+ $name:ident: $kind:ty,)*) => {
        /// All counters and gauges of a node.
        pub struct Metrics {
            registry: Registry,
            /// HistogramFamily of calls and attempts.
            pub latencies: LatencyMetrics,
            $($(#[doc = $doc])+ pub $name: $kind,)*
        }

        impl Metrics {
            /// Counters at zero.
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
    /// Calls of callers that ended, by outcome.
    calls: CaseCounters,
    /// Attempts sent to gates.
    attempts: Counter,
    /// Attempts refused by gates, by reason.
    refused: CaseCounters,
    /// Attempts whose answer was lost.
    lost: Counter,
    /// Attempts that repeat work which may have run.
    retries: Counter,
    /// Second attempts in flight of a slow idempotent call.
    hedges: Counter,
    /// Calls whose hedge answered first.
    hedges_won: Counter,
    /// Attempts settled with a gate, by answer.
    settled: CaseCounters,
    /// Load probes sent.
    probes: Counter,
    /// Upstreams ejected for their latency.
    ejections: Counter,
    /// Attempts that the gate ran.
    gate_runs: Counter,
    /// Attempts that the gate refused, by reason.
    gate_refusals: CaseCounters,
    /// Gossip packets sent.
    packets_sent: Counter,
    /// Gossip bytes sent.
    packet_bytes_sent: Counter,
    /// Gossip bytes sent to other regions.
    remote_packet_bytes_sent: Counter,
    /// Gossip packets received.
    packets_received: Counter,
    /// Packets, frames and headers from nodes that could not be read or authenticated.
    malformed: Counter,
    /// Calls of the platform's store, by result.
    store_calls: CaseCounters,
    /// Changes of settings asked for at this node, by outcome.
    changes: CaseCounters,
    /// Living members known.
    members: Gauge,
    /// Invariants found violated.
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
    /// Counts one of a named case.
    pub fn count(cases: &CaseCounters, case: &'static str) {
        cases.get_or_create(&Case { case }).inc();
    }

    /// Count of a named case.
    pub fn get(cases: &CaseCounters, case: &'static str) -> u64 {
        cases.get_or_create(&Case { case }).get()
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Fails when the text cannot be written.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
