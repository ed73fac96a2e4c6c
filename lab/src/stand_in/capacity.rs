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
    pub queue: usize,
    /// Connections of all callers together; further ones are reset.
    pub max_connections: usize,
    /// Time of a request when nothing slows it down.
    pub work: Duration,
    /// Share of the slots in percent beyond which work slows down.
    pub knee_percent: usize,
    /// Percent of the usual time that work takes when all slots are taken.
    pub knee_slowness: u32,
    /// Percent on top of the usual time that the neighbours cost at most.
    pub noise: u32,
    /// What it does when it is full.
    pub when_full: WhenFull,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            slots: 10,
            queue: 4,
            max_connections: 260,
            work: Duration::ZERO,
            knee_percent: 80,
            knee_slowness: 100,
            noise: 0,
            when_full: WhenFull::Refuse,
        }
    }
}

impl Capacity {
    /// How long work takes because of the neighbours, in percent of the usual time, at a time since the start.
    pub fn neighbours_percent(&self, since_start: Duration) -> u32 {
        let period = NOISE_PERIOD.as_millis();
        let at = since_start.as_millis() % period;
        let distance = at.abs_diff(period / 2) * 2;
        100 + (u128::from(self.noise) * distance / period) as u32
    }

    /// Time of a request that begins while `running` requests run, itself included.
    pub fn work_time(&self, running: usize, since_start: Duration) -> Duration {
        let beyond = running * 100 > self.slots * self.knee_percent;
        let full = if beyond { self.knee_slowness } else { 100 };
        self.work * full / 100 * self.neighbours_percent(since_start) / 100
    }
}
