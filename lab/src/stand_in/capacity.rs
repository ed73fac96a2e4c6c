//! Capacity of the platform's upstream stand-in, and how load and its host slow it down.

use std::time::Duration;

/// Period of the load that other tenants put on the host.
const SLOWNESS_PERIOD: Duration = Duration::from_millis(400);

/// Behaviour of an upstream towards a request when its slots and its queue are full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    /// It responds that the request was not executed.
    Refuse,
    /// It resets the connection.
    Reset,
    /// It sends nothing more on the connection and leaves it open.
    Hang,
}

/// Capacity of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Number of requests that may wait for a slot.
    pub queue_capacity: usize,
    /// Maximum number of open connections over all clients; further ones are reset.
    pub max_connections: usize,
    /// Service time without any slowdown.
    pub base_service_time: Duration,
    /// Share of busy slots, in percent, above which requests slow down.
    pub slowdown_threshold_percent: usize,
    /// Service time above that threshold, in percent of the base service time.
    pub slowdown_percent: u32,
    /// Largest slowdown caused by other tenants of the host, in percent on top of the base service time.
    pub max_added_slowness_percent: u32,
    /// Behaviour when slots and queue are full.
    pub when_full: WhenFull,
    /// Whether a request ends when its connection is closed; otherwise it runs to its end.
    pub notices_disconnects: bool,
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
            max_added_slowness_percent: 0,
            when_full: WhenFull::Refuse,
            notices_disconnects: true,
        }
    }
}

impl Capacity {
    /// Returns the slowness caused by other tenants of the host, in percent of the base service time.
    ///
    /// It follows a triangle wave over the time since the start.
    pub fn host_slowness_percent(&self, since_start: Duration) -> u32 {
        let period = SLOWNESS_PERIOD.as_millis();
        let at = since_start.as_millis() % period;
        let distance = at.abs_diff(period / 2) * 2;
        100 + (u128::from(self.max_added_slowness_percent) * distance / period) as u32
    }

    /// Returns the service time of a request that starts while `running` requests run, itself included.
    pub fn service_time(&self, running: usize, since_start: Duration) -> Duration {
        let is_slowed = running * 100 > self.slots * self.slowdown_threshold_percent;
        let load_percent = if is_slowed { self.slowdown_percent } else { 100 };
        self.base_service_time * load_percent / 100 * self.host_slowness_percent(since_start) / 100
    }
}
