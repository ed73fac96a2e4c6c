//! A host: its node's engine, the life of it, and what it is going through.

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

/// Slots of each upstream.
pub const SLOTS: u16 = 4;

/// Port of every gate.
const GATE_PORT: u16 = 8081;

/// Port of every control address.
const CONTROL_PORT: u16 = 8082;

/// One host.
#[derive(Debug)]
pub struct Host {
    /// Its node.
    pub engine: Engine,
    /// Until when it is paused.
    pub paused_until: Tick,
    /// Service of its upstream.
    pub service: Arc<str>,
    /// When it restarts after draining.
    pub restart_at: Option<Tick>,
}

impl Host {
    /// The host's first life.
    pub fn new(now: Tick, at: usize, node: u64) -> Self {
        let service = Arc::from(if at.is_multiple_of(2) { "lookups" } else { "orders" });
        let engine = Engine::new(now, record(at, node), vec![control_address(0)]);
        Self { engine, paused_until: Tick(0), service, restart_at: None }
    }

    /// A new life with empty memory.
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

/// The host of an address.
pub fn host_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => usize::MAX,
    }
}
