//! Attempts of a call: who may be tried next, and what became of an attempt that fell silent.

mod admission;
mod call;
mod ledger;
mod outcome;

pub use {
    admission::{Admission, Received, Ticket},
    call::{AttemptCause, Call, CallAction, CallContext, CallEvent, CallSpec},
    ledger::{BeginError, Ledger, LedgerEntry},
    outcome::{NotRunReason, Outcome},
};
