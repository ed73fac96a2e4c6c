//! Admission control of one gate: decides which attempts run, wait or are refused.

use {
    super::{AdaptiveLimit, AdmissionRequest, Slots, Slowness, StatedRate},
    crate::{
        schema::{GateState, LoadReport},
        tick::Tick,
    },
    std::{
        sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// Number of queued attempts per slot above which the queue sheds.
const QUEUE_BOUND_PER_SLOT: u32 = 2;

/// Multiple of the queue bound that the queue may reach for a moment: an attempt of any calling service is
/// still enqueued, and then the longest sub-queue sheds its newest attempt.
const QUEUE_OVERFLOW_FACTOR: u32 = 2;

/// Time during which an upstream is reported as warming after it started or recovered.
const WARMING_DURATION: Duration = Duration::from_secs(3);

/// Share of the slots, in percent, up to which attempts that will miss their target latency are admitted.
const LATE_SLOTS_PERCENT: u32 = 70;

/// Longest time from the moment at which the stated rate allows a start until the queue starts an attempt: two
/// intervals of its checks. Without it, attempts would be admitted that miss their target latency by moments and
/// then wait behind all that can meet theirs.
const RATE_START_DELAY: Duration = Duration::from_millis(10);

value! {
    /// Decision on an attempt that requests admission.
    pub enum AdmissionDecision {
        /// A slot is taken; the attempt runs.
        Run,
        /// A place in the queue is taken; the attempt waits for a slot.
        Queue,
        /// The attempt isn't run here.
        Refuse(RefusalReason),
    }

    /// Reason why a gate refuses an attempt.
    pub enum RefusalReason {
        /// No slot is free and the attempt may not queue.
        Busy,
        /// The queue is full, or the wait would exceed the remaining time or the target latency.
        QueueFull,
        /// The gate's node is shutting down, or its upstream is draining or became absent while the attempt
        /// was queued.
        Draining,
        /// The gate has no upstream of the service, can't connect to it, or belongs to another incarnation
        /// of the node.
        NotHere,
        /// The attempt's connection was retired, or a settlement already reported the attempt as *not run*.
        Retired,
        /// The time budget is used up, or too short compared with the expected service time.
        Expired,
        /// The request crashed upstreams that ran it.
        Quarantined,
        /// The upstream itself rejected the request; each further attempt after it uses the retry budget.
        Shed,
    }
}

impl RefusalReason {
    /// Returns the name used in headers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::QueueFull => "queue-full",
            Self::Draining => "draining",
            Self::NotHere => "not-here",
            Self::Retired => "retired",
            Self::Expired => "expired",
            Self::Quarantined => "quarantined",
            Self::Shed => "shed",
        }
    }

    /// Parses the name of a reason; an unknown name counts as [`Self::NotHere`].
    pub fn from_name(name: &[u8]) -> Self {
        let all = [
            Self::Busy,
            Self::QueueFull,
            Self::Draining,
            Self::Retired,
            Self::Expired,
            Self::Quarantined,
            Self::Shed,
        ];
        all.into_iter().find(|r| r.name().as_bytes() == name).unwrap_or(Self::NotHere)
    }
}

/// Admission control of one upstream, the only place that admits attempts to it.
///
/// Call [`Gate::admit`] first, then [`Gate::release_slot`] for an attempt that ran. Queued attempts go
/// through [`super::WaitQueue`].
#[derive(Debug)]
pub struct Gate {
    slots: Slots,
    limit: AdaptiveLimit,
    queued: AtomicU32,
    sequence: AtomicU64,
    /// Whether the upstream is draining.
    upstream_draining: AtomicBool,
    /// Whether the node is shutting down; attempts that already wait at its gate are still run.
    leaving: AtomicBool,
    warming_until: AtomicU64,
    upstream_present: AtomicBool,
    /// Current slowness, as the upstream itself reports it.
    pub slowness: Slowness,
    /// Rate of requests that the upstream states to accept.
    pub stated_rate: StatedRate,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            slots: Slots::default(),
            limit: AdaptiveLimit::new(0),
            queued: AtomicU32::new(0),
            sequence: AtomicU64::new(0),
            upstream_draining: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            warming_until: AtomicU64::new(0),
            upstream_present: AtomicBool::new(false),
            slowness: Slowness::default(),
            stated_rate: StatedRate::default(),
        }
    }
}

