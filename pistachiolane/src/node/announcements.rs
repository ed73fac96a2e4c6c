//! Announcements of the upstream beside the node.

use {
    super::{control_loop::ControlHandle, shared::Shared},
    crate::schema::{Announcement, Health, Placement},
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::timeout},
};

/// Time without an announcement after which the upstream counts as gone.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Takes announcements one after the other, and notices when they stop.
pub async fn run_announcements(
    shared: Arc<Shared>,
    control: ControlHandle,
    mut announced: mpsc::Receiver<Announcement>,
) {
    let mut known: Option<Announcement> = None;
    loop {
        match timeout(ANNOUNCEMENT_TIMEOUT, announced.recv()).await {
            Ok(None) => return,
            Ok(Some(next)) => {
                let changed = known.as_ref() != Some(&next);
                take(&shared, &next);
                if changed {
                    publish(&shared, &control, &next).await;
                    known = Some(next);
                }
            }
            Err(_) if known.take().is_some() => {
                log::info!(target: "upstream", "gone: no announcement");
                shared.admission.withdraw();
                shared.upstream.store(None);
                control.placement(Vec::new(), own_health(&shared, false)).await;
            }
            Err(_) => {}
        }
    }
}

fn take(shared: &Shared, next: &Announcement) {
    let draining = next.draining || shared.draining();
    shared.upstream.store(Some(Arc::new(next.clone())));
    shared.admission.announce(shared.now(), &next.service, next.slots, draining);
}

async fn publish(shared: &Shared, control: &ControlHandle, next: &Announcement) {
    log::info!(
        target: "upstream",
        "announced service={} address={} slots={} draining={}",
        next.service, next.address, next.slots, next.draining
    );
    let placement = Placement { service: Arc::clone(&next.service), slots: next.slots };
    control.placement(vec![placement], own_health(shared, next.draining)).await;
}

fn own_health(shared: &Shared, draining: bool) -> Health {
    if draining || shared.draining() { Health::Draining } else { Health::Alive }
}
