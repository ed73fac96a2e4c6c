//! A whole node without sockets, clocks or a runtime: events in, actions out.
//!
//! A driver owns an [`Engine`], gives it every event with the present time and a source of random numbers,
//! and carries out the [`EngineAction`]s it gets back. `node` is one driver, over sockets and threads, and
//! calls the same parts from several threads; tests and experiments are others.
//!
//! ```
//! use pistachiolane::{engine::{Engine, EngineEvent}, schema::{Health, MemberRecord}, tick::Tick};
//! use rand::SeedableRng;
//!
//! let own = MemberRecord {
//!     node: 7, revision: 1, health: Health::Alive,
//!     gate: "127.0.0.1:8081".parse().unwrap(), control: "127.0.0.1:8082".parse().unwrap(),
//!     region: "svealand".into(), zone: "svealand-1".into(), upstreams: Vec::new(),
//! };
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! let mut engine = Engine::new(Tick(0), own, Vec::new());
//! let announced = EngineEvent::UpstreamAnnounced { service: "sizing".into(), slots: 13, draining: false };
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
