//! Routing decisions in a queue model of the users' fleet sizes, compared with baseline policies and an oracle.

mod model;
mod policies;
mod run;
mod upstreams;

pub use run::run;
