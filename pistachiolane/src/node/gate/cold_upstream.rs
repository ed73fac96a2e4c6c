//! Cold phase of the local upstream: what it states, what the gate assumes after a lost connection, and the checks
//! that end an assumption.

use {
    crate::node::{
        gate::{gate_server::GateServer, load_probe::read_health},
        shared::Shared,
    },
    crate::{
        limits::{ColdChange, ColdSource},
        membership::is_same_incarnation,
        metrics::Metrics,
        schema::Announcement,
        tick::Tick,
    },
    hyper::HeaderMap,
    std::{future::pending, sync::Arc, time::Duration},
    tokio::time::{sleep, sleep_until},
};

/// Time limit of a check; an upstream that has just started responds slowly.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Minimum time between two checks. They count as requests beside those of the rate, five in a second at most.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Records that a connection to the upstream `announced` was lost: until it states otherwise, it counts as cold. Has no
/// effect if its service has no limit for cold upstreams.
pub fn assume_cold(shared: &Shared, announced: &Announcement, why: &str) {
    let rate = &shared.admission.gate.stated_rate;
    let current = shared.upstream.load();
    let is_current = current.as_ref().is_some_and(|c| is_same_incarnation(c, announced));
    if !is_current || rate.warm_up().is_none() || shared.admission.gate.is_draining() {
        return;
    }
    if rate.cold.assume(shared.now()) {
        Metrics::count(&shared.metrics.upstream_cold, ColdSource::LostConnection.name());
        log::info!(
            target: "upstream", instance = announced.instance.as_str(), why,
            rate = rate.warm_up().unwrap_or(0.0);
            "upstream assumed cold until its next statement"
        );
    }
    shared.cold_check.notify_one();
}

/// Applies the time left in the cold phase that the first announcement of an incarnation states.
pub fn apply_first_announced(shared: &Shared, announced: &Announcement, left: Duration) {
    let change = shared.admission.gate.stated_rate.cold.start(shared.now(), left);
    record_change(shared, announced, change, ColdSource::Announcement);
}

/// Applies the time left in the cold phase that a later announcement of an incarnation states.
pub fn apply_announced(shared: &Shared, announced: &Announcement, left: Duration) {
    let tree = shared.settings_tree.load();
    let has_health = tree.routes().and_then(|r| r.load_path(&announced.service)).is_some();
    let rate = &shared.admission.gate.stated_rate;
    let is_limited = rate.warm_up().is_some();
    let is_checkable = has_health && shared.dialect.warm_up.is_some() && is_limited;
    let change = rate.cold.record_announcement(shared.now(), left, is_checkable);
    record_change(shared, announced, change, ColdSource::Announcement);
}

/// Applies the time left in the cold phase that the response to a health check states, which was sent at `asked`. The
/// header is absent if the upstream isn't cold.
pub fn apply_health(shared: &Shared, announced: &Announcement, headers: &HeaderMap, asked: Tick) {
    let Some((name, parse)) = &shared.dialect.warm_up else {
        return;
    };
    let left = match headers.get(name) {
        Some(value) => {
            let Some(left) = value.to_str().ok().and_then(parse) else {
                log::warn!(
                    target: "upstream", instance = announced.instance.as_str(), value:? = value;
                    "stated warm-up time is unreadable, the previous statement stays"
                );
                return;
            };
            left
        }
        None => Duration::ZERO,
    };
    let cold = &shared.admission.gate.stated_rate.cold;
    let change = cold.record_health(shared.now(), asked, left);
    record_change(shared, announced, change, ColdSource::HealthCheck);
}

/// Logs and counts a change, and requests what follows from it.
fn record_change(
    shared: &Shared,
    announced: &Announcement,
    change: ColdChange,
    source: ColdSource,
) {
    let now = shared.now();
    let rate = &shared.admission.gate.stated_rate;
    let instance = announced.instance.as_str();
    match change {
        ColdChange::Cold => {
            Metrics::count(&shared.metrics.upstream_cold, source.name());
            // The statement has a known end.
            let left = rate.cold.until(now).unwrap_or(now).since(now);
            log::info!(
                target: "upstream", instance, service = &*announced.service,
                cold_ms = left.as_millis() as u64, source = source.name(),
                rate = rate.warm_up().unwrap_or(0.0);
                "upstream is cold"
            );
        }
        ColdChange::Ended => log::info!(
            target: "upstream", instance, service = &*announced.service, source = source.name();
            "upstream is no longer cold"
        ),
        ColdChange::Unconfirmed => log::info!(
            target: "upstream", instance, source = source.name();
            "statement may be older than the last one, checking whether the upstream is cold"
        ),
        ColdChange::Unchanged => {}
    }
    if change != ColdChange::Unchanged {
        shared.cold_check.notify_one();
    }
}

/// Checks whether the local upstream is cold when that is not known, and reports the start and the end of cold phases to
/// other nodes. Runs until its task is dropped.
pub async fn run_cold_checks(shared: Arc<Shared>, gate: Arc<GateServer>) {
    let rate = &shared.admission.gate.stated_rate;
    let must_check = || rate.warm_up().is_some() && rate.cold.needs_check();
    let mut was_cold = false;
    loop {
        tokio::select! {
            () = shared.cold_check.notified() => {}
            () = wait_for_end(&shared) => {}
        }
        report_change(&shared, &mut was_cold);
        if !must_check() {
            continue;
        }
        if let Some(announced) = shared.upstream.load_full() {
            read_health(&shared, &gate, &announced, CHECK_TIMEOUT).await;
            report_change(&shared, &mut was_cold);
            sleep(CHECK_INTERVAL).await;
            // A health path that is missing or fails leaves it to the announcements.
            if must_check() {
                shared.cold_check.notify_one();
            }
        }
    }
}

/// Waits for the end of the cold phase, without end if it isn't known.
async fn wait_for_end(shared: &Shared) {
    match shared.admission.gate.stated_rate.cold.until(shared.now()) {
        Some(until) => sleep_until(shared.instant(until)).await,
        None => pending().await,
    }
}

/// Updates the metric, the queue and the other nodes after a cold phase has started or ended.
fn report_change(shared: &Shared, was_cold: &mut bool) {
    let rate = &shared.admission.gate.stated_rate;
    let is_cold = rate.cold.is_cold(shared.now());
    let per_second = if is_cold { rate.warm_up().unwrap_or(0.0) } else { 0.0 };
    shared.metrics.upstream_cold_rate.set(per_second);
    if *was_cold == is_cold {
        return;
    }
    *was_cold = is_cold;
    if !is_cold {
        log::info!(target: "upstream", "cold phase of the upstream ended");
    }
    shared.queue.wake();
    shared.unsolicited_report.notify_one();
}
