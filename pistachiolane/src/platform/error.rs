//! Failures of calls to the platform.

/// Why a call to the platform gave no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The request did not reach the platform.
    #[error("the platform cannot be reached")]
    Unreachable,
    /// The request was sent and no answer came: a write may hold.
    #[error("the platform's answer was lost")]
    AnswerLost,
    /// The fleet's budget of calls leaves none for now.
    #[error("the budget of platform calls is used up")]
    OverBudget,
    /// The platform answered with a status that means nothing was done.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
    /// The answer is not what the API promises.
    #[error("the platform's answer cannot be read")]
    Malformed,
}
