//! Reports on a node: a status that fits on one screen, and a dump of its whole state.

use {
    crate::node::{control::control_loop::ControlHandle, shared::Shared},
    crate::{
        config::ROOT,
        invariants,
        metrics::Metrics,
        routing::{Candidate, Estimate, ServiceBaseline, ServiceTable},
        schema::{GateState, Health},
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        sync::{Arc, atomic::Ordering},
    },
};

/// Returns the status of the node, and of the fleet as recorded at this node.
pub async fn status(shared: &Shared, control: &ControlHandle) -> Value {
    let Some(snapshot) = control.snapshot().await else {
        return Value::Null;
    };
    let mut members_by_region: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
    for member in &snapshot.members {
        let health = health_name(member.health);
        *members_by_region.entry(&member.region).or_default().entry(health).or_default() += 1;
    }
    let table = shared.routing_table.load();
    let services: BTreeMap<&str, Value> =
        table.services().map(|s| (s.name.as_ref(), service_status(shared, s))).collect();
    let versions: BTreeMap<&str, u64> =
        snapshot.subtrees.iter().map(|s| (s.name.as_ref(), s.version)).collect();
    json!({
        "node": format!("{:016x}", shared.node),
        "region": shared.settings.region,
        "zone": shared.settings.zone,
        "ready": shared.is_ready(),
        "draining": shared.draining(),
        "cold": cold_status(shared),
        "members": members_by_region,
        "services": services,
        "settings": versions,
        "evacuations": evacuations(shared),
        "gate": {
            "zone": shared.admission.gate.zone.get().name(),
            "running": shared.admission.gate.running(),
        },
        "keys": keys_status(shared),
        "limits": snapshot.limits,
        "settings_age_ms": shared.settings_age.since_confirmed(shared.now()).as_millis() as u64,
        "store_read_age_ms": shared.configuration_read.age(shared.now()).map(|age| age.as_millis() as u64),
        "watches_for_others": shared.is_substitute(),
        "invariant_violations": invariants::violations(),
    })
}

/// Returns the evacuated zones with their version; null while the node knows none.
fn evacuations(shared: &Shared) -> Value {
    let tree = shared.settings_tree.load();
    tree.evacuations().map_or(Value::Null, |e| json!({ "version": e.version, "zones": e.zones }))
}

/// Returns the whole state of the node.
pub async fn dump(shared: &Shared, control: &ControlHandle) -> Value {
    let snapshot = control.snapshot().await;
    let members: Vec<Value> = snapshot
        .iter()
        .flat_map(|s| &s.members)
        .map(|m| serde_json::to_value(m).unwrap_or_default())
        .collect();
    let table = shared.routing_table.load();
    let routing: BTreeMap<&str, Value> =
        table.services().map(|s| (s.name.as_ref(), routing_state(shared, s))).collect();
    json!({
        "status": status(shared, control).await,
        "gate": gate_state(shared),
        "routing": routing,
        "members": members,
        "dropped_records": snapshot.as_ref().map(|s| s.dropped_records),
        "waiting_updates": snapshot.as_ref().map(|s| s.waiting_updates),
        "hops": shared.hops.len(),
        "attempts": shared.attempt_sequence.load(Ordering::Relaxed),
        "budgets": {
            "probes_granted": shared.probes.granted(),
            "paid_bytes_granted": shared.inter_region_bytes.granted(),
        },
        "calls": {
            "answer": Metrics::get(&shared.metrics.calls, "answer"),
            "not_run": Metrics::get(&shared.metrics.calls, "not-run"),
            "unknown": Metrics::get(&shared.metrics.calls, "unknown"),
            "rejected": Metrics::get(&shared.metrics.calls, "rejected"),
        },
        "root": snapshot.iter().flat_map(|s| &s.subtrees).find(|s| s.name.as_ref() == ROOT)
            .map(|s| s.version),
    })
}

/// Returns the cold phase of the local upstream; null if it isn't cold.
fn cold_status(shared: &Shared) -> Value {
    let (now, rate) = (shared.now(), &shared.admission.gate.stated_rate);
    if !rate.cold.is_cold(now) {
        return Value::Null;
    }
    json!({
        // Null while the upstream is only assumed to be cold.
        "left_ms": rate.cold.until(now).map(|until| until.since(now).as_millis() as u64),
        "source": rate.cold.source().name(),
        "requests_per_second": rate.warm_up(),
    })
}

/// Returns counts only: neither keys nor their digests are shown.
fn keys_status(shared: &Shared) -> Value {
    let tree = shared.settings_tree.load();
    tree.routes().map_or(Value::Null, |routes| {
        json!({
            "required": routes.keys_required,
            "known": routes.key_count(),
            "shared_by_workspaces": routes.shared_keys.len(),
        })
    })
}

fn service_status(shared: &Shared, service: &Arc<ServiceTable>) -> Value {
    let now = shared.now();
    let usable = service.candidates.iter().filter(|c| c.is_usable(now)).count();
    let ejected = service.candidates.iter().filter(|c| c.is_ejected(now)).count();
    let is_warming = |c: &&Arc<Candidate>| c.is_warming(now);
    let warming = service.candidates.iter().filter(is_warming).count();
    let declared = shared.settings_tree.load().service(&service.name).is_some();
    json!({
        "upstreams": service.candidates.len(),
        "usable": usable,
        "ejected": ejected,
        "warming": warming,
        "declared": declared,
        "retries_available": service.state.retries.available(),
    })
}

fn routing_state(shared: &Shared, service: &ServiceTable) -> Value {
    let now = shared.now();
    let baseline = ServiceBaseline::of(service.candidates.iter().map(AsRef::as_ref));
    let upstreams: Vec<Value> = service
        .candidates
        .iter()
        .map(|c| {
            let report = c.last_report();
            let estimate = Estimate::new(now, c, &baseline);
            json!({
                "node": format!("{:016x}", c.member.node),
                "gate": c.member.gate,
                "distance": format!("{:?}", c.distance),
                "usable": c.is_usable(now),
                "suspect": c.is_suspect(),
                "ejected": c.is_ejected(now),
                "slow_start": c.is_in_slow_start(now),
                "outstanding": c.outstanding(),
                "report_age_ms": c.report_age(now).map(|age| age.as_millis() as u64),
                "slots": report.slots,
                "running": report.running,
                "queued": report.queued,
                "latency_us": report.latency_us,
                "state": state_name(report.state),
                "link_us": crate::tick::micros(c.round_trip()),
                "expected_completion_us": estimate.completion_us.round(),
            })
        })
        .collect();
    let hedge_after_us = service.state.hedge_after.get().map(crate::tick::micros);
    json!({ "hedge_after_us": hedge_after_us, "upstreams": upstreams })
}

fn gate_state(shared: &Shared) -> Value {
    let report = shared.admission.gate.next_load_report(shared.now());
    json!({
        "upstream": shared.upstream.load_full().as_deref(),
        "running": report.running,
        "queued": report.queued,
        "slots": report.slots,
        "latency_us": report.latency_us,
        "state": state_name(report.state),
        "ledger": shared.admission.ledger.len(),
    })
}

fn health_name(health: Health) -> &'static str {
    match health {
        Health::Alive => "alive",
        Health::Draining => "draining",
        Health::Suspect => "suspect",
        Health::Dead => "dead",
    }
}

fn state_name(state: GateState) -> &'static str {
    match state {
        GateState::Ready => "ready",
        GateState::Warming => "warming",
        GateState::Draining => "draining",
        GateState::Shedding => "shedding",
    }
}
