//! Command line of the lab.

mod args;
mod run;
mod stand_ins;

pub use run::run;
