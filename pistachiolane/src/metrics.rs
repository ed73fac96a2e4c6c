//! Counters of a node, in the Prometheus text format.

use {
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::fmt,
};

/// Label that tells apart the cases of one counter.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Case {
    case: &'static str,
}

/// A counter for each of a few named cases.
pub type Cases = Family<Case, Counter>;

macro_rules! metrics {
    ($($(#[doc = $doc:literal])+ $name:ident: $kind:ty,)*) => {
        /// All counters and gauges of a node.
        pub struct Metrics {
            registry: Registry,
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
                Self { registry, $($name,)* }
            }
        }
    };
}

metrics! {
    /// Calls of callers that ended, by outcome.
    calls: Cases,
    /// Attempts sent to gates.
    attempts: Counter,
    /// Attempts refused by gates, by reason.
    refused: Cases,
    /// Attempts whose answer was lost.
    lost: Counter,
    /// Attempts that repeat work which may have run.
    retries: Counter,
    /// Second attempts in flight of a slow idempotent call.
    hedges: Counter,
    /// Calls whose hedge answered first.
    hedges_won: Counter,
    /// Attempts settled with a gate, by answer.
    settled: Cases,
    /// Load probes sent.
    probes: Counter,
    /// Upstreams ejected for their latency.
    ejections: Counter,
    /// Attempts that the gate ran.
    gate_runs: Counter,
    /// Attempts that the gate refused, by reason.
    gate_refusals: Cases,
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
    store_calls: Cases,
    /// Changes of settings asked for at this node, by outcome.
    changes: Cases,
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
    pub fn count(cases: &Cases, case: &'static str) {
        cases.get_or_create(&Case { case }).inc();
    }

    /// Count of a named case.
    pub fn get(cases: &Cases, case: &'static str) -> u64 {
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
