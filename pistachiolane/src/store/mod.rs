//! The platform's store of versioned objects, which is the only persistent state.
//!
//! An adapter implements the calls. This module defines their contract and limits their rate to the
//! node's share of the fleet's budget.

mod adapter;
mod budgeted_store;
mod error;
mod objects;

pub use {
    adapter::{Freshness, ListRequest, ReadRequest, StoreAdapter, WatchRequest, WriteRequest},
    budgeted_store::{MAX_WATCH_WAIT, Store},
    error::StoreError,
    objects::{Listing, Object, Position},
};
