//! Policies that choose the upstream of a call.

use {
    super::upstreams::Upstream,
    rand::{RngExt, rngs::SmallRng},
    std::time::Duration,
};

/// Policy by which a call's upstream is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The node's decision code with all its features.
    Pistachiolane,
    /// The node's decision code without hedges.
    Unhedged,
    /// All upstreams in turn.
    RoundRobin,
    /// A random upstream.
    Random,
    /// The less loaded of two random upstreams, by load reports of a fixed staleness.
    TwoChoices,
    /// The upstream with the fewest outstanding requests from this entry.
    LeastOutstanding,
    /// The upstream with the lowest expected latency, from its exact current queue length and service time.
    Oracle,
}

impl Policy {
    /// All policies, the node's decision code first.
    pub const ALL: [Self; 7] = [
        Self::Pistachiolane,
        Self::Unhedged,
        Self::RoundRobin,
        Self::Random,
        Self::TwoChoices,
        Self::LeastOutstanding,
        Self::Oracle,
    ];

    /// Whether the policy runs the node's decision code.
    pub fn uses_engine(self) -> bool {
        matches!(self, Self::Pistachiolane | Self::Unhedged)
    }

    /// Returns the name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Pistachiolane => "pistachiolane",
            Self::Unhedged => "unhedged",
            Self::RoundRobin => "round-robin",
            Self::Random => "random",
            Self::TwoChoices => "two-choices",
            Self::LeastOutstanding => "least-outstanding",
            Self::Oracle => "oracle",
        }
    }
}

/// State of the baseline policies.
#[derive(Debug)]
pub struct BaselineState {
    last_turn: usize,
    /// Load of each upstream as last reported to all entries.
    pub reported: Vec<usize>,
    /// Number of outstanding requests by entry and upstream.
    pub outstanding: Vec<Vec<usize>>,
}

impl BaselineState {
    /// Creates the state before any request or load report.
    pub fn new(entries: usize, upstreams: usize) -> Self {
        let outstanding = vec![vec![0; upstreams]; entries];
        Self { last_turn: 0, reported: vec![0; upstreams], outstanding }
    }

    /// Chooses an upstream for an entry; `round_trip` returns the round-trip time to an upstream.
    ///
    /// For the policies that run the node's decision code, the choice is random.
    pub fn choose(
        &mut self,
        policy: Policy,
        rng: &mut SmallRng,
        entry: usize,
        upstreams: &[Upstream],
        round_trip: impl Fn(usize) -> Duration,
    ) -> usize {
        let count = upstreams.len();
        match policy {
            Policy::RoundRobin => {
                self.last_turn += 1;
                self.last_turn % count
            }
            Policy::TwoChoices => {
                let (a, b) = (rng.random_range(0..count), rng.random_range(0..count));
                if self.reported[a] <= self.reported[b] { a } else { b }
            }
            Policy::LeastOutstanding => {
                let outstanding = &self.outstanding[entry];
                let least = outstanding.iter().min().copied().unwrap_or(0);
                let ties: Vec<usize> = (0..count).filter(|&u| outstanding[u] == least).collect();
                ties[rng.random_range(0..ties.len())]
            }
            Policy::Oracle => (0..count)
                .min_by_key(|&u| upstreams[u].expected_latency() + round_trip(u))
                .unwrap_or(0),
            Policy::Random | Policy::Pistachiolane | Policy::Unhedged => rng.random_range(0..count),
        }
    }
}
