//! What an upstream of the users' platform can take, and how it slows down.

use std::time::Duration;

/// Time in which the load of the neighbours on the machine rises and falls once.
const NOISE_PERIOD: Duration = Duration::from_millis(400);

/// What an upstream does with a request that finds neither a slot nor a place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    /// It says that it did not run the request.
    Refuse,
    /// It resets the connection.
    Reset,
    /// It never answers again on the connection.
    Hang,
}

/// Capacity of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue_capacity: usize,
    /// Connections of all callers together; further ones are reset.
    pub max_connections: usize,
    /// Time of a request when nothing slows it down.
    pub base_service_time: Duration,
    /// Share of the slots in percent beyond which work slows down.
    pub slowdown_threshold_percent: usize,
    /// Percent of the usual time that work takes when all slots are taken.
    pub slowdown_percent: u32,
    /// Percent on top of the usual time that the neighbours cost at most.
    pub max_noise_percent: u32,
    /// What it does when it is full.
    pub when_full: WhenFull,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            slots: 10,
            queue_capacity: 4,
            max_connections: 260,
            base_service_time: Duration::ZERO,
            slowdown_threshold_percent: 80,
            slowdown_percent: 100,
            max_noise_percent: 0,
            when_full: WhenFull::Refuse,
        }
    }
}

impl Capacity {
    /// How long work takes because of the neighbours, in percent of the usual time, at a time since the start.
    pub fn host_slowness_percent(&self, since_start: Duration) -> u32 {
        let period = NOISE_PERIOD.as_millis();
        let at = since_start.as_millis() % period;
        let distance = at.abs_diff(period / 2) * 2;
        100 + (u128::from(self.max_noise_percent) * distance / period) as u32
    }

    /// Time of a request that begins while `running` requests run, itself included.
    pub fn service_time(&self, running: usize, since_start: Duration) -> Duration {
        let beyond = running * 100 > self.slots * self.slowdown_threshold_percent;
        let full = if beyond { self.slowdown_percent } else { 100 };
        self.base_service_time * full / 100 * self.host_slowness_percent(since_start) / 100
    }
}
