//! Failures of calls to the store.

/// Why a call to the store gave no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The request did not reach the store.
    #[error("the store cannot be reached")]
    Unreachable,
    /// The request was sent and no answer came: a write may hold.
    #[error("the store's answer was lost")]
    ResponseLost,
    /// The fleet's budget of calls leaves none for now.
    #[error("the budget of store calls is used up")]
    OverBudget,
    /// The store answered with a status that means nothing was done.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The store no longer has the history that a watch asked for; list again.
    #[error("the store has forgotten this history")]
    RevisionTooOld,
    /// The answer is not what the interface promises.
    #[error("the store's answer cannot be read: {0}")]
    Malformed(String),
}
