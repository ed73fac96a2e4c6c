//! Settings in force: versioned subtrees, the tree compiled from them, and the acceptance of a
//! change.

mod active_subtrees;
mod change;
mod checks;
mod edit;
mod packing;
mod restoration;
mod route_table;
mod settings_age;
mod token;
mod tree;
mod validation_error;

pub use {
    active_subtrees::{ActiveSubtrees, ApplyResult},
    change::{Change, ChangeAction, ChangeEvent, ChangeOutcome, ReadResult, WriteResult},
    checks::check_document,
    edit::{get_path, set_path},
    packing::{PackingError, pack, unpack},
    restoration::lost_subtrees,
    route_table::{Route, RouteTable},
    settings_age::SettingsAge,
    token::{new_token_digest, verify_token},
    tree::{RequestPolicy, SettingsTree},
    validation_error::ValidationError,
};

/// Name of the subtree that declares teams and regions.
pub const ROOT: &str = "root";

/// Name of the subtree that contains the routes by host and path prefix.
pub const ROUTES: &str = "routes";
