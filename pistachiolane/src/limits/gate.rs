//! Admission of one gate: who runs, who waits, who is refused.

use {
    super::{AdaptiveLimit, AdmissionRequest, Slots, Slowness},
    crate::{
        schema::{GateState, LoadReport},
        tick::Tick,
    },
    std::{
        sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// Requests that may queue for each slot.
const QUEUE_PER_SLOT: u32 = 2;

/// Places beyond the queue's bound, as a factor, that a caller's service may take until the longest line
/// gives one up.
const SHED_FACTOR: u32 = 2;

/// Time during which an upstream that came up or recovered is reported as warming.
const WARMING_TIME: Duration = Duration::from_secs(3);

/// Share of the slots in percent that requests may fill which will end late.
const LATE_PERCENT: u32 = 70;

value! {
    /// What happens to an attempt that arrives.
    pub enum AdmissionDecision {
        /// A slot is taken; run it.
        Run,
        /// A place in the queue is taken; it waits for a slot.
        Queue,
        /// It is not run here.
        Refuse(RefusalReason),
    }

    /// Why a gate refuses an attempt.
    pub enum RefusalReason {
        /// No slot is free and the attempt may not queue.
        Busy,
        /// The queue is full, or the wait would be longer than the time left.
        QueueFull,
        /// The gate or its upstream drains.
        Draining,
        /// The gate has no upstream of the service, or is another run than the one addressed.
        NotHere,
        /// The attempt's connection was retired, or the attempt came twice.
        Retired,
        /// The time budget was used up.
        Expired,
        /// The upstream itself turned the request away; each such arrival counts against the retry budget.
        Shed,
    }
}

impl RefusalReason {
    /// Short name in headers and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::QueueFull => "queue-full",
            Self::Draining => "draining",
            Self::NotHere => "not-here",
            Self::Retired => "retired",
            Self::Expired => "expired",
            Self::Shed => "shed",
        }
    }

    /// Reason of a name; an unknown one counts as the gate not being usable.
    pub fn from_name(name: &[u8]) -> Self {
        let all =
            [Self::Busy, Self::QueueFull, Self::Draining, Self::Retired, Self::Expired, Self::Shed];
        all.into_iter().find(|r| r.name().as_bytes() == name).unwrap_or(Self::NotHere)
    }
}

/// The only place that admits requests to one upstream.
///
/// Entry points: [`Gate::admit_within`], then [`Gate::release_slot`] for what runs; what queues goes through
/// [`super::WaitQueue`].
#[derive(Debug)]
pub struct Gate {
    slots: Slots,
    limit: AdaptiveLimit,
    queued: AtomicU32,
    sequence: AtomicU64,
    /// The upstream wants no new work.
    upstream_drains: AtomicBool,
    /// The node leaves; what waits at its gate is still run.
    leaving: AtomicBool,
    ready_at: AtomicU64,
    present: AtomicBool,
    /// How long work takes at the upstream at this moment, by its own account.
    pub slowness: Slowness,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            slots: Slots::default(),
            limit: AdaptiveLimit::new(0),
            queued: AtomicU32::new(0),
            sequence: AtomicU64::new(0),
            upstream_drains: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            ready_at: AtomicU64::new(0),
            present: AtomicBool::new(false),
            slowness: Slowness::default(),
        }
    }
}

impl Gate {
    /// Sets the share of the announced slots that is used, from the next announcement on.
    pub fn set_usable_percent(&self, percent: u32) {
        self.limit.set_usable_percent(percent);
    }

    /// Takes an announcement of the upstream.
    pub fn announce(&self, now: Tick, slots: u16, draining: bool) {
        if !self.present.swap(true, Ordering::SeqCst) {
            self.ready_at.store((now + WARMING_TIME).0, Ordering::Relaxed);
        }
        self.limit.announce(u32::from(slots));
        self.upstream_drains.store(draining, Ordering::SeqCst);
    }

    /// Reports the upstream as warming for a time.
    pub fn warm_up(&self, now: Tick, time: Duration) {
        self.ready_at.store((now + time).0, Ordering::Relaxed);
    }

    /// Notes that the upstream stopped announcing itself.
    pub fn mark_upstream_absent(&self) {
        self.present.store(false, Ordering::SeqCst);
    }

