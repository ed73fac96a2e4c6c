//! Simulation of the membership protocol of many nodes over a network in virtual time.

mod run;
mod simulated_network;

pub use {
    run::run,
    simulated_network::{SimulatedNetwork, control_address},
};
