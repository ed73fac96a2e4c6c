//! Stand-ins, load generation and experiments for testing pistachiolane. Not part of a release.

pub mod added_latency;
pub mod cli;
pub mod codegen;
pub mod demo;
pub mod drain;
pub mod faults;
pub mod fleet;
pub mod http;
pub mod load;
pub mod membership;
pub mod overload;
pub mod policy;
pub mod relay;
pub mod report;
pub mod settings;
pub mod slopes;
pub mod soak;
pub mod stand_in;
mod virtual_member;