impl Gate {
    /// Sets the share of the announced slots that is used; applies from the next announcement.
    pub fn set_usable_percent(&self, percent: u32) {
        self.limit.set_usable_percent(percent);
    }

    /// Applies an announcement of the upstream.
    pub fn announce(&self, now: Tick, slots: u16, draining: bool) {
        if !self.upstream_present.swap(true, Ordering::SeqCst) {
            self.warming_until.store((now + WARMING_DURATION).0, Ordering::Relaxed);
        }
        self.limit.announce(u32::from(slots));
        self.upstream_draining.store(draining, Ordering::SeqCst);
    }

    /// Reports the upstream as warming for `duration` from now on.
    pub fn warm_up(&self, now: Tick, duration: Duration) {
        self.warming_until.store((now + duration).0, Ordering::Relaxed);
    }

    /// Records that the upstream is no longer announced.
    pub fn mark_upstream_absent(&self) {
        self.upstream_present.store(false, Ordering::SeqCst);
    }

    /// Refuses all new attempts until the upstream is announced otherwise; returns whether it accepted them before.
    pub fn mark_upstream_draining(&self) -> bool {
        !self.upstream_draining.swap(true, Ordering::SeqCst)
    }

    /// Refuses all new attempts from now on, because the node is shutting down.
    pub fn drain(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether new attempts are refused because the node is shutting down or its upstream is draining.
    pub fn is_draining(&self) -> bool {
        self.leaving.load(Ordering::SeqCst) || self.upstream_draining.load(Ordering::SeqCst)
    }

    /// Whether queued attempts are still run at the upstream.
    pub fn runs_queued_attempts(&self) -> bool {
        self.upstream_present.load(Ordering::SeqCst)
            && !self.upstream_draining.load(Ordering::SeqCst)
    }

    /// Admits an attempt without a target latency, as [`Gate::admit`] does.
    pub fn admit_within(&self, remaining: Duration, may_queue: bool) -> AdmissionDecision {
        self.admit(&AdmissionRequest::new(remaining, may_queue))
    }

    /// Decides on an attempt and takes a slot or a queue place for it.
    ///
    /// An attempt that isn't expected to complete before its deadline is refused. One that would miss its
    /// target latency may use only part of the slots and isn't queued: attempts that can still be on time
    /// have precedence.
    pub fn admit(&self, req: &AdmissionRequest) -> AdmissionDecision {
        self.decide(req, true)
    }

    /// Decides as [`Gate::admit`] does, but leaves it to [`super::WaitQueue::remove_newest_if_late`] whether the wait is
    /// too long: it depends on who is waiting, not only on how many.
    ///
    /// A free slot goes to whoever comes first as long as nobody waits, which takes nothing from anyone. As soon as an
    /// attempt waits, each slot that becomes free goes by turn, also if one workspace always arrives first.
    pub fn admit_by_turn(&self, req: &AdmissionRequest) -> AdmissionDecision {
        self.decide(req, false)
    }

    fn decide(&self, req: &AdmissionRequest, judge_wait: bool) -> AdmissionDecision {
        if self.is_draining() {
            return AdmissionDecision::Refuse(RefusalReason::Draining);
        }
        if !self.upstream_present.load(Ordering::SeqCst) {
            return AdmissionDecision::Refuse(RefusalReason::NotHere);
        }
        let Some(max_wait) = req.max_wait().filter(|_| !req.remaining.is_zero()) else {
            return AdmissionDecision::Refuse(RefusalReason::Expired);
        };
        let queued = self.queued.load(Ordering::SeqCst);
        let is_late = req.max_on_time_wait().is_none();
        let slot_allowed =
            !is_late || self.slots.running() < self.limit.get() * LATE_SLOTS_PERCENT / 100;
        // An attempt that will be late anyway isn't deferred.
        let is_deferred = req.is_deferred && !is_late;
        if queued == 0 && slot_allowed && !is_deferred && self.try_start(req.arrived) {
            return AdmissionDecision::Run;
        }
        if !req.may_queue {
            return AdmissionDecision::Refuse(RefusalReason::Busy);
        }
        let Some(max_on_time_wait) = req.max_on_time_wait() else {
            return AdmissionDecision::Refuse(RefusalReason::QueueFull);
        };
        let max_wait = max_on_time_wait.min(max_wait);
        if judge_wait && self.expected_wait(req.arrived, queued + 1) > max_wait {
            return AdmissionDecision::Refuse(RefusalReason::QueueFull);
        }
        let bound = self.queue_bound() * QUEUE_OVERFLOW_FACTOR;
        let enqueue = |queued: u32| (queued < bound).then_some(queued + 1);
        match self.queued.fetch_update(Ordering::SeqCst, Ordering::SeqCst, enqueue) {
            Ok(_) => AdmissionDecision::Queue,
            Err(_) => AdmissionDecision::Refuse(RefusalReason::QueueFull),
        }
    }

    /// Takes a slot for a request that starts now, if one is free and the stated rate allows a start.
    pub fn try_start(&self, now: Tick) -> bool {
        if !self.slots.try_take(self.limit.get()) {
            return false;
        }
        let is_allowed = self.stated_rate.try_take(now);
        if !is_allowed {
            self.slots.release();
        }
        is_allowed
    }

    /// Releases a queue place that [`Gate::admit`] took.
    pub fn release_queue_place(&self) {
        let previous = self.queued.fetch_sub(1, Ordering::SeqCst);
        invariant!(previous > 0, "queue_never_negative");
    }

    /// Releases the slot of an attempt that ran.
    pub fn release_slot(&self) {
        self.slots.release();
    }

    /// Records the result of one request: the time from its start to the response head, and whether it
    /// succeeded.
    pub fn observe(&self, now: Tick, service_time: Duration, success: bool) {
        let was_failing = self.limit.is_failing(now);
        self.limit.observe(now, service_time, success, self.slots.running());
        if was_failing && !self.limit.is_failing(now) {
            self.warming_until.store((now + WARMING_DURATION).0, Ordering::Relaxed);
        }
    }

    /// Whether any attempt is queued.
    pub fn has_queue(&self) -> bool {
        self.queued.load(Ordering::SeqCst) > 0
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.slots.running()
    }

    /// Returns a load report with a higher sequence number than all before.
    pub fn next_load_report(&self, now: Tick) -> LoadReport {
        LoadReport {
            sequence: self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            slots: self.usable_slots() as u16,
            running: self.slots.running() as u16,
            queued: self.queued.load(Ordering::SeqCst) as u16,
            latency_us: u32::try_from(self.limit.latency_us()).unwrap_or(u32::MAX),
            slowness_percent: self.slowness.relative_percent(now) as u16,
            state: self.state(now),
        }
    }

    /// Returns the number of slots that can be in use at once, which a stated rate lowers.
    fn usable_slots(&self) -> u32 {
        let slots = self.limit.get();
        let concurrency = self.stated_rate.concurrency(self.limit.latency_us());
        concurrency.map_or(slots, |running| running.min(slots))
    }

    fn state(&self, now: Tick) -> GateState {
        let upstream_present = self.upstream_present.load(Ordering::SeqCst);
        match now {
            _ if self.is_draining() || !upstream_present => GateState::Draining,
            _ if self.limit.is_failing(now) => GateState::Shedding,
            _ if now.0 < self.warming_until.load(Ordering::Relaxed) => GateState::Warming,
            _ => GateState::Ready,
        }
    }

    /// Returns the number of attempts above which the queue sheds.
    pub fn queue_bound(&self) -> u32 {
        self.limit.get().saturating_mul(QUEUE_BOUND_PER_SLOT)
    }

    /// Returns the expected wait at a position in the queue; the first position is 1.
    pub(super) fn expected_wait(&self, now: Tick, position: u32) -> Duration {
        let slots = u64::from(self.limit.get().max(1));
        let for_slot = Duration::from_micros(self.limit.latency_us() * u64::from(position) / slots);
        let for_rate = self.stated_rate.wait(now, position);
        if for_rate.is_zero() { for_slot } else { for_slot.max(for_rate + RATE_START_DELAY) }
    }
}
