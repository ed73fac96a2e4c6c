//! Announcements of the upstream beside the node.

use {
    super::{control_loop::ControlHandle, node_handle::UpstreamEventRequest, shared::Shared},
    crate::{
        membership::{LocalUpstream, NewsEffect},
        schema::{Announcement, Health, Placement},
    },
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::timeout},
};

/// Announcements that may be missed before the upstream counts as gone; single ones come seconds late.
const MISSED_ANNOUNCEMENTS: u32 = 4;

/// Shortest time between two looks at whether the upstream has fallen silent.
const MIN_CHECK: Duration = Duration::from_millis(250);

/// Takes announcements one after the other, and notices when they stop.
pub async fn run_announcements(
    shared: Arc<Shared>,
    control: ControlHandle,
    mut news: mpsc::Receiver<UpstreamEventRequest>,
) {
    let mut upstream = LocalUpstream::new();
    loop {
        let silence = shared.tunables.load().heartbeat * MISSED_ANNOUNCEMENTS;
        match timeout((silence / 4).max(MIN_CHECK), news.recv()).await {
            Ok(None) => return,
            Ok(Some((next, in_force))) => {
                let effect = upstream.take(shared.now(), next);
                log_outdated(effect);
                if let Some(current) = upstream.current() {
                    take(&shared, current);
                }
                // The upstream has gone away meanwhile if nobody waits for this.
                let _gone = in_force.send(());
                if effect == NewsEffect::Changed
                    && let Some(current) = upstream.current()
                {
                    publish(&shared, &control, current).await;
                }
            }
            Err(_) => {}
        }
        if upstream.expire(shared.now(), silence) {
            log::info!(target: "upstream", "gone: no announcement for {silence:?}");
            shared.admission.withdraw();
            shared.upstream.store(None);
            control.set_placement(Vec::new(), own_health(&shared, false)).await;
        }
    }
}

fn log_outdated(effect: NewsEffect) {
    if effect == NewsEffect::Outdated {
        log::info!(target: "upstream", "announcement of an earlier incarnation, or late; unchanged");
    }
}

fn take(shared: &Shared, next: &Announcement) {
    let now = shared.now();
    shared.admission.gate.set_usable_percent(shared.tunables.load().usable_slots);
    shared.upstream.store(Some(Arc::new(next.clone())));
    let connections = shared.tree.load().routes().and_then(|r| r.connections(&next.service));
    // Each request has a connection of its own.
    let slots =
        connections.map_or(next.slots, |most| next.slots.min(most.min(u16::MAX.into()) as u16));
    shared.admission.announce(now, &next.service, slots, next.draining);
    if next.cold_ms > 0 {
        shared.admission.gate.warm_up(now, Duration::from_millis(u64::from(next.cold_ms)));
    }
}

async fn publish(shared: &Shared, control: &ControlHandle, next: &Announcement) {
    log::info!(
        target: "upstream",
        "announced service={} instance={} started_ms={} address={} slots={} draining={}",
        next.service, next.instance, next.started_ms, next.address, next.slots, next.draining
    );
    let placement = Placement { service: Arc::clone(&next.service), slots: next.slots };
    control.set_placement(vec![placement], own_health(shared, next.draining)).await;
}

fn own_health(shared: &Shared, draining: bool) -> Health {
    if draining || shared.draining() { Health::Draining } else { Health::Alive }
}
