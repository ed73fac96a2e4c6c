//! Simulated network: message delay, loss and duplication, and connections that stop responding.

use {
    rand::{RngExt, rngs::SmallRng},
    std::{collections::HashMap, time::Duration},
};

/// Time after which an entry detects that a connection no longer responds.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Rates of message faults, in permille.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// Messages lost.
    pub lost: u32,
    /// Messages delayed by an additional 0.1 to 6 seconds.
    pub delayed: u32,
    /// Messages delivered twice.
    pub duplicated: u32,
}

/// Fault rates of messages on connections.
pub const CONNECTION_FAULTS: FaultRates = FaultRates { lost: 8, delayed: 8, duplicated: 5 };

/// Fault rates of datagrams.
pub const DATAGRAM_FAULTS: FaultRates = FaultRates { lost: 30, delayed: 5, duplicated: 10 };

/// Returns the delay of each delivery of a message; empty if the message is lost.
pub fn arrival_delays(rng: &mut SmallRng, rates: FaultRates, inter_region: bool) -> Vec<Duration> {
    let draw = rng.random_range(0..1_000);
    if draw < rates.lost {
        return Vec::new();
    }
    let delayed = draw < rates.lost + rates.delayed;
    let mut delays = vec![delay(rng, inter_region, delayed)];
    if rng.random_range(0..1_000) < rates.duplicated {
        let duplicate_delayed = rng.random_bool(0.5);
        delays.push(delay(rng, inter_region, duplicate_delayed));
    }
    delays
}

fn delay(rng: &mut SmallRng, inter_region: bool, delayed: bool) -> Duration {
    let base_us = if inter_region { 30_000..34_000 } else { 100..2_000 };
    let base = Duration::from_micros(rng.random_range(base_us));
    if delayed { base + Duration::from_millis(rng.random_range(100..6_000)) } else { base }
}

/// Numbers of the connections from entries to gates. A new connection that replaces a lost one has
/// a higher number.
#[derive(Debug, Default)]
pub struct Connections {
    open: HashMap<(u64, u64), u64>,
    last_number: u64,
}

impl Connections {
    /// Returns the number of the open connection between two nodes, opening one if there is none.
    pub fn number(&mut self, entry: u64, gate: u64) -> u64 {
        let last_number = &mut self.last_number;
        *self.open.entry((entry, gate)).or_insert_with(|| {
            *last_number += 1;
            *last_number
        })
    }

    /// Retires the open connection between two nodes.
    pub fn retire(&mut self, entry: u64, gate: u64) {
        self.open.remove(&(entry, gate));
    }
}
