//! Names of attempts in logs.

use super::{AttemptHeader, AttemptId};

impl AttemptId {
    /// The attempt's name, the same in the logs of the entry and of the gate.
    pub fn name(&self) -> String {
        format!("{:016x}-{}", self.entry, self.sequence)
    }
}

impl AttemptHeader {
    /// The attempt's name, as [`AttemptId::name`].
    pub fn name(&self) -> String {
        self.id.name()
    }
}
