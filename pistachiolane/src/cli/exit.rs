//! Exit codes, shared by all commands.

use std::process::ExitCode;

value! {
    /// Result of a command.
    pub enum Exit {
        /// The command succeeded.
        Done,
        /// The command failed for a reason not covered by the other variants.
        Failed,
        /// The command line or the settings of the process are invalid.
        Usage,
        /// The change was refused; nothing was written.
        Refused,
        /// The subtree was changed concurrently; nothing was written.
        Conflict,
        /// The outcome is pending or unknown.
        Unknown,
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::Refused => 3,
            Exit::Conflict => 4,
            Exit::Unknown => 5,
        })
    }
}
