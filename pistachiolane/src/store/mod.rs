//! The platform's store of versioned objects: the only place where anything lasts.
//!
//! An adapter supplies the calls; this module says what they mean and keeps the node's share of the fleet's
//! budget of calls.

mod budgeted_store;
mod calls;
mod error;
mod objects;

pub use {
    budgeted_store::Store,
    calls::{Freshness, ListRequest, ReadRequest, StoreCalls, WatchRequest, WriteRequest},
    error::StoreError,
    objects::{Listing, Object},
};
