//! Records shared by several tests.

use pistachiolane::schema::{Health, MemberRecord, Placement};

/// Returns an alive member whose local upstream has ten slots.
pub fn member(node: u64) -> MemberRecord {
    MemberRecord {
        node,
        revision: 1,
        health: Health::Alive,
        gate: "127.0.0.1:1".parse().unwrap(),
        control: "127.0.0.1:2".parse().unwrap(),
        region: "svealand".into(),
        zone: "svealand-1".into(),
        upstreams: vec![Placement { service: "sizing".into(), slots: 10 }],
    }
}
