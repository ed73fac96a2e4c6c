//! Simulation of the membership protocol of many nodes over a network in virtual time.

mod net;
mod run;

pub use {
    net::{SimulatedNetwork, control_address},
    run::run,
};
