//! Errors of store calls.

/// Error of a store call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The request did not reach the store.
    #[error("store is unreachable")]
    Unreachable,
    /// The request was sent but no response arrived; a write may have been applied.
    #[error("no response from the store; a write may have been applied")]
    ResponseLost,
    /// The node's share of the fleet's call budget is used up for now.
    #[error("this node's share of the store call budget is used up")]
    OverBudget,
    /// The store returned a status which means that the call had no effect.
    #[error("store refused the call with status {0}")]
    Refused(u16),
    /// The store does not have the changes after the position of the watch, or its era changed during
    /// a listing; list again.
    #[error("store no longer has the changes after the watched revision")]
    RevisionTooOld,
    /// The response does not conform to the store's interface.
    #[error("store returned a malformed response: {0}")]
    Malformed(String),
}
