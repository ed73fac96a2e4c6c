//! A simulated host: the engine of its node and the faults that currently apply to it.

use {
    pistachiolane::{
        engine::Engine,
        schema::{Health, MemberRecord},
        tick::Tick,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
    },
};

/// Number of slots of each upstream.
pub const SLOTS_PER_UPSTREAM: u16 = 4;

/// Port of the gate on every host.
const GATE_PORT: u16 = 8081;

/// Port of the control listener on every host.
const CONTROL_PORT: u16 = 8082;

/// A simulated host.
#[derive(Debug)]
pub struct Host {
    /// Engine of the node's current incarnation.
    pub engine: Engine,
    /// End of the current pause; events are delayed until then.
    pub paused_until: Tick,
    /// Service of the local upstream.
    pub service: Arc<str>,
    /// Time of the restart that follows a drain.
    pub restart_at: Option<Tick>,
}

impl Host {
    /// Creates the host with the first incarnation of its node.
    pub fn new(now: Tick, at: usize, node: u64) -> Self {
        let service = Arc::from(if at.is_multiple_of(2) { "lookups" } else { "orders" });
        let engine = Engine::new(now, record(at, node), vec![control_address(0)]);
        Self { engine, paused_until: Tick(0), service, restart_at: None }
    }

    /// Replaces the node by a new incarnation without any state of the previous one.
    pub fn restart(&mut self, now: Tick, at: usize, node: u64) {
        let service = Arc::clone(&self.service);
        *self = Self { service, ..Self::new(now, at, node) };
    }
}

fn record(at: usize, node: u64) -> MemberRecord {
    let region = if at < 4 { "svealand" } else { "gotaland" };
    MemberRecord {
        node,
        revision: 1,
        health: Health::Alive,
        gate: address(at, GATE_PORT),
        control: control_address(at),
        region: region.into(),
        zone: format!("{region}-{}", at % 2).into(),
        upstreams: Vec::new(),
    }
}

fn control_address(at: usize) -> SocketAddr {
    address(at, CONTROL_PORT)
}

fn address(at: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, at as u8 + 1), port))
}

/// Returns the index of the host that owns an address.
pub fn host_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => usize::MAX,
    }
}
