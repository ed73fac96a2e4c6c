//! State machine of one settings change, from the write to its acceptance.
//!
//! A change is accepted when the platform's conditional write succeeded and every region with
//! members has acknowledged the version. If the response to the write was lost, the subtree is read
//! back and the write is recognised by its change ID.

use {
    crate::{schema::Subtree, tick::Tick},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Time after the write at which a change that isn't in force in every region is reported as
/// pending.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(4);

/// Time between two rounds of confirmation requests to regions, and between two reads after a lost
/// response.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the subtree is read back from the platform after a lost response to the write.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);

record! {
    /// Result of a conditional write at the platform.
    pub enum WriteResult {
        /// The write succeeded and created this version.
        Written(u64),
        /// The condition failed because another write came first.
        Conflict,
        /// The platform reported that nothing was written.
        NotWritten,
        /// No response arrived; the write may have succeeded or not.
        Lost,
    }

    /// Result of reading a subtree from the platform.
    pub enum ReadResult {
        /// The platform could not be reached.
        Unavailable,
        /// The subtree doesn't exist.
        Missing,
        /// The subtree was read.
        Found(Subtree),
    }

    /// Input of [`Change::step`].
    pub enum ChangeEvent {
        /// The write ended.
        Written(WriteResult),
        /// The read ended.
        ReadBack(ReadResult),
        /// A region acknowledged that the version is in force there.
        Confirmed(Arc<str>),
        /// The time set by [`ChangeAction::WakeAt`] was reached.
        Timer,
    }

    /// Action that the caller of [`Change::step`] must carry out.
    pub enum ChangeAction {
        /// Write the subtree if the platform's version is still `expected`; zero for a new subtree.
        Write {
            /// Version that the change is based on.
            expected: u64,
        },
        /// Read the subtree from the platform.
        ReadBack,
        /// Put the written version in force at this node, from where it is disseminated.
        Apply(Subtree),
        /// Request confirmation from a member of the region that the version is in force there.
        Confirm(Arc<str>),
        /// Pass [`ChangeEvent::Timer`] to [`Change::step`] at this time.
        WakeAt(Tick),
        /// Report the outcome; the change has ended.
        Finish(ChangeOutcome),
    }

    /// Outcome of a change, as reported to the operator.
    pub enum ChangeOutcome {
        /// The version is in force in every region.
        Accepted(u64),
        /// The version is written; these regions have not acknowledged it.
        Pending {
            /// The written version.
            version: u64,
            /// Regions that haven't acknowledged the version.
            regions: Vec<Arc<str>>,
        },
        /// Another change came first; nothing was written.
        Conflict,
        /// The platform couldn't be reached or reported that nothing was written.
        NotWritten,
        /// The response to the write was lost and reading back didn't show whether the write
        /// succeeded.
        Unknown,
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Writing,
    ReadingBack { deadline: Tick },
    Confirming { version: u64, deadline: Tick },
    Finished,
}

/// One settings change. [`Change::step`] is the only entry point after [`Change::new`].
#[derive(Debug)]
pub struct Change {
    subtree: Subtree,
    expected: u64,
    unconfirmed: BTreeSet<Arc<str>>,
    phase: Phase,
}

impl Change {
    /// Creates a change that replaces version `expected` by `subtree` and that `regions` must
    /// acknowledge; returns it with its first action.
    ///
    /// The version in `subtree` is ignored; the platform assigns it at the write.
    pub fn new(
        subtree: Subtree,
        expected: u64,
        regions: BTreeSet<Arc<str>>,
    ) -> (Self, ChangeAction) {
        let change = Self { subtree, expected, unconfirmed: regions, phase: Phase::Writing };
        (change, ChangeAction::Write { expected })
    }

    /// Processes an event and returns the resulting actions.
    pub fn step(&mut self, now: Tick, event: ChangeEvent) -> Vec<ChangeAction> {
        match (self.phase, event) {
            (Phase::Writing, ChangeEvent::Written(result)) => self.on_write_result(now, &result),
            (Phase::ReadingBack { deadline }, ChangeEvent::ReadBack(result)) => {
                self.on_read_back(now, deadline, result)
            }
            (Phase::ReadingBack { .. }, ChangeEvent::Timer) => vec![ChangeAction::ReadBack],
            (Phase::Confirming { version, .. }, ChangeEvent::Confirmed(region)) => {
                self.unconfirmed.remove(&region);
                self.finish_if_confirmed(version)
            }
            (Phase::Confirming { version, deadline }, ChangeEvent::Timer) => {
                self.request_confirmations(now, version, deadline)
            }
            _ => Vec::new(),
        }
    }

    fn on_write_result(&mut self, now: Tick, result: &WriteResult) -> Vec<ChangeAction> {
        match result {
            WriteResult::Written(version) => self.on_write_success(now, *version),
            WriteResult::Conflict => self.finish(ChangeOutcome::Conflict),
            WriteResult::NotWritten => self.finish(ChangeOutcome::NotWritten),
            WriteResult::Lost => {
                self.phase = Phase::ReadingBack { deadline: now + READ_BACK_TIMEOUT };
                vec![ChangeAction::ReadBack]
            }
        }
    }

    fn on_read_back(&mut self, now: Tick, deadline: Tick, result: ReadResult) -> Vec<ChangeAction> {
        match result {
            ReadResult::Found(found) if found.change == self.subtree.change => {
                self.on_write_success(now, found.version)
            }
            // Not conclusive: a later version may be based on this change, and the lost write may
            // still arrive.
            _ if now >= deadline => self.finish(ChangeOutcome::Unknown),
            ReadResult::Found(found) if found.version > self.expected => {
                self.finish(ChangeOutcome::Unknown)
            }
            _ => vec![ChangeAction::WakeAt(now + RETRY_INTERVAL)],
        }
    }

    fn on_write_success(&mut self, now: Tick, version: u64) -> Vec<ChangeAction> {
        invariant!(version > self.expected, "written_version_is_newer");
        self.subtree.version = version;
        let deadline = now + CONFIRM_TIMEOUT;
        self.phase = Phase::Confirming { version, deadline };
        let mut actions = vec![ChangeAction::Apply(self.subtree.clone())];
        actions.extend(self.request_confirmations(now, version, deadline));
        actions
    }

    fn request_confirmations(
        &mut self,
        now: Tick,
        version: u64,
        deadline: Tick,
    ) -> Vec<ChangeAction> {
        if self.unconfirmed.is_empty() {
            return self.finish_if_confirmed(version);
        }
        if now >= deadline {
            let regions = self.unconfirmed.iter().cloned().collect();
            return self.finish(ChangeOutcome::Pending { version, regions });
        }
        let mut actions: Vec<ChangeAction> =
            self.unconfirmed.iter().cloned().map(ChangeAction::Confirm).collect();
        actions.push(ChangeAction::WakeAt(now + RETRY_INTERVAL));
        actions
    }

    fn finish_if_confirmed(&mut self, version: u64) -> Vec<ChangeAction> {
        if !self.unconfirmed.is_empty() {
            return Vec::new();
        }
        self.finish(ChangeOutcome::Accepted(version))
    }

    fn finish(&mut self, outcome: ChangeOutcome) -> Vec<ChangeAction> {
        let accepted = matches!(outcome, ChangeOutcome::Accepted(_));
        invariant!(!accepted || self.unconfirmed.is_empty(), "accepted_is_acknowledged");
        self.phase = Phase::Finished;
        vec![ChangeAction::Finish(outcome)]
    }
}
