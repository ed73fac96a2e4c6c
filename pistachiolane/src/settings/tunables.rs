//! Settings that a running node takes anew from its settings file.

use {super::process::Reader, std::time::Duration};

/// Longest graceful stop when none is set.
const DEFAULT_STOP_TIMEOUT_S: f64 = 600.0;

/// Time between two announcements of an upstream when none is set; three seconds of silence were given before.
const DEFAULT_HEARTBEAT_S: f64 = 0.75;

/// Retries and hedges in percent of the requests when nothing else is set.
const DEFAULT_RETRY_PERCENT: u32 = 10;

/// Retries that the whole fleet keeps in reserve for each service when nothing is set: five for each of ten nodes.
const DEFAULT_RETRY_RESERVE: u32 = 50;

/// Share of the slots in percent that is used when nothing is set.
const DEFAULT_USABLE_SLOTS: u32 = 100;

record! {
    /// Settings that can change while the node runs.
    #[derive(Copy)]
    pub struct Tunables {
        /// Longest graceful stop.
        pub stop_timeout: Duration,
        /// Usual time between two announcements of the upstream.
        pub heartbeat: Duration,
        /// Retries and hedges allowed on routes, in percent of the requests.
        pub retry_percent: u32,
        /// Retries and hedges of one service that the whole fleet may make beyond that, at once.
        pub retry_reserve: u32,
        /// Share of an upstream's slots that is used at once, in percent; some slow down when nearly full.
        pub usable_slots: u32,
    }
}

impl Tunables {
    pub(super) fn read(reader: &mut Reader<'_>) -> Self {
        let seconds = "seconds above 0, such as 5.5";
        let mut duration = |name: &str, default: f64| {
            let value: f64 = reader.value(name, default, seconds);
            Duration::try_from_secs_f64(value).unwrap_or(Duration::from_secs_f64(default))
        };
        let stop_timeout = duration("stop-timeout", DEFAULT_STOP_TIMEOUT_S);
        let heartbeat = duration("heartbeat", DEFAULT_HEARTBEAT_S);
        let retry_percent = reader.value("retry-percent", DEFAULT_RETRY_PERCENT, "whole percent");
        let retry_reserve =
            reader.value("retry-reserve", DEFAULT_RETRY_RESERVE, "a whole number of retries");
        let usable_slots = reader.value("usable-slots", DEFAULT_USABLE_SLOTS, "percent, 1 to 100");
        Self {
            usable_slots: usable_slots.clamp(1, 100),
            stop_timeout,
            heartbeat,
            retry_percent,
            retry_reserve,
        }
    }
}
