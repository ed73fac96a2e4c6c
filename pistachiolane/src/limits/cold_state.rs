//! Whether the local upstream is cold, from statements that may arrive late and out of order.

use {
    crate::tick::Tick,
    std::{
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Time after a statement from which an announcement is assumed to have been sent after it. Announcements carry no
/// time and arrive up to two intervals of 1.5 s late.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(3);

/// Difference between two ends of the cold phase that delivery delays explain.
const END_TOLERANCE: Duration = Duration::from_millis(100);

/// End of a cold phase of unknown duration.
const UNKNOWN_END: Tick = Tick(u64::MAX);

value! {
    /// What the gate's knowledge of the cold phase rests on.
    pub enum ColdSource {
        /// Announcement of the upstream.
        Announcement,
        /// Response to a health check.
        HealthCheck,
        /// Lost connection, after which the upstream may have restarted.
        LostConnection,
    }

    /// Effect of a statement.
    pub enum ColdChange {
        /// The upstream is cold, until another time than before.
        Cold,
        /// The cold phase ended earlier than it was known to.
        Ended,
        /// The statement may be older than the last one and is not used; a health check must show the state.
        Unconfirmed,
        /// Nothing has changed.
        Unchanged,
    }
}

impl ColdSource {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Announcement => "announcement",
            Self::HealthCheck => "health-check",
            Self::LostConnection => "lost-connection",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Earliest time at which the upstream made the statement.
    stated_at: Tick,
    source: ColdSource,
    /// Whether a health check must show the state.
    needs_check: bool,
}

/// Cold phase of the local upstream. Thread-safe; readers take no lock.
#[derive(Debug)]
pub struct ColdState {
    until: AtomicU64,
    last: Mutex<Statement>,
}

impl Default for ColdState {
    fn default() -> Self {
        let source = ColdSource::Announcement;
        let last = Statement { stated_at: Tick(0), source, needs_check: false };
        Self { until: AtomicU64::new(0), last: Mutex::new(last) }
    }
}

impl ColdState {
    /// Whether the upstream is cold or assumed to be.
    pub fn is_cold(&self, now: Tick) -> bool {
        now.0 < self.until.load(Ordering::Acquire)
    }

    /// Returns the time until which the upstream stays cold; `None` if it isn't cold or the end is unknown.
    pub fn until(&self, now: Tick) -> Option<Tick> {
        let until = Tick(self.until.load(Ordering::Acquire));
        (now < until && until != UNKNOWN_END).then_some(until)
    }

    /// Returns what the state rests on.
    pub fn source(&self) -> ColdSource {
        self.lock().source
    }

    /// Whether a health check must show the state, because it is only assumed or a statement contradicts it.
    pub fn needs_check(&self) -> bool {
        self.lock().needs_check
    }

    /// Records that a connection was lost: the upstream may have restarted and counts as cold until it states its
    /// state. Returns whether that was not assumed before.
    pub fn assume(&self, now: Tick) -> bool {
        let mut last = self.lock();
        let source = ColdSource::LostConnection;
        *last = Statement { stated_at: now, source, needs_check: true };
        self.until.swap(UNKNOWN_END.0, Ordering::AcqRel) != UNKNOWN_END.0
    }

    /// Applies the first announcement of a new incarnation.
    pub fn start(&self, now: Tick, left: Duration) -> ColdChange {
        self.set(&mut self.lock(), now, now + left, now, ColdSource::Announcement)
    }

    /// Applies a health response, which states the time left in the cold phase, zero if there is none. The health check
    /// was sent at `asked`.
    pub fn record_health(&self, now: Tick, asked: Tick, left: Duration) -> ColdChange {
        let mut last = self.lock();
        let until = now + left;
        if until < self.end() && asked < last.stated_at {
            last.needs_check = true;
            return ColdChange::Unconfirmed;
        }
        self.set(&mut last, now, until, asked, ColdSource::HealthCheck)
    }

    /// Applies a later announcement of an incarnation.
    ///
    /// One that states an earlier end may have been sent before the last statement. If `is_checkable`, a health check
    /// decides, unless the last statement is too old for that.
    pub fn record_announcement(&self, now: Tick, left: Duration, is_checkable: bool) -> ColdChange {
        let mut last = self.lock();
        let (until, end) = (now + left, self.end());
        let is_shorter = self.is_cold(now) && until < end;
        if is_shorter && end.since(until) <= END_TOLERANCE {
            return ColdChange::Unchanged;
        }
        let may_be_older = now.since(last.stated_at) < MAX_ANNOUNCEMENT_DELAY;
        if is_shorter && may_be_older && is_checkable {
            last.needs_check = true;
            return ColdChange::Unconfirmed;
        }
        let was_cold = self.is_cold(now);
        let change = self.set(&mut last, now, until, now, ColdSource::Announcement);
        // An announcement of a cold phase that has just ended may have been late.
        last.needs_check = is_checkable && !was_cold && change == ColdChange::Cold;
        change
    }

    fn set(
        &self,
        last: &mut Statement,
        now: Tick,
        until: Tick,
        stated_at: Tick,
        source: ColdSource,
    ) -> ColdChange {
        let was_cold = self.is_cold(now);
        *last = Statement { stated_at, source, needs_check: false };
        let previous = self.until.swap(until.0, Ordering::AcqRel);
        let moved = until.since(Tick(previous)).max(Tick(previous).since(until));
        match now < until {
            true if was_cold && moved <= END_TOLERANCE => ColdChange::Unchanged,
            true => ColdChange::Cold,
            false if was_cold => ColdChange::Ended,
            false => ColdChange::Unchanged,
        }
    }

    fn end(&self) -> Tick {
        Tick(self.until.load(Ordering::Acquire))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Statement> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
