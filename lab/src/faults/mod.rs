//! A randomised run of whole nodes' decision code, with small fakes between them.
//!
//! Virtual time, one thread, one seed. Messages are delayed, doubled, reordered and lost; connections fall
//! silent and deliver late; nodes pause, restart with empty memory and drain. The promises are checked at
//! every step.

mod host;
mod ledger_of_truth;
mod network;
mod world;

pub use world::run;
