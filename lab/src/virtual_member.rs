//! Member records of nodes that run in virtual time, without sockets.

use {
    pistachiolane::schema::{Health, MemberRecord, Placement},
    std::net::{Ipv4Addr, SocketAddr},
};

/// Returns the record of the node with this index in a zone of one region; its identity is the index plus one.
pub fn record(index: usize, zone: usize, upstream: Option<Placement>) -> MemberRecord {
    let address = |port| SocketAddr::from((Ipv4Addr::new(10, 0, 0, index as u8 + 1), port));
    MemberRecord {
        node: index as u64 + 1,
        revision: 1,
        health: Health::Alive,
        gate: address(8081),
        control: address(8082),
        region: "svealand".into(),
        zone: format!("svealand-{zone}").into(),
        upstreams: upstream.into_iter().collect(),
    }
}
