//! Who chooses the upstream.

use {
    super::upstreams::Upstream,
    rand::{RngExt, rngs::SmallRng},
    std::time::Duration,
};

/// A way to choose an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The node's decision code, whole.
    Pistachiolane,
    /// The same without hedges.
    Unhedged,
    /// In turn.
    RoundRobin,
    /// At random.
    Random,
    /// The lower of two by reports of a fixed staleness.
    TwoChoices,
    /// The fewest outstanding of the entry alone.
    LeastOutstanding,
    /// Sees every queue and every speed at this moment.
    Oracle,
}

impl Policy {
    /// All policies, the node's own first.
    pub const ALL: [Self; 7] = [
        Self::Pistachiolane,
        Self::Unhedged,
        Self::RoundRobin,
        Self::Random,
        Self::TwoChoices,
        Self::LeastOutstanding,
        Self::Oracle,
    ];

    /// Whether it is the node's decision code.
    pub fn uses_engine(self) -> bool {
        matches!(self, Self::Pistachiolane | Self::Unhedged)
    }

    /// Name in reports.
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

/// What the simple policies go by.
#[derive(Debug)]
pub struct BaselineState {
    turn: usize,
    /// Loads as last reported to everybody.
    pub reported: Vec<usize>,
    /// Outstanding of each entry at each upstream.
    pub outstanding: Vec<Vec<usize>>,
}

impl BaselineState {
    /// Nothing reported yet.
    pub fn new(entries: usize, upstreams: usize) -> Self {
        let outstanding = vec![vec![0; upstreams]; entries];
        Self { turn: 0, reported: vec![0; upstreams], outstanding }
    }

    /// Chooses an upstream for an entry; `round_trip` is the link's.
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
                self.turn += 1;
                self.turn % count
            }
            Policy::TwoChoices => {
                let (a, b) = (rng.random_range(0..count), rng.random_range(0..count));
                if self.reported[a] <= self.reported[b] { a } else { b }
            }
            Policy::LeastOutstanding => {
                let own = &self.outstanding[entry];
                let least = own.iter().min().copied().unwrap_or(0);
                let ties: Vec<usize> = (0..count).filter(|&u| own[u] == least).collect();
                ties[rng.random_range(0..ties.len())]
            }
            Policy::Oracle => (0..count)
                .min_by_key(|&u| upstreams[u].expected_latency() + round_trip(u))
                .unwrap_or(0),
            Policy::Random | Policy::Pistachiolane | Policy::Unhedged => rng.random_range(0..count),
        }
    }
}
