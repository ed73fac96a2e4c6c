//! What a node holds for its peers: bytes, connections and slots, with bounds, and the choice of who gives way when a bound
//! is reached.

mod byte_budget;
mod holder;
mod holders;
mod lease;

pub use {
    byte_budget::{ByteBudget, Grant, NoRoom, SMALL_BYTES},
    holder::Holder,
    holders::Holders,
    lease::Lease,
};
