//! Settings that hold: versions, the tree they make, and when a change counts as accepted.

mod change;
mod checks;
mod edit;
mod fault;
mod holder;
mod route_table;
mod token;
mod tree;

pub use {
    change::{Change, ChangeAction, ChangeEvent, ChangeOutcome, ReadResult, WriteResult},
    checks::check_document,
    edit::{get_path, set_path},
    fault::Fault,
    holder::{Applied, Holder},
    route_table::{Route, RouteTable},
    token::{new_token_digest, verify_token},
    tree::{Limits, SettingsTree},
};

/// Name of the subtree that declares teams and regions.
pub const ROOT: &str = "root";

/// Name of the subtree that holds routes by host and path prefix.
pub const ROUTES: &str = "routes";
