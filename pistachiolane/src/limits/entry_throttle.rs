//! Throttle of an entry: rejects calls of a service that refuses too many of them, before any attempt.

use {
    super::WindowCounter,
    crate::tick::Tick,
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Calls sent for each accepted one while calls are rejected. The excess keeps the queues of the gates filled and shows
/// when there is room; each call of it costs a refused attempt.
const SENT_PER_ACCEPTED: f64 = 1.1;

/// Calls of each urgency that are sent in a window even if none is accepted, to find out when there is room again.
const MIN_SENT: f64 = 1.0;

value! {
    /// Order in which an entry rejects calls under overload; the last variant is rejected first.
    #[derive(PartialOrd, Ord)]
    pub enum CallUrgency {
        /// Call of an upstream that runs a request already: its rejection wastes the work of that request.
        Nested,
        /// Route of priority 0.
        High,
        /// Route of priority 1.
        Normal,
        /// Route of a lower priority.
        Low,
    }
}

impl CallUrgency {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Nested => "nested",
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        }
    }
}

/// Number of variants of [`CallUrgency`].
const URGENCIES: usize = 4;

impl CallUrgency {
    /// Returns the urgency of a call with this priority of its route.
    pub fn new(priority: u8, is_nested: bool) -> Self {
        match priority {
            _ if is_nested => Self::Nested,
            0 => Self::High,
            1 => Self::Normal,
            _ => Self::Low,
        }
    }
}

record! {
    /// Inputs and result of a decision for calls of one urgency.
    #[derive(Copy)]
    pub struct ThrottleState {
        /// Calls of this urgency that ended in the window, rejected ones included.
        pub requests: u32,
        /// Calls of a higher urgency that ended in the window.
        pub more_urgent: u32,
        /// Calls of all urgencies that a gate accepted.
        pub accepted: u32,
        /// Calls of all urgencies that gates refused as full.
        pub refused: u32,
        /// Probability with which a call is rejected.
        pub probability: f64,
    }
}

/// Adaptive throttle for the calls of one service, with the same allowed regions, at one entry. Thread-safe.
///
/// Calls are rejected with the probability that keeps those sent at [`SENT_PER_ACCEPTED`] times those accepted, the most
/// urgent ones last, and at no less than [`MIN_SENT`] in each window. Nothing is rejected while no call was refused in the window.
#[derive(Debug, Default)]
pub struct EntryThrottle {
    requests: [WindowCounter; URGENCIES],
    accepted: WindowCounter,
    refused: WindowCounter,
}

impl EntryThrottle {
    /// Records a call that a gate accepted, whether directly or after refusals elsewhere.
    pub fn record_accepted(&self, now: Tick, urgency: CallUrgency) {
        self.requests[urgency as usize].record(now);
        self.accepted.record(now);
    }

    /// Records a call that was not run because all gates that were asked are full.
    pub fn record_refused(&self, now: Tick, urgency: CallUrgency) {
        self.requests[urgency as usize].record(now);
        self.refused.record(now);
    }

    /// Records a call that this throttle rejected.
    pub fn record_rejected(&self, now: Tick, urgency: CallUrgency) {
        self.requests[urgency as usize].record(now);
    }

    /// Returns the state that decides on calls of this urgency.
    pub fn state(&self, now: Tick, urgency: CallUrgency) -> ThrottleState {
        let counts = self.requests.each_ref().map(|counter| counter.get(now));
        let requests = counts[urgency as usize];
        let more_urgent = counts[..urgency as usize].iter().sum();
        let (accepted, refused) = (self.accepted.get(now), self.refused.get(now));
        let may_send = SENT_PER_ACCEPTED * f64::from(accepted) - f64::from(more_urgent);
        let excess = f64::from(requests) - may_send.max(MIN_SENT);
        let probability = excess.max(0.0) / f64::from(requests.max(1));
        ThrottleState { requests, more_urgent, accepted, refused, probability }
    }

    /// Whether a call of this urgency is to be rejected.
    pub fn rejects<R: Rng>(&self, now: Tick, urgency: CallUrgency, rng: &mut R) -> bool {
        let probability = self.state(now, urgency).probability;
        probability > 0.0 && rng.random_bool(probability)
    }

    /// Returns the time after which a rejected caller can expect room: the share of the window that is rejected.
    pub fn expected_wait(&self, now: Tick, urgency: CallUrgency) -> Duration {
        WindowCounter::WINDOW.mul_f64(self.state(now, urgency).probability)
    }
}
