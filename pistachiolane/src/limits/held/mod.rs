//! What a node holds for its peers, with bounds, and the choice of who gives way when a bound is reached.

mod holder;
mod holders;

pub use {holder::Holder, holders::Holders};
