//! One upstream as an entry knows it.

use {
    super::Distance,
    crate::{
        schema::{GateState, Health, LoadReport, MemberRecord},
        tick::{Tick, micros},
    },
    std::{
        sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// First ejection; doubles with each one that follows.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Time after an ejection during which the upstream gets less work.
const SLOW_START: Duration = Duration::from_secs(5);

/// Time during which a gate that could not be connected to gets nothing.
const REFUSED_TIME: Duration = Duration::from_secs(1);

/// Time for which a report alone says that a gate takes nothing. By then gossip tells whether its upstream leaves; one
/// that was only missing may be back, and an attempt that comes too early is refused as not run.
const CLOSED_TIME: Duration = Duration::from_secs(1);

/// Smoothing of the link's round trip, as a divisor.
const ROUND_TRIP_SMOOTHING: u64 = 8;

/// An upstream with the last report of its gate and what the entry itself knows.
///
/// All methods may be called by many threads at once; fields of one report may be read mixed with the
/// next one's, which only blurs an estimate.
#[derive(Debug)]
pub struct Candidate {
    /// The gate's node.
    pub member: MemberRecord,
    /// Where it is.
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
    refused_until: AtomicU64,
    probed_at: AtomicU64,
}

impl Candidate {
    /// A candidate of which nothing is known yet.
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
            refused_until: AtomicU64::new(0),
            probed_at: AtomicU64::new(0),
        }
    }

    /// Takes a report; one that is not newer than the last is dropped and gives `false`.
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
        self.refused_until.store(0, Ordering::Relaxed);
        true
    }

    /// Notes an attempt sent.
    pub fn record_sent(&self, now: Tick) {
        if self.outstanding.fetch_add(1, Ordering::AcqRel) == 0 {
            self.progress_at.store(now.0, Ordering::Relaxed);
        }
        self.sent_since_report.fetch_add(1, Ordering::AcqRel);
    }

    /// Notes the end of an attempt, whatever its outcome; `answered` when the gate gave a sign of life.
    pub fn record_ended(&self, now: Tick, answered: bool) {
        let previous = self.outstanding.fetch_sub(1, Ordering::AcqRel);
        invariant!(previous > 0, "outstanding_never_negative");
        if answered {
            self.progress_at.store(now.0, Ordering::Relaxed);
        }
    }

    /// Notes that the gate could not be connected to: it gets nothing for a while, or until it reports.
    pub fn record_connection_refused(&self, now: Tick) {
        self.refused_until.store((now + REFUSED_TIME).0, Ordering::Relaxed);
    }

    /// Claims a probe: `false` if another was sent within `interval`.
    pub fn claim_probe(&self, now: Tick, interval: Duration) -> bool {
        let claim = |last: u64| (now.since(Tick(last)) >= interval || last == 0).then_some(now.0);
        self.probed_at.fetch_update(Ordering::AcqRel, Ordering::Acquire, claim).is_ok()
    }

    /// Takes a measured round trip to the gate.
    pub fn observe_round_trip(&self, round_trip: Duration) {
        let sample = micros(round_trip);
        let old = self.round_trip_us.load(Ordering::Relaxed);
        let next = (old * (ROUND_TRIP_SMOOTHING - 1) + sample) / ROUND_TRIP_SMOOTHING;
        self.round_trip_us.store(next, Ordering::Relaxed);
    }

    /// Takes the member's health as gossip knows it.
    pub fn set_health(&self, health: Health) {
        self.health.store(health as u8, Ordering::Relaxed);
    }

    /// Ejects the upstream for a time that doubles with each ejection.
    pub fn eject(&self, now: Tick) {
        if self.is_ejected(now) {
            return;
        }
        let count = self.ejections.fetch_add(1, Ordering::Relaxed).min(5);
        let time = (FIRST_EJECTION * (1 << count)).min(MAX_EJECTION);
        self.ejected_until.store((now + time).0, Ordering::Relaxed);
    }

    /// Whether the upstream is ejected.
    pub fn is_ejected(&self, now: Tick) -> bool {
        now.0 < self.ejected_until.load(Ordering::Relaxed)
    }

    /// Whether the upstream came back from an ejection lately.
    pub fn is_in_slow_start(&self, now: Tick) -> bool {
        let until = self.ejected_until.load(Ordering::Relaxed);
        until > 0 && until <= now.0 && now.0 < until.saturating_add(micros(SLOW_START))
    }

    /// Whether the gate may take new work at all.
    pub fn is_usable(&self, now: Tick) -> bool {
        !self.is_draining_or_dead(now) && now.0 >= self.refused_until.load(Ordering::Relaxed)
    }

    /// Whether the gate drains, or said so a short time ago, or its node is dead.
    pub fn is_draining_or_dead(&self, now: Tick) -> bool {
        let health = self.health.load(Ordering::Relaxed);
        let dead = health == Health::Draining as u8 || health == Health::Dead as u8;
        let said_so = || self.report_age(now).is_some_and(|age| age < CLOSED_TIME);
        dead || (self.state() == GateState::Draining && said_so())
    }

    /// Whether gossip suspects the member to be dead.
    pub fn is_suspect(&self) -> bool {
        self.health.load(Ordering::Relaxed) == Health::Suspect as u8
    }

    /// State of the last report.
    pub fn state(&self) -> GateState {
        unpack(self.load.load(Ordering::Acquire)).state
    }

    /// The last report.
    pub fn last_report(&self) -> LoadReport {
        let load = unpack(self.load.load(Ordering::Acquire));
        LoadReport {
            sequence: self.sequence.load(Ordering::Acquire),
            latency_us: self.latency_us.load(Ordering::Acquire),
            slowness_percent: self.slowness_percent.load(Ordering::Acquire) as u16,
            ..load
        }
    }

    /// Time since the last report; none if there was none.
    pub fn report_age(&self, now: Tick) -> Option<Duration> {
        let reported = self.sequence.load(Ordering::Acquire) > 0;
        reported.then(|| now.since(Tick(self.reported_at.load(Ordering::Acquire))))
    }

    /// Attempts of this entry that have not ended.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Acquire)
    }

    /// Attempts of this entry sent after the last report came.
    pub fn sent_since_report(&self) -> u32 {
        self.sent_since_report.load(Ordering::Acquire)
    }

    /// Time that the entry has waited without any sign of life while attempts are out.
    pub fn time_since_progress(&self, now: Tick) -> Duration {
        if self.outstanding() == 0 {
            return Duration::ZERO;
        }
        now.since(Tick(self.progress_at.load(Ordering::Relaxed)))
    }

    /// Smoothed round trip to the gate.
    pub fn round_trip(&self) -> Duration {
        Duration::from_micros(self.round_trip_us.load(Ordering::Relaxed))
    }
}

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
