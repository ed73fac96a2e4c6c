//! Settings that a running node reloads from its settings file.

use {super::process::SettingsReader, crate::routing::BalancePolicy, std::time::Duration};

/// Default time limit of a graceful shutdown.
const DEFAULT_STOP_TIMEOUT_S: f64 = 600.0;

/// Default interval between announcements of an upstream. An upstream expires after four intervals without one,
/// which is a timeout of 3 s.
const DEFAULT_HEARTBEAT_S: f64 = 0.75;

/// Default limit of retries and hedges, in percent of the requests.
const DEFAULT_RETRY_PERCENT: u32 = 10;

/// Default number of retries that the whole fleet keeps in reserve for each service: five for each of ten nodes.
const DEFAULT_RETRY_RESERVE: u32 = 50;

/// Default share of an upstream's slots that may be used at once, in percent.
const DEFAULT_USABLE_SLOTS_PERCENT: u32 = 100;

record! {
    /// Settings that can change while the node runs.
    #[derive(Copy)]
    pub struct Tunables {
        /// Time limit of a graceful shutdown.
        pub stop_timeout: Duration,
        /// Usual interval between announcements of the upstream.
        pub heartbeat: Duration,
        /// Retries and hedges allowed on routes, in percent of the requests.
        pub retry_percent: u32,
        /// Retries and hedges of one service that the whole fleet may make in a burst, beyond that percentage.
        pub retry_reserve: u32,
        /// Share of an upstream's slots that may be used at once, in percent; some upstreams slow down when
        /// nearly full.
        pub usable_slots: u32,
        /// Whether the entry throttles calls to services that refuse many, with budgets of further attempts, and the gate
        /// keeps the slots of abandoned requests.
        pub entry_throttle: bool,
        /// Prices and values by which requests leave their zone; `None` if the zone balance is off.
        pub zone_balance: Option<BalancePolicy>,
    }
}

impl Tunables {
    pub(super) fn read(reader: &mut SettingsReader<'_>) -> Self {
        let expected = "seconds above 0, such as 5.5";
        let mut duration = |name: &str, default: f64| {
            let value: f64 = reader.value(name, default, expected);
            Duration::try_from_secs_f64(value).unwrap_or(Duration::from_secs_f64(default))
        };
        let stop_timeout = duration("stop-timeout", DEFAULT_STOP_TIMEOUT_S);
        let heartbeat = duration("heartbeat", DEFAULT_HEARTBEAT_S);
        let retry_percent = reader.value("retry-percent", DEFAULT_RETRY_PERCENT, "whole percent");
        let retry_reserve =
            reader.value("retry-reserve", DEFAULT_RETRY_RESERVE, "a whole number of retries");
        let usable_slots =
            reader.value("usable-slots", DEFAULT_USABLE_SLOTS_PERCENT, "percent, 1 to 100");
        let entry_throttle = reader.value("entry-throttle", false, "true or false");
        let zone_balance = reader.value("zone-balance", false, "true or false");
        let mut amount = |name: &str| reader.amount(name);
        let policy = BalancePolicy {
            zone_price: amount("zone-price"),
            region_price: amount("region-price"),
            value_in_time: amount("answer-value"),
            value_late: amount("late-answer-value"),
        };
        Self {
            entry_throttle,
            zone_balance: zone_balance.then_some(policy),
            usable_slots: usable_slots.clamp(1, 100),
            stop_timeout,
            heartbeat,
            retry_percent,
            retry_reserve,
        }
    }
}
