//! Exit codes, the same for every command.

use std::process::ExitCode;

value! {
    /// How a command ended.
    pub enum Exit {
        /// Done.
        Done,
        /// The program failed for another reason than those below.
        Failed,
        /// The command line or the process's settings are wrong.
        Usage,
        /// The change was refused; nothing was written.
        Refused,
        /// Another change came first; nothing was written.
        Conflict,
        /// The outcome is pending or not known.
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
