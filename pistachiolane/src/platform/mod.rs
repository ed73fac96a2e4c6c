//! The platform's object API: the only place where anything lasts.

mod client;
mod error;
mod objects;

pub use {
    client::PlatformClient,
    error::PlatformError,
    objects::{Listing, Object, PutAnswer},
};
