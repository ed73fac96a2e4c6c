//! pistachiolane: a load balancer for servers whose load changes within milliseconds.
//!
//! One node runs next to each upstream. Every node is both an *entry*, which accepts requests from
//! callers and selects an upstream, and a *gate*, which alone sends requests to its local
//! upstream. The modules [`routing`], [`limits`], [`attempt`], [`recovery`], [`membership`] and [`config`]
//! contain the decision logic, without sockets or clocks; [`node`] contains the I/O.

#[macro_use]
mod macros;

pub mod attempt;
pub mod cli;
pub mod config;
pub mod engine;
pub mod invariants;
pub mod limits;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod recovery;
pub mod routing;
pub mod schema;
pub mod settings;
pub mod store;
pub mod tick;
