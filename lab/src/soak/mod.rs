//! Soak test of the real program: one process per host, faults from outside, and checks of what callers and
//! upstreams observe.

mod checks;
mod fault;
mod host;
mod program;
mod run;

pub use {
    checks::Checks,
    host::{DisturbanceGuard, DisturbanceTracker, Host, SoakContext},
    program::{Program, sibling_program},
    run::{SoakError, SoakSpec, configuration, run},
};
