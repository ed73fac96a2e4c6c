//! Whether an entry throttles calls.

value! {
    /// Whether a call may be rejected before its first attempt, and whether its further attempts draw on budgets.
    pub enum Throttling {
        /// No call is throttled.
        Off,
        /// Calls to services that refuse many are throttled.
        On,
    }
}

impl Throttling {
    /// Whether calls are throttled.
    pub fn is_on(self) -> bool {
        self == Self::On
    }
}

impl From<bool> for Throttling {
    fn from(is_on: bool) -> Self {
        if is_on { Self::On } else { Self::Off }
    }
}
