//! Routing table, replaced as a whole when members change.

use {
    super::{Candidate, Distance, ServiceState, ServiceTable},
    crate::schema::{Health, MemberRecord},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Upstreams of all services, shared between the threads that serve requests.
#[derive(Debug, Default)]
pub struct RoutingTable {
    services: HashMap<Arc<str>, Arc<ServiceTable>>,
}

impl RoutingTable {
    /// Builds a table from members. Keeps the candidates of `previous` whose gate address is unchanged, and
    /// the measurements of services that still have upstreams.
    pub fn new<'a>(
        previous: &Self,
        local: &MemberRecord,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) -> Self {
        let mut by_service: BTreeMap<&Arc<str>, Vec<Arc<Candidate>>> = BTreeMap::new();
        for member in members.filter(|m| m.health != Health::Dead) {
            for upstream in &member.upstreams {
                let existing = previous
                    .service(&upstream.service)
                    .and_then(|table| table.candidate(member.node))
                    .filter(|c| c.member.gate == member.gate);
                let candidate = existing
                    .map_or_else(|| new_candidate(local, member, upstream.slots), Arc::clone);
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

    /// Returns the upstreams of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceTable>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceTable>> {
        self.services.values()
    }
}

fn new_candidate(local: &MemberRecord, member: &MemberRecord, slots: u16) -> Arc<Candidate> {
    let distance = if member.node == local.node {
        Distance::Local
    } else {
        Distance::between((&local.region, &local.zone), (&member.region, &member.zone))
    };
    Arc::new(Candidate::new(member.clone(), distance, slots))
}
