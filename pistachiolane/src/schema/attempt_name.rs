//! Names of attempts in log lines.

use super::{AttemptHeader, AttemptId};

impl AttemptId {
    /// Returns the name of the attempt, which is the same in the logs of the entry and the gate.
    pub fn name(&self) -> String {
        format!("{:016x}-{}", self.entry, self.sequence)
    }
}

impl AttemptHeader {
    /// Returns the name of the attempt; see [`AttemptId::name`].
    pub fn name(&self) -> String {
        self.id.name()
    }
}
