//! How a message fares: delays, losses, doubles, and connections that fall silent.

use {
    rand::{RngExt, rngs::SmallRng},
    std::{collections::HashMap, time::Duration},
};

/// Time after which an entry notices that a connection is silent.
pub const SILENCE: Duration = Duration::from_millis(1_500);

/// Shares of messages that go wrong, in permille.
#[derive(Clone, Copy, Debug)]
pub struct Odds {
    /// Lost.
    pub lost: u32,
    /// Delivered seconds late.
    pub late: u32,
    /// Delivered twice.
    pub doubled: u32,
}

/// Odds of messages on connections.
pub const CONNECTION_ODDS: Odds = Odds { lost: 8, late: 8, doubled: 5 };

/// Odds of datagrams.
pub const DATAGRAM_ODDS: Odds = Odds { lost: 30, late: 5, doubled: 10 };

/// Times at which a message arrives; empty when it is lost.
pub fn arrivals(rng: &mut SmallRng, odds: Odds, far: bool) -> Vec<Duration> {
    let draw = rng.random_range(0..1_000);
    if draw < odds.lost {
        return Vec::new();
    }
    let late = draw < odds.lost + odds.late;
    let mut arrivals = vec![delay(rng, far, late)];
    if rng.random_range(0..1_000) < odds.doubled {
        let again_late = rng.random_bool(0.5);
        arrivals.push(delay(rng, far, again_late));
    }
    arrivals
}

fn delay(rng: &mut SmallRng, far: bool, late: bool) -> Duration {
    let usual_us = if far { 30_000..34_000 } else { 100..2_000 };
    let usual = Duration::from_micros(rng.random_range(usual_us));
    if late { usual + Duration::from_millis(rng.random_range(100..6_000)) } else { usual }
}

/// Numbers of the connections from entries to gates; a lost one is followed by a higher number.
#[derive(Debug, Default)]
pub struct Connections {
    open: HashMap<(u64, u64), u64>,
    last: u64,
}

impl Connections {
    /// Number of the open connection between two nodes.
    pub fn number(&mut self, entry: u64, gate: u64) -> u64 {
        let last = &mut self.last;
        *self.open.entry((entry, gate)).or_insert_with(|| {
            *last += 1;
            *last
        })
    }

    /// Gives a connection up.
    pub fn retire(&mut self, entry: u64, gate: u64) {
        self.open.remove(&(entry, gate));
    }
}
