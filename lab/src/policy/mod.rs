//! Compares the node's routing decisions with baseline policies and an oracle, in a queue model of the sizes of the
//! users' fleets.

mod model;
mod policies;
mod run;
mod upstreams;

pub use run::run;
