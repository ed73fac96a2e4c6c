//! Return of a gate to service after the evacuation of its availability zone.

use {
    crate::node::{
        gate::{gate_server::GateServer, load_probe::read_health},
        shared::Shared,
    },
    std::{sync::Arc, time::Duration},
};

/// Maximum number of reads of the upstream's state before the gate admits attempts without it. Each read has a time
/// limit; an upstream that answers none of them in two seconds hangs, and shows it to the first requests as well.
const MAX_READS: u32 = 4;

/// Time limit of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the state of the upstream whenever the zone is no longer evacuated, and then lets the gate admit attempts: an
/// upstream without requests for a while may be cold. Runs until its task is dropped.
pub async fn run_reopening(shared: Arc<Shared>, gate: Arc<GateServer>) {
    loop {
        shared.zone_reopening.notified().await;
        read_state(&shared, &gate).await;
        if shared.admission.gate.zone.reopen() {
            log::info!(target: "gate", zone = &*shared.settings.zone; "zone in service, attempts are admitted");
            shared.unsolicited_report.notify_one();
        }
    }
}

async fn read_state(shared: &Arc<Shared>, gate: &GateServer) {
    for _ in 0..MAX_READS {
        let Some(announced) = shared.upstream.load_full() else {
            return;
        };
        if read_health(shared, gate, &announced, READ_TIMEOUT).await {
            return;
        }
    }
}
