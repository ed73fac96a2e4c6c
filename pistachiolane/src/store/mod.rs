//! The platform's store of versioned objects: the only place where anything lasts.
//!
//! An adapter supplies the calls; this module says what they mean and keeps the node's share of the fleet's
//! budget of calls.

mod adapter;
mod budgeted_store;
mod error;
mod objects;

pub use {
    adapter::{Freshness, ListRequest, ReadRequest, StoreAdapter, WatchRequest, WriteRequest},
    budgeted_store::Store,
    error::StoreError,
    objects::{Listing, Object},
};
