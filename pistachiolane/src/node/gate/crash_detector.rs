//! Tells an upstream that ended from one that only lost a connection.

use {
    crate::node::{gate::upstream_pool::UpstreamPool, shared::Shared},
    crate::{
        membership::is_same_incarnation, recovery::Fingerprint, schema::Announcement, tick::Tick,
    },
    std::time::Duration,
    tokio::{sync::Mutex, time::timeout},
};

/// Time limit of a check; the upstream is on the same host.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a check that found the upstream running holds: requests that lost their connections together share
/// one.
const CHECK_VALIDITY: Duration = Duration::from_millis(20);

/// Result of a check.
#[derive(Debug)]
struct CrashCheck {
    incarnation: u64,
    at: Tick,
    has_crashed: bool,
}

/// Checks whether the local upstream has ended, after it lost a connection.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// Locked only after a lost connection.
    last_check: Mutex<Option<CrashCheck>>,
}

impl CrashDetector {
    /// Whether an upstream has ended: nothing listens on its address any more. If so, its gate closes until the next
    /// announcement.
    pub async fn has_crashed(
        &self,
        shared: &Shared,
        announced: &Announcement,
        pool: &UpstreamPool,
    ) -> bool {
        let incarnation = Fingerprint::of_incarnation(announced);
        let mut last_check = self.last_check.lock().await;
        let is_valid = |check: &CrashCheck| {
            let age = shared.now().since(check.at);
            check.incarnation == incarnation && (check.has_crashed || age < CHECK_VALIDITY)
        };
        if let Some(check) = last_check.as_ref().filter(|check| is_valid(check)) {
            return check.has_crashed;
        }
        let has_crashed = timeout(CHECK_TIMEOUT, pool.has_ended()).await.unwrap_or(false);
        *last_check = Some(CrashCheck { incarnation, at: shared.now(), has_crashed });
        if has_crashed {
            close_gate(shared, announced);
        }
        has_crashed
    }
}

/// Closes the gate until the next announcement, unless another incarnation is already announced.
fn close_gate(shared: &Shared, announced: &Announcement) {
    shared.metrics.upstream_crashes.inc();
    log::warn!(
        target: "upstream", instance = announced.instance.as_str(), service = &*announced.service,
        running = shared.admission.gate.running();
        "upstream crashed while it ran requests"
    );
    let current = shared.upstream.load();
    if current.as_ref().is_some_and(|current| is_same_incarnation(current, announced)) {
        shared.admission.remove_upstream();
    }
}
