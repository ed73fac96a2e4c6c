//! pistachiolane: a load balancer for servers whose load shifts in milliseconds.
//!
//! One node runs beside each upstream. Every node is an *entry*, which takes callers' requests and picks
//! an upstream, and a *gate*, the only one that hands requests to its own upstream. The modules
//! [`routing`], [`limits`], [`attempt`], [`membership`] and [`config`] decide, without sockets or clocks;
//! [`node`] moves bytes.

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
pub mod routing;
pub mod schema;
pub mod settings;
pub mod store;
pub mod tick;