    /// Refuses all work that comes from now on, as the node leaves.
    pub fn drain(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether new work is refused because the node or its upstream leaves.
    pub fn is_draining(&self) -> bool {
        self.leaving.load(Ordering::SeqCst) || self.upstream_drains.load(Ordering::SeqCst)
    }

    /// Whether the upstream still takes what waits for it.
    pub fn runs_queued_attempts(&self) -> bool {
        self.present.load(Ordering::SeqCst) && !self.upstream_drains.load(Ordering::SeqCst)
    }

    /// Decides on an attempt of which only the time left is known; as [`Gate::admit`].
    pub fn admit_within(&self, remaining: Duration, may_queue: bool) -> AdmissionDecision {
        self.admit(&AdmissionRequest::new(remaining, may_queue))
    }

    /// Decides on an attempt; a slot or a queue place is taken at once.
    ///
    /// What cannot end in time is refused. What would end late gets only slots that are to spare, and does
    /// not wait: those who can still be served on time go first.
    pub fn admit(&self, demand: &AdmissionRequest) -> AdmissionDecision {
        if self.is_draining() {
            return AdmissionDecision::Refuse(RefusalReason::Draining);
        }
        if !self.present.load(Ordering::SeqCst) {
            return AdmissionDecision::Refuse(RefusalReason::NotHere);
        }
        let Some(max_wait) = demand.max_wait().filter(|_| !demand.remaining.is_zero()) else {
            return AdmissionDecision::Refuse(RefusalReason::Expired);
        };
        let queued = self.queued.load(Ordering::SeqCst);
        let late = demand.max_on_time_wait().is_none();
        let spare = !late || self.slots.running() < self.limit.get() * LATE_PERCENT / 100;
        if queued == 0 && spare && self.try_take_slot() {
            return AdmissionDecision::Run;
        }
        if !demand.may_queue {
            return AdmissionDecision::Refuse(RefusalReason::Busy);
        }
        let Some(max_on_time_wait) = demand.max_on_time_wait() else {
            return AdmissionDecision::Refuse(RefusalReason::QueueFull);
        };
        if self.expected_wait(queued + 1) > max_on_time_wait.min(max_wait) {
            return AdmissionDecision::Refuse(RefusalReason::QueueFull);
        }
        let bound = self.queue_bound() * SHED_FACTOR;
        let join = |queued: u32| (queued < bound).then_some(queued + 1);
        match self.queued.fetch_update(Ordering::SeqCst, Ordering::SeqCst, join) {
            Ok(_) => AdmissionDecision::Queue,
            Err(_) => AdmissionDecision::Refuse(RefusalReason::QueueFull),
        }
    }

    /// Takes a slot if one is free.
    pub fn try_take_slot(&self) -> bool {
        self.slots.try_take(self.limit.get())
    }

    /// Gives back a queue place that [`Gate::admit_within`] took.
    pub fn release_queue_place(&self) {
        let previous = self.queued.fetch_sub(1, Ordering::SeqCst);
        invariant!(previous > 0, "queue_never_negative");
    }

    /// Gives back the slot of a request that ran.
    pub fn release_slot(&self) {
        self.slots.release();
    }

    /// Takes how one request went: time from the start to the answer's head, and whether it succeeded.
    pub fn observe(&self, now: Tick, service_time: Duration, success: bool) {
        let was_failing = self.limit.is_failing(now);
        self.limit.observe(now, service_time, success, self.slots.running());
        if was_failing && !self.limit.is_failing(now) {
            self.ready_at.store((now + WARMING_TIME).0, Ordering::Relaxed);
        }
    }

    /// Whether anything queues.
    pub fn has_queue(&self) -> bool {
        self.queued.load(Ordering::SeqCst) > 0
    }

    /// Requests running.
    pub fn running(&self) -> u32 {
        self.slots.running()
    }

    /// A load report, later than all before.
    pub fn next_load_report(&self, now: Tick) -> LoadReport {
        LoadReport {
            sequence: self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            slots: self.limit.get() as u16,
            running: self.slots.running() as u16,
            queued: self.queued.load(Ordering::SeqCst) as u16,
            latency_us: u32::try_from(self.limit.latency_us()).unwrap_or(u32::MAX),
            slowness_percent: self.slowness.relative_percent(now) as u16,
            state: self.state(now),
        }
    }

    fn state(&self, now: Tick) -> GateState {
        let present = self.present.load(Ordering::SeqCst);
        match now {
            _ if self.is_draining() || !present => GateState::Draining,
            _ if self.limit.is_failing(now) => GateState::Shedding,
            _ if now.0 < self.ready_at.load(Ordering::Relaxed) => GateState::Warming,
            _ => GateState::Ready,
        }
    }

    /// Attempts that may queue for long.
    pub fn queue_bound(&self) -> u32 {
        self.limit.get().saturating_mul(QUEUE_PER_SLOT)
    }

    fn expected_wait(&self, position: u32) -> Duration {
        let slots = u64::from(self.limit.get().max(1));
        Duration::from_micros(self.limit.latency_us() * u64::from(position) / slots)
    }
}
