//! A simulated host: the engine of its node, its pause and its restart.

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
    pub fn new(now: Tick, index: usize, node: u64) -> Self {
        let service = Arc::from(if index.is_multiple_of(2) { "lookups" } else { "orders" });
        let engine = Engine::new(now, record(index, node), vec![control_address(0)]);
        Self { engine, paused_until: Tick(0), service, restart_at: None }
    }

    /// Replaces the node by a new incarnation without any state of the previous one.
    pub fn restart(&mut self, now: Tick, index: usize, node: u64) {
        let service = Arc::clone(&self.service);
        *self = Self { service, ..Self::new(now, index, node) };
    }
}

fn record(index: usize, node: u64) -> MemberRecord {
    let region = if index < 4 { "svealand" } else { "gotaland" };
    MemberRecord {
        node,
        revision: 1,
        health: Health::Alive,
        gate: address(index, GATE_PORT),
        control: control_address(index),
        region: region.into(),
        zone: format!("{region}-{}", index % 2).into(),
        upstreams: Vec::new(),
    }
}

fn control_address(index: usize) -> SocketAddr {
    address(index, CONTROL_PORT)
}

fn address(index: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, index as u8 + 1), port))
}

/// Returns the index of the host that owns an address.
pub fn host_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => usize::MAX,
    }
}
