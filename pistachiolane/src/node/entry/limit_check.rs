//! Check of a request against the limit of its workspace, which holds over all nodes.

use {
    crate::node::{entry::resolved_route::ResolvedRoute, shared::Shared},
    crate::{
        limits::shared::{LimitAccount, LimitState, Take},
        metrics::Metrics,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Token of one request. Dropped before the request was handed to the attempts, it returns the token.
#[derive(Debug)]
pub(in crate::node) struct LimitToken {
    shared: Arc<Shared>,
    account: Arc<LimitAccount>,
    /// Whether the token is spent if the call is dropped, as by a caller that leaves.
    is_spent: AtomicBool,
}

impl LimitToken {
    /// Takes a token for a request; `None` if no limit applies.
    ///
    /// # Errors
    /// Returns the time after which the caller may retry if the limit allows no request now.
    pub fn take(
        shared: &Arc<Shared>,
        route: &ResolvedRoute,
        id: &str,
    ) -> Result<Option<Self>, Duration> {
        let Some(workspace) = route.workspace.as_ref().filter(|w| w.limit.is_some()) else {
            return Ok(None);
        };
        let Some(account) = shared.limits.load().get(&workspace.name).map(Arc::clone) else {
            return Ok(None);
        };
        let now = shared.now();
        let take = account.take(now, &mut rand::rng());
        if account.take_wake() {
            shared.limits_urgent.notify_one();
        }
        Metrics::count(&shared.metrics.limit_checks, take.name());
        let Take::Refused { retry_after } = take else {
            return Ok(Some(Self {
                shared: Arc::clone(shared),
                account,
                is_spent: AtomicBool::new(false),
            }));
        };
        let seen = account.snapshot(now);
        Metrics::count(&shared.metrics.limit_refusals, seen.ahead_source.name());
        shared.metrics.workspaces.count(&workspace.name, "limit");
        // -1 if the owner has not answered yet.
        let age_ms = seen.answer_age.map_or(-1, |age| age.as_millis() as i64);
        log::info!(
            target: "limits", request = id, workspace = &*workspace.name,
            limit = workspace.limit.map_or(0.0, |l| l.requests_per_second),
            burst = workspace.limit.map_or(0.0, |l| l.burst),
            owner = format!("{:016x}", seen.owner).as_str(), state = seen.state.name(),
            level = seen.level, ahead = seen.ahead, ahead_set_by = seen.ahead_source.name(),
            granted = seen.granted, spent = seen.spent, refused = seen.refused,
            answer_age_ms = age_ms, waiting_ms = seen.silence.as_millis() as u64,
            retry_after_ms = retry_after.as_millis() as u64, outcome = "refused";
            "limit of the workspace reached"
        );
        Err(retry_after)
    }

    /// Whether a hedge may be sent: only while the limit has tokens to spare.
    pub fn allows_hedge(&self) -> bool {
        self.account.snapshot(self.shared.now()).state == LimitState::Open
    }

    /// Keeps the token from being returned when the call is dropped.
    pub fn spend(&self) {
        self.is_spent.store(true, Ordering::Relaxed);
    }

    /// Counts a further attempt of the request, whether there is a token for it or not.
    pub fn spend_extra(&self) {
        self.account.take_always(self.shared.now());
        Metrics::count(&self.shared.metrics.limit_checks, "extra");
    }

    /// Returns the token of a request that was not run.
    pub fn give_back(self) {
        self.is_spent.store(false, Ordering::Relaxed);
    }
}

impl Drop for LimitToken {
    fn drop(&mut self) {
        if !self.is_spent.load(Ordering::Relaxed) {
            self.account.give_back(self.shared.now());
            Metrics::count(&self.shared.metrics.limit_checks, "returned");
        }
    }
}
