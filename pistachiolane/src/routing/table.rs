//! The routing table, replaced whole when members change.

use {
    super::{Candidate, Distance, ServiceState, ServiceTable},
    crate::schema::{Health, MemberRecord},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Upstreams of all services, shared by the threads that serve requests.
#[derive(Debug, Default)]
pub struct RoutingTable {
    services: HashMap<Arc<str>, Arc<ServiceTable>>,
}

impl RoutingTable {
    /// Builds a table from members, keeping what `previous` knows of those that stay.
    pub fn new<'a>(
        previous: &Self,
        own: &MemberRecord,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) -> Self {
        let mut by_service: BTreeMap<&Arc<str>, Vec<Arc<Candidate>>> = BTreeMap::new();
        for member in members.filter(|m| m.health != Health::Dead) {
            for upstream in &member.upstreams {
                let known = previous
                    .service(&upstream.service)
                    .and_then(|table| table.candidate(member.node))
                    .filter(|c| c.member.gate == member.gate);
                let candidate =
                    known.map_or_else(|| new_candidate(own, member, upstream.slots), Arc::clone);
                candidate.set_health(member.health);
                by_service.entry(&upstream.service).or_default().push(candidate);
            }
        }
        let services = by_service
            .into_iter()
            .map(|(name, candidates)| {
                let state = previous
                    .service(name)
                    .map_or_else(|| Arc::new(ServiceState::default()), |t| Arc::clone(&t.state));
                let table = ServiceTable::new(Arc::clone(name), candidates, state);
                (Arc::clone(name), Arc::new(table))
            })
            .collect();
        Self { services }
    }

    /// The upstreams of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceTable>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceTable>> {
        self.services.values()
    }
}

fn new_candidate(own: &MemberRecord, member: &MemberRecord, slots: u16) -> Arc<Candidate> {
    let distance = if member.node == own.node {
        Distance::Local
    } else {
        Distance::between((&own.region, &own.zone), (&member.region, &member.zone))
    };
    Arc::new(Candidate::new(member.clone(), distance, slots))
}
