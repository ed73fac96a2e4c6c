//! Randomised simulation of several nodes: real engines with a simulated network and simulated
//! upstreams.
//!
//! It runs in virtual time on one thread and is reproducible from its seed. Messages are delayed,
//! duplicated, reordered and lost; connections stop responding and deliver late; nodes pause,
//! restart without state and drain. The guarantees to callers are checked at every step.

mod call_history;
mod host;
mod network;
mod simulation;

pub use simulation::run;
