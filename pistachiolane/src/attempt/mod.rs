//! Attempts of a call: selects the next upstream to try, and settles the outcome of an attempt whose
//! connection was lost or stopped responding.

mod admission;
mod call;
mod call_action;
mod call_event;
mod call_spec;
mod ledger;
mod outcome;
mod throttling;

pub use {
    admission::{Admission, AttemptDecision, Ticket},
    call::{Call, CallContext},
    call_action::{AttemptCause, CallAction},
    call_event::CallEvent,
    call_spec::CallSpec,
    ledger::{AttemptState, BeginError, Ledger},
    outcome::{NotRunReason, Outcome},
    throttling::Throttling,
};
