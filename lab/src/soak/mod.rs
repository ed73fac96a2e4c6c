//! A soak of the real program: a process for each host, faults from outside, and checks of what callers and
//! upstreams see.

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
