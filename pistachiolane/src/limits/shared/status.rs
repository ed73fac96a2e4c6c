//! State of a limit, for operators.

use {serde::Serialize, std::sync::Arc};

value! {
    /// State of a limit at an entry.
    #[derive(Serialize)]
    #[serde(rename_all = "snake_case")]
    pub enum LimitState {
        /// The owner has not been heard since the start of the process.
        Unknown,
        /// The bucket is well filled: requests are sent and reported afterwards.
        Open,
        /// Only granted tokens are spent.
        Metered,
        /// The owner does not answer.
        Silent,
    }
}

impl LimitState {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Open => "open",
            Self::Metered => "metered",
            Self::Silent => "silent",
        }
    }
}

record! {
    /// One limit as a node sees it.
    #[derive(Serialize)]
    pub struct LimitStatus {
        /// Name of the limit.
        pub name: Arc<str>,
        /// Requests per second.
        pub requests_per_second: f64,
        /// Burst.
        pub burst: f64,
        /// Node that owns the limit.
        pub owner: Option<u64>,
        /// State at this entry.
        pub state: LimitState,
        /// Tokens at the owner, if this node is.
        pub level: Option<f64>,
        /// Granted tokens at this entry.
        pub held: i64,
        /// Requests that this entry sent since its start.
        pub spent: i64,
        /// Requests that this entry refused since its start.
        pub refused: u64,
        /// Time since the owner's last answer in milliseconds.
        pub answer_age_ms: Option<u64>,
    }
}
