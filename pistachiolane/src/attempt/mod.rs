//! Attempts of a call: which upstream to try next, and how to determine the outcome of an attempt
//! whose connection stopped responding.

mod admission;
mod call;
mod call_action;
mod call_event;
mod call_spec;
mod ledger;
mod outcome;

pub use {
    admission::{Admission, AttemptDecision, Ticket},
    call::{Call, CallContext},
    call_action::{AttemptCause, CallAction},
    call_event::CallEvent,
    call_spec::CallSpec,
    ledger::{AttemptState, BeginError, Ledger},
    outcome::{NotRunReason, Outcome},
};
