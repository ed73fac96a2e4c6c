//! The decision logic of a whole node without sockets, clocks or an async runtime.
//!
//! A driver owns an [`Engine`], passes it every event with the current time and a random number
//! generator, and executes the [`EngineAction`]s that it returns. Tests and simulations are such
//! drivers. The module `node` uses the same components with sockets and several threads.
//!
//! ```
//! use pistachiolane::{engine::{Engine, EngineEvent}, schema::{Health, MemberRecord}, tick::Tick};
//! use rand::SeedableRng;
//!
//! let local = MemberRecord {
//!     node: 7, revision: 1, health: Health::Alive,
//!     gate: "127.0.0.1:8081".parse().unwrap(), control: "127.0.0.1:8082".parse().unwrap(),
//!     region: "svealand".into(), zone: "svealand-1".into(), upstreams: Vec::new(),
//! };
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! let mut engine = Engine::new(Tick(0), local, Vec::new());
//! let announced =
//!     EngineEvent::UpstreamAnnounced { service: "sizing".into(), slots: 13, draining: false };
//! engine.step(Tick(1), &mut rng, announced);
//! assert_eq!(engine.admission().gate.running(), 0);
//! ```

#[expect(clippy::module_inception, reason = "a folder per feature, a file per type")]
mod engine;
mod event;

pub use {
    engine::Engine,
    event::{EngineAction, EngineEvent, RunResult},
};
