//! Comparison of the settings in force with those of a peer.

use {
    crate::node::{
        control::{
            control_client::{self, ControlError},
            control_loop::ControlHandle,
        },
        shared::Shared,
    },
    crate::{schema::SubtreeVersion, tick::Tick},
    std::{net::SocketAddr, sync::atomic::Ordering},
};

/// Compares the settings in force with those of a peer: puts what is newer there in force here, and sends what is newer
/// here.
pub async fn compare_settings(
    shared: &Shared,
    handle: &ControlHandle,
    from: SocketAddr,
    versions: Vec<SubtreeVersion>,
) {
    let key = &shared.settings.fleet_key;
    let requested_at = shared.now();
    let reply = match control_client::exchange_packed(key, from, versions.clone()).await {
        Ok(reply) => reply,
        Err(ControlError::Failed(e)) => {
            log::debug!(target: "settings", "{from} doesn't exchange compressed settings: {e}");
            compare_uncompressed(shared, handle, from, versions).await;
            return;
        }
        Err(e) => {
            log_failed_comparison(from, &e);
            return;
        }
    };
    let received_newer = !reply.newer.is_empty();
    handle.apply_packed(reply.newer).await;
    record_comparison(shared, requested_at, received_newer);
    if reply.wanted.is_empty() {
        return;
    }
    let subtrees = handle.packed_subtrees(reply.wanted).await;
    // If the push is lost, the next comparison finds the difference again.
    if let Err(e) = control_client::push_packed(key, from, subtrees).await {
        log_failed_comparison(from, &e);
    }
}

/// Compares settings with a node of an earlier build, which sends documents as they are.
async fn compare_uncompressed(
    shared: &Shared,
    handle: &ControlHandle,
    from: SocketAddr,
    versions: Vec<SubtreeVersion>,
) {
    let key = &shared.settings.fleet_key;
    let requested_at = shared.now();
    let reply = match control_client::exchange(key, from, versions).await {
        Ok(reply) => reply,
        Err(e) => return log_failed_comparison(from, &e),
    };
    let received_newer = !reply.newer.is_empty();
    handle.apply(reply.newer, "peer").await;
    record_comparison(shared, requested_at, received_newer);
    if reply.wanted.is_empty() {
        return;
    }
    let subtrees = handle.subtrees(reply.wanted).await;
    if let Err(e) = control_client::push(key, from, subtrees).await {
        log_failed_comparison(from, &e);
    }
}

/// Records that the settings in force are those of a peer, as of a request of `requested_at`.
fn record_comparison(shared: &Shared, requested_at: Tick, received_newer: bool) {
    shared.settings_age.resolve(shared.now());
    shared.confirm_evacuations(requested_at);
    if received_newer {
        shared.has_settings.store(true, Ordering::Relaxed);
    }
}

fn log_failed_comparison(from: SocketAddr, error: &ControlError) {
    let from = from.to_string();
    log::info!(
        target: "settings", from = from.as_str(), error = error.to_string().as_str();
        "settings not compared with a peer"
    );
}
