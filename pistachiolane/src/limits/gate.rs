//! Admission control of one gate: decides which attempts run, wait or are refused.

use {
    super::{
        AdaptiveLimit, AdmissionRequest, Slots, Slowness, StatedRate, Urgency, ZoneEvacuation,
        ZoneState,
    },
    crate::{
        schema::{GateState, LoadReport},
        tick::{Tick, micros},
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
pub const WARMING_DURATION: Duration = Duration::from_secs(3);

/// Share of the slots, in percent, up to which attempts that will miss their target latency are admitted.
const LATE_SLOTS_PERCENT: u32 = 70;

/// Service time that is assumed under a rate in force until a request has shown it.
const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Largest number of queued requests that a load report shows for the wait that a rate causes.
const MAX_HELD_REQUESTS: u32 = 1_000;

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
        /// of the node, or doesn't know yet whether its zone is evacuated.
        NotHere,
        /// The attempt's connection was retired, or a settlement already reported the attempt as *not run*.
        Retired,
        /// The time budget is used up, or too short compared with the expected service time.
        Expired,
        /// The availability zone of the gate is evacuated, or its upstream's state is not read yet after the end of
        /// an evacuation.
        Evacuated,
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
            Self::Evacuated => "evacuated",
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
            Self::Evacuated,
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
    /// Attempts that the queue task holds, by level of urgency.
    queued_by_urgency: [AtomicU32; Urgency::LEVELS],
    sequence: AtomicU64,
    /// Whether the upstream is draining.
    upstream_draining: AtomicBool,
    /// Whether the node is shutting down; attempts that already wait at its gate are still run.
    leaving: AtomicBool,
    warming_until: AtomicU64,
    upstream_present: AtomicBool,
    /// Current slowness, as the upstream itself reports it.
    pub slowness: Slowness,
    /// Rate of requests that the upstream accepts, as it states or while it is cold.
    pub stated_rate: StatedRate,
    /// Evacuation of the gate's availability zone.
    pub zone: ZoneState,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            slots: Slots::default(),
            limit: AdaptiveLimit::new(0),
            queued: AtomicU32::new(0),
            queued_by_urgency: Default::default(),
            sequence: AtomicU64::new(0),
            upstream_draining: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            warming_until: AtomicU64::new(0),
            upstream_present: AtomicBool::new(false),
            slowness: Slowness::default(),
            stated_rate: StatedRate::default(),
            zone: ZoneState::default(),
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
    pub fn runs_queued_attempts(&self, now: Tick) -> bool {
        self.upstream_present.load(Ordering::SeqCst)
            && !self.upstream_draining.load(Ordering::SeqCst)
            && self.zone_refusal(now).is_none()
    }

    /// Returns the reason why queued attempts are not run, given that they aren't.
    pub fn queue_refusal(&self, now: Tick) -> RefusalReason {
        self.zone_refusal(now).unwrap_or(RefusalReason::Draining)
    }

    /// Returns the reason why the evacuation of the gate's zone forbids to start an attempt, if it does.
    fn zone_refusal(&self, now: Tick) -> Option<RefusalReason> {
        match self.zone.observe(now) {
            ZoneEvacuation::None => None,
            ZoneEvacuation::Unknown => Some(RefusalReason::NotHere),
            ZoneEvacuation::Evacuated | ZoneEvacuation::Reopening => Some(RefusalReason::Evacuated),
        }
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
        if let Some(reason) = self.zone_refusal(req.arrived) {
            return AdmissionDecision::Refuse(reason);
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
        let position = self.queued_before(queued, self.urgency(req)) + 1;
        if judge_wait && self.expected_wait(req.arrived, position) > max_wait {
            return AdmissionDecision::Refuse(RefusalReason::QueueFull);
        }
        let bound = self.queue_bound() * QUEUE_OVERFLOW_FACTOR;
        let enqueue = |queued: u32| (queued < bound).then_some(queued + 1);
        match self.queued.fetch_update(Ordering::SeqCst, Ordering::SeqCst, enqueue) {
            Ok(_) => AdmissionDecision::Queue,
            Err(_) => AdmissionDecision::Refuse(RefusalReason::QueueFull),
        }
    }

    /// Takes a slot for a request that starts now, if one is free and the rate in force allows a start.
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

    /// Returns the urgency with which an attempt would wait.
    pub fn urgency(&self, req: &AdmissionRequest) -> Urgency {
        let average = Duration::from_micros(self.limit.latency_us());
        Urgency::new(req.priority, req.max_on_time_wait().unwrap_or_default(), average)
    }

    /// Returns the number of the `queued` attempts that are served before a new one of this urgency. Those that the
    /// queue task has not taken yet count as more urgent.
    fn queued_before(&self, queued: u32, urgency: Urgency) -> u32 {
        let less_urgent = &self.queued_by_urgency[urgency.level() + 1..];
        queued.saturating_sub(less_urgent.iter().map(|q| q.load(Ordering::Relaxed)).sum())
    }

    /// Publishes the number of attempts that the queue task holds, by level of urgency.
    pub fn publish_queue(&self, held: &[u32; Urgency::LEVELS]) {
        for (level, held) in self.queued_by_urgency.iter().zip(held) {
            level.store(*held, Ordering::Relaxed);
        }
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
        let slots = self.usable_slots(now);
        let queued = self.queued.load(Ordering::SeqCst).max(self.requests_held_by_rate(now, slots));
        LoadReport {
            sequence: self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            slots: slots as u16,
            running: self.slots.running() as u16,
            queued: u16::try_from(queued).unwrap_or(u16::MAX),
            latency_us: u32::try_from(self.limit.latency_us()).unwrap_or(u32::MAX),
            slowness_percent: self.slowness.relative_percent(now) as u16,
            state: self.state(now),
        }
    }

    /// Returns the number of slots that can be in use at once, which a rate in force lowers.
    fn usable_slots(&self, now: Tick) -> u32 {
        let slots = self.limit.get();
        let concurrency = self.stated_rate.concurrency(now, self.service_time_us());
        concurrency.map_or(slots, |running| running.min(slots))
    }

    /// Returns the number of queued requests that would delay the next start as long as the rate in force does. An
    /// upstream with a low rate and a short service time has a free slot nearly always, but can't start a request.
    fn requests_held_by_rate(&self, now: Tick, slots: u32) -> u32 {
        let wait_us = micros(self.stated_rate.wait(now, 1));
        let held = (wait_us * u64::from(slots)).div_ceil(self.service_time_us());
        held.min(u64::from(MAX_HELD_REQUESTS)) as u32
    }

    fn service_time_us(&self) -> u64 {
        match self.limit.latency_us() {
            0 => micros(UNKNOWN_SERVICE_TIME),
            latency_us => latency_us,
        }
    }

    fn state(&self, now: Tick) -> GateState {
        let upstream_present = self.upstream_present.load(Ordering::SeqCst);
        match now {
            _ if self.is_draining() || !upstream_present => GateState::Draining,
            _ if self.zone.get() != ZoneEvacuation::None => GateState::Draining,
            _ if self.limit.is_failing(now) => GateState::Shedding,
            _ if now.0 < self.warming_until.load(Ordering::Relaxed)
                || self.stated_rate.cold.is_cold(now) =>
            {
                GateState::Warming
            }
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
