//! Settings in force: versioned subtrees, the tree compiled from them, and the acceptance of a
//! change.

mod active_subtrees;
mod change;
mod checks;
mod edit;
mod key_digest;
mod last_read;
mod packing;
mod restoration;
mod route_table;
mod settings_age;
mod token;
mod tree;
mod validation_error;
mod watched_evacuations;
mod workspace;

pub use {
    active_subtrees::{ActiveSubtrees, ApplyResult},
    change::{Change, ChangeAction, ChangeEvent, ChangeOutcome, ReadResult, WriteResult},
    checks::check_document,
    edit::{get_path, set_path},
    key_digest::KeyDigest,
    last_read::{LastRead, OverdueReads},
    packing::{PackingError, pack, unpack},
    restoration::lost_subtrees,
    route_table::{Route, RouteTable},
    settings_age::SettingsAge,
    token::{new_token_digest, verify_token},
    tree::{RequestPolicy, SettingsTree},
    validation_error::ValidationError,
    watched_evacuations::WatchedEvacuations,
    workspace::{Workspace, WorkspaceLimit},
};

/// Name of the subtree that declares teams and regions.
pub const ROOT: &str = "root";

/// Name of the subtree that contains the routes by host and path prefix.
pub const ROUTES: &str = "routes";

/// Name of the subtree that lists evacuated availability zones.
pub const EVACUATIONS: &str = "evacuations";
