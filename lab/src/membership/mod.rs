//! Membership of many nodes over a fake network at virtual time.

mod net;
mod run;

pub use {
    net::{SimulatedNetwork, control_address},
    run::run,
};
