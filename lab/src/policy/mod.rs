//! The routing decisions against a small queue model of the users' sizes, beside simpler policies and an
//! oracle.

mod model;
mod policies;
mod run;
mod upstreams;

pub use run::run;
