//! State of one upstream as observed by an entry.

use {
    super::Distance,
    crate::{
        limits::WARMING_DURATION,
        schema::{GateState, Health, LoadReport, MemberRecord},
        tick::{Tick, micros},
    },
    std::{
        sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// Duration of the first ejection; doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Time after an ejection during which the upstream receives fewer requests.
const SLOW_START: Duration = Duration::from_secs(5);

/// Time during which a gate receives no attempts after connecting to it failed.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Age up to which a load report alone marks a gate as draining. After this time, gossip has disseminated
/// whether its upstream is draining. An upstream that was only absent may be available again; if it isn't,
/// the gate refuses the attempt as not run, which does no harm.
const DRAINING_REPORT_MAX_AGE: Duration = Duration::from_secs(1);

/// Inverse weight of one sample in the average round trip.
const ROUND_TRIP_SMOOTHING_DIVISOR: u64 = 8;

/// Upstream with the last load report of its gate and what the entry itself observed.
///
/// All methods may be called by several threads at once. A reader may then get fields of two consecutive
/// reports, which only makes an estimate less accurate.
#[derive(Debug)]
pub struct Candidate {
    /// Member record of the gate's node.
    pub member: MemberRecord,
    /// Distance from the entry.
    pub distance: Distance,
    health: AtomicU8,
    sequence: AtomicU64,
    load: AtomicU64,
    latency_us: AtomicU32,
    slowness_percent: AtomicU32,
    reported_at: AtomicU64,
    outstanding: AtomicU32,
    sent_since_report: AtomicU32,
    progress_at: AtomicU64,
    round_trip_us: AtomicU64,
    ejected_until: AtomicU64,
    ejections: AtomicU32,
    unreachable_until: AtomicU64,
    probed_at: AtomicU64,
}

impl Candidate {
    /// Creates a candidate without a load report.
    pub fn new(member: MemberRecord, distance: Distance, slots: u16) -> Self {
        let empty = LoadReport { slots, ..LoadReport::default() };
        Self {
            health: AtomicU8::new(member.health as u8),
            member,
            distance,
            sequence: AtomicU64::new(0),
            load: AtomicU64::new(pack(&empty)),
            latency_us: AtomicU32::new(0),
            slowness_percent: AtomicU32::new(0),
            reported_at: AtomicU64::new(0),
            outstanding: AtomicU32::new(0),
            sent_since_report: AtomicU32::new(0),
            progress_at: AtomicU64::new(0),
            round_trip_us: AtomicU64::new(micros(distance.initial_round_trip())),
            ejected_until: AtomicU64::new(0),
            ejections: AtomicU32::new(0),
            unreachable_until: AtomicU64::new(0),
            probed_at: AtomicU64::new(0),
        }
    }

    /// Records a load report; returns `false` and drops it if it isn't newer than the last one.
    pub fn record_report(&self, now: Tick, report: &LoadReport) -> bool {
        let previous = self.sequence.fetch_max(report.sequence, Ordering::AcqRel);
        if previous >= report.sequence {
            return false;
        }
        self.load.store(pack(report), Ordering::Release);
        self.latency_us.store(report.latency_us, Ordering::Release);
        self.slowness_percent.store(u32::from(report.slowness_percent), Ordering::Release);
        self.sent_since_report.store(0, Ordering::Release);
        self.reported_at.store(now.0, Ordering::Release);
        self.unreachable_until.store(0, Ordering::Relaxed);
        true
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&self, now: Tick) {
        if self.outstanding.fetch_add(1, Ordering::AcqRel) == 0 {
            self.progress_at.store(now.0, Ordering::Relaxed);
        }
        self.sent_since_report.fetch_add(1, Ordering::AcqRel);
    }

    /// Records the end of an attempt with any outcome; `gate_responded` if the gate sent anything for it.
    pub fn record_ended(&self, now: Tick, gate_responded: bool) {
        let previous = self.outstanding.fetch_sub(1, Ordering::AcqRel);
        invariant!(previous > 0, "outstanding_never_negative");
        if gate_responded {
            self.progress_at.store(now.0, Ordering::Relaxed);
        }
    }

    /// Records that connecting to the gate failed: it receives no attempts for `CONNECT_RETRY_INTERVAL`, or
    /// until its next load report.
    pub fn record_connect_failure(&self, now: Tick) {
        self.unreachable_until.store((now + CONNECT_RETRY_INTERVAL).0, Ordering::Relaxed);
    }

    /// Claims the right to send a probe; `false` if another was sent within `interval`.
    pub fn claim_probe(&self, now: Tick, interval: Duration) -> bool {
        let claim = |last: u64| (now.since(Tick(last)) >= interval || last == 0).then_some(now.0);
        self.probed_at.fetch_update(Ordering::AcqRel, Ordering::Acquire, claim).is_ok()
    }

    /// Records a measured round trip to the gate.
    pub fn observe_round_trip(&self, round_trip: Duration) {
        let sample = micros(round_trip);
        let old = self.round_trip_us.load(Ordering::Relaxed);
        let next =
            (old * (ROUND_TRIP_SMOOTHING_DIVISOR - 1) + sample) / ROUND_TRIP_SMOOTHING_DIVISOR;
        self.round_trip_us.store(next, Ordering::Relaxed);
    }

    /// Sets the member's health as disseminated by gossip.
    pub fn set_health(&self, health: Health) {
        self.health.store(health as u8, Ordering::Relaxed);
    }

    /// Ejects the upstream for a time that doubles with each ejection, unless it is ejected already.
    pub fn eject(&self, now: Tick) {
        if self.is_ejected(now) {
            return;
        }
        let count = self.ejections.fetch_add(1, Ordering::Relaxed).min(5);
        let duration = (FIRST_EJECTION * (1 << count)).min(MAX_EJECTION);
        self.ejected_until.store((now + duration).0, Ordering::Relaxed);
    }

    /// Whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: Tick) -> bool {
        now.0 < self.ejected_until.load(Ordering::Relaxed)
    }

    /// Whether an ejection of the upstream ended less than `SLOW_START` ago.
    pub fn is_in_slow_start(&self, now: Tick) -> bool {
        let until = self.ejected_until.load(Ordering::Relaxed);
        until > 0 && until <= now.0 && now.0 < until.saturating_add(micros(SLOW_START))
    }

    /// Whether the gate may accept new attempts at all.
    pub fn is_usable(&self, now: Tick) -> bool {
        !self.is_draining_or_dead(now) && now.0 >= self.unreachable_until.load(Ordering::Relaxed)
    }

    /// Whether gossip marks the node as draining or dead, or the gate recently reported that it is draining.
    pub fn is_draining_or_dead(&self, now: Tick) -> bool {
        let health = self.health.load(Ordering::Relaxed);
        let draining_or_dead = health == Health::Draining as u8 || health == Health::Dead as u8;
        let recently_reported =
            || self.report_age(now).is_some_and(|age| age < DRAINING_REPORT_MAX_AGE);
        draining_or_dead || (self.state() == GateState::Draining && recently_reported())
    }

    /// Whether the upstream is neither ejected nor suspect nor shedding.
    pub fn is_healthy(&self, now: Tick) -> bool {
        !self.is_ejected(now) && !self.is_suspect() && self.state() != GateState::Shedding
    }

    /// Whether gossip marks the member as suspect.
    pub fn is_suspect(&self) -> bool {
        self.health.load(Ordering::Relaxed) == Health::Suspect as u8
    }

    /// Returns the gate state of the last report.
    pub fn state(&self) -> GateState {
        unpack(self.load.load(Ordering::Acquire)).state
    }

    /// Whether the last report says that the upstream is warming and is recent enough for that to hold still.
    ///
    /// An upstream without traffic sends no newer report, so its state must expire here.
    pub fn is_warming(&self, now: Tick) -> bool {
        self.state() == GateState::Warming
            && self.report_age(now).is_some_and(|age| age < WARMING_DURATION)
    }

    /// Returns the last report.
    pub fn last_report(&self) -> LoadReport {
        let load = unpack(self.load.load(Ordering::Acquire));
        LoadReport {
            sequence: self.sequence.load(Ordering::Acquire),
            latency_us: self.latency_us.load(Ordering::Acquire),
            slowness_percent: self.slowness_percent.load(Ordering::Acquire) as u16,
            ..load
        }
    }

    /// Returns the time since the last report, or `None` if there was none.
    pub fn report_age(&self, now: Tick) -> Option<Duration> {
        let reported = self.sequence.load(Ordering::Acquire) > 0;
        reported.then(|| now.since(Tick(self.reported_at.load(Ordering::Acquire))))
    }

    /// Returns the number of attempts of this entry that have not ended.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Acquire)
    }

    /// Returns the number of attempts that this entry sent since it received the last report.
    pub fn sent_since_report(&self) -> u32 {
        self.sent_since_report.load(Ordering::Acquire)
    }

    /// Returns the time since the gate last responded, or since the first outstanding attempt was sent if
    /// that is later; zero while no attempt is outstanding.
    pub fn time_since_progress(&self, now: Tick) -> Duration {
        if self.outstanding() == 0 {
            return Duration::ZERO;
        }
        now.since(Tick(self.progress_at.load(Ordering::Relaxed)))
    }

    /// Returns the smoothed round trip to the gate.
    pub fn round_trip(&self) -> Duration {
        Duration::from_micros(self.round_trip_us.load(Ordering::Relaxed))
    }
}

/// Packs slots, request counts and state into one integer, to store them in one atomic.
fn pack(report: &LoadReport) -> u64 {
    u64::from(report.slots)
        | u64::from(report.running) << 16
        | u64::from(report.queued) << 32
        | u64::from(report.state.code()) << 48
}

fn unpack(load: u64) -> LoadReport {
    LoadReport {
        slots: load as u16,
        running: (load >> 16) as u16,
        queued: (load >> 32) as u16,
        state: GateState::from_code((load >> 48) as u8).unwrap_or_default(),
        ..LoadReport::default()
    }
}
