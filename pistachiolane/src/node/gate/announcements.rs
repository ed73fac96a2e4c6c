//! Processes announcements of the local upstream.

use {
    crate::node::{
        control::control_loop::ControlHandle,
        gate::{
            cold_upstream::{apply_announced, apply_first_announced},
            gate_server::GateServer,
            upstream_statements::{
                StatementSource, apply_statements, read_first_statements, states_leaving,
            },
        },
        node_handle::UpstreamEventRequest,
        shared::Shared,
    },
    crate::{
        membership::{LocalUpstream, UpstreamChange, UpstreamEvent, is_same_incarnation},
        schema::{Announcement, Health, Placement},
    },
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::sleep},
};

/// Number of announcement intervals after which an upstream without announcements expires. It is
/// above one because a single announcement may be seconds late.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 4;

/// Minimum interval between two checks of whether the upstream has expired.
const MIN_EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Applies events of the local upstream one at a time, and removes the upstream if its
/// announcements stop. Runs until all node handles are dropped.
pub async fn run_announcements(
    shared: Arc<Shared>,
    gate: Arc<GateServer>,
    control: ControlHandle,
    mut events: mpsc::Receiver<UpstreamEventRequest>,
) {
    let mut upstream = LocalUpstream::new();
    let mut leaving_upstream = shared.leaving_upstream.subscribe();
    loop {
        let expiry = shared.tunables.load().heartbeat * MAX_MISSED_ANNOUNCEMENTS;
        let (event, applied) = tokio::select! {
            event = events.recv() => match event {
                Some((event, applied)) => (Some(event), Some(applied)),
                None => return,
            },
            Ok(()) = leaving_upstream.changed() => {
                let leaving = leaving_upstream.borrow_and_update().clone();
                (leaving.map(|announced| stopping(&announced)), None)
            }
            () = sleep((expiry / 4).max(MIN_EXPIRY_CHECK_INTERVAL)) => (None, None),
        };
        if let Some(event) = event {
            let change = apply_event(&shared, &gate, &mut upstream, event).await;
            // Fails if the sender of the event disconnected and no longer waits for the result.
            let _closed = applied.map(|applied| applied.send(()));
            if change == UpstreamChange::Changed
                && let Some(current) = upstream.current()
            {
                publish(&shared, &control, current).await;
            }
        }
        if upstream.expire(shared.now(), expiry) {
            log::info!(target: "upstream", "expired: no announcement for {expiry:?}");
            shared.admission.remove_upstream();
            shared.upstream.store(None);
            control.set_placement(Vec::new(), local_health(&shared, false)).await;
        }
    }
}

/// Applies an event to the upstream's state and to the gate. What a new incarnation states is read before the gate
/// admits requests to it.
async fn apply_event(
    shared: &Arc<Shared>,
    gate: &GateServer,
    upstream: &mut LocalUpstream,
    event: UpstreamEvent,
) -> UpstreamChange {
    let stated_cold_ms = cold_ms(&event);
    let change = upstream.apply(shared.now(), event);
    log_outdated(change);
    let Some(announced) = upstream.current().cloned() else {
        return change;
    };
    let known = shared.upstream.load_full();
    if known.is_some_and(|known| is_same_incarnation(&known, &announced)) {
        apply(shared, &announced);
        // An outdated announcement says nothing about the present.
        if let Some(cold_ms) = stated_cold_ms.filter(|_| change != UpstreamChange::Outdated) {
            apply_announced(shared, &announced, Duration::from_millis(cold_ms));
        }
        return change;
    }
    // The previous incarnation has ended, and its limit with it.
    shared.admission.remove_upstream();
    shared.admission.gate.stated_rate.set(None);
    apply_first_announced(shared, &announced, Duration::from_millis(announced.cold_ms.into()));
    let asked = shared.now();
    let statements = read_first_statements(shared, gate, &announced).await;
    if statements.as_ref().is_some_and(|res| states_leaving(&shared.dialect, res.headers())) {
        upstream.apply(shared.now(), stopping(&announced));
    }
    apply(shared, upstream.current().unwrap_or(&announced));
    if let Some(res) = statements {
        let source = StatementSource::of_health(&res, asked);
        apply_statements(shared, &announced, res.headers(), source);
    }
    change
}

/// Returns the milliseconds for which an announcement states that the upstream stays cold.
fn cold_ms(event: &UpstreamEvent) -> Option<u64> {
    match event {
        UpstreamEvent::Announced(announcement) => Some(announcement.cold_ms.into()),
        UpstreamEvent::Stopping { .. } => None,
    }
}

fn stopping(announced: &Announcement) -> UpstreamEvent {
    UpstreamEvent::Stopping {
        instance: announced.instance.clone(),
        started_ms: announced.started_ms,
    }
}

fn log_outdated(change: UpstreamChange) {
    if change == UpstreamChange::Outdated {
        log::info!(
            target: "upstream",
            "ignored an announcement that is outdated or of an earlier incarnation"
        );
    }
}

fn apply(shared: &Shared, announcement: &Announcement) {
    let now = shared.now();
    shared.admission.gate.set_usable_percent(shared.tunables.load().usable_slots);
    shared.upstream.store(Some(Arc::new(announcement.clone())));
    let max_connections =
        shared.settings_tree.load().routes().and_then(|r| r.connections(&announcement.service));
    // Each request uses its own connection, so the connection limit also limits the slots.
    let slots = max_connections
        .map_or(announcement.slots, |max| announcement.slots.min(max.min(u16::MAX.into()) as u16));
    shared.update_warm_up_rate();
    shared.admission.announce(now, &announcement.service, slots, announcement.draining);
}

async fn publish(shared: &Shared, control: &ControlHandle, announcement: &Announcement) {
    log::info!(
        target: "upstream",
        "announced service={} instance={} started_ms={} address={} slots={} draining={}",
        announcement.service, announcement.instance, announcement.started_ms, announcement.address,
        announcement.slots, announcement.draining
    );
    let placement =
        Placement { service: Arc::clone(&announcement.service), slots: announcement.slots };
    control.set_placement(vec![placement], local_health(shared, announcement.draining)).await;
}

fn local_health(shared: &Shared, draining: bool) -> Health {
    if draining || shared.draining() { Health::Draining } else { Health::Alive }
}
