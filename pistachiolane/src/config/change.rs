//! One change of settings on its way to being accepted.
//!
//! Accepted means that the platform's conditional write holds and that every region with members has
//! acknowledged the version. A write whose answer was lost is read back and known by its change identity.

use {
    crate::{schema::Subtree, tick::Tick},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Time after which a change that is not in force everywhere is reported as pending.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(4);

/// Time between two rounds of asking regions, and between two readings after a lost answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the platform is asked about a write whose answer was lost.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);

record! {
    /// Answer of the platform to a conditional write.
    pub enum WriteResult {
        /// The write holds, with this version.
        Written(u64),
        /// Another write came first.
        Conflict,
        /// The platform said that nothing was written.
        NotWritten,
        /// No answer came: the write may hold or not.
        Lost,
    }

    /// Answer of the platform to a reading.
    pub enum ReadResult {
        /// The platform could not be asked.
        Unavailable,
        /// There is no such subtree.
        Missing,
        /// The subtree.
        Found(Subtree),
    }

    /// What happened to a change.
    pub enum ChangeEvent {
        /// The platform answered the write.
        Written(WriteResult),
        /// The platform answered the reading.
        ReadBack(ReadResult),
        /// A region acknowledged that it holds the version.
        Confirmed(Arc<str>),
        /// The time asked for by [`ChangeAction::WakeAt`] came.
        Timer,
    }

    /// What the driver of a change must do.
    pub enum ChangeAction {
        /// Write the subtree on condition that `expected` is the platform's version; zero for a new one.
        Write {
            /// Version that the change was made from.
            expected: u64,
        },
        /// Read the subtree from the platform.
        ReadBack,
        /// Put the written version in force at this node, from where it spreads.
        Apply(Subtree),
        /// Ask a member of the region whether it holds the version.
        Confirm(Arc<str>),
        /// Call [`Change::step`] with [`ChangeEvent::Timer`] at this time.
        WakeAt(Tick),
        /// The change ended.
        Finish(ChangeOutcome),
    }

    /// End of a change, as the operator sees it.
    pub enum ChangeOutcome {
        /// The version is in force in every region.
        Accepted(u64),
        /// The version is written; these regions have not acknowledged it.
        Pending {
            /// Version written.
            version: u64,
            /// Regions that did not answer.
            regions: Vec<Arc<str>>,
        },
        /// Another change came first; nothing was written.
        Conflict,
        /// The platform could not be asked; nothing was written.
        NotWritten,
        /// The platform's answer was lost and it could not be asked again.
        Unknown,
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Writing,
    ReadingBack { until: Tick },
    Confirming { version: u64, until: Tick },
    Finished,
}

/// A change. [`Change::step`] is its only entry point after [`Change::new`].
#[derive(Debug)]
pub struct Change {
    subtree: Subtree,
    expected: u64,
    waiting: BTreeSet<Arc<str>>,
    phase: Phase,
}

impl Change {
    /// A change that replaces version `expected` by `subtree`, whose version is not known yet, and that
    /// `regions` must acknowledge; with the first action.
    pub fn new(
        subtree: Subtree,
        expected: u64,
        regions: BTreeSet<Arc<str>>,
    ) -> (Self, ChangeAction) {
        let change = Self { subtree, expected, waiting: regions, phase: Phase::Writing };
        (change, ChangeAction::Write { expected })
    }

    /// Takes an event and gives the actions that follow.
    pub fn step(&mut self, now: Tick, event: ChangeEvent) -> Vec<ChangeAction> {
        match (self.phase, event) {
            (Phase::Writing, ChangeEvent::Written(result)) => self.written(now, &result),
            (Phase::ReadingBack { until }, ChangeEvent::ReadBack(found)) => {
                self.read_back(now, until, found)
            }
            (Phase::ReadingBack { .. }, ChangeEvent::Timer) => vec![ChangeAction::ReadBack],
            (Phase::Confirming { version, .. }, ChangeEvent::Confirmed(region)) => {
                self.waiting.remove(&region);
                self.finish_if_confirmed(version)
            }
            (Phase::Confirming { version, until }, ChangeEvent::Timer) => {
                self.confirm(now, version, until)
            }
            _ => Vec::new(),
        }
    }

    fn written(&mut self, now: Tick, result: &WriteResult) -> Vec<ChangeAction> {
        match result {
            WriteResult::Written(version) => self.hold(now, *version),
            WriteResult::Conflict => self.finish(ChangeOutcome::Conflict),
            WriteResult::NotWritten => self.finish(ChangeOutcome::NotWritten),
            WriteResult::Lost => {
                self.phase = Phase::ReadingBack { until: now + READ_BACK_TIMEOUT };
                vec![ChangeAction::ReadBack]
            }
        }
    }

    fn read_back(&mut self, now: Tick, until: Tick, found: ReadResult) -> Vec<ChangeAction> {
        match found {
            ReadResult::Found(found) if found.change == self.subtree.change => {
                self.hold(now, found.version)
            }
            // A later version may stand upon this change, and a lost write may still arrive.
            _ if now >= until => self.finish(ChangeOutcome::Unknown),
            ReadResult::Found(found) if found.version > self.expected => {
                self.finish(ChangeOutcome::Unknown)
            }
            _ => vec![ChangeAction::WakeAt(now + RETRY_INTERVAL)],
        }
    }

    fn hold(&mut self, now: Tick, version: u64) -> Vec<ChangeAction> {
        invariant!(version > self.expected, "written_version_is_newer");
        self.subtree.version = version;
        let until = now + CONFIRM_TIMEOUT;
        self.phase = Phase::Confirming { version, until };
        let mut actions = vec![ChangeAction::Apply(self.subtree.clone())];
        actions.extend(self.confirm(now, version, until));
        actions
    }

    fn confirm(&mut self, now: Tick, version: u64, until: Tick) -> Vec<ChangeAction> {
        if self.waiting.is_empty() {
            return self.finish_if_confirmed(version);
        }
        if now >= until {
            let regions = self.waiting.iter().cloned().collect();
            return self.finish(ChangeOutcome::Pending { version, regions });
        }
        let mut actions: Vec<ChangeAction> =
            self.waiting.iter().cloned().map(ChangeAction::Confirm).collect();
        actions.push(ChangeAction::WakeAt(now + RETRY_INTERVAL));
        actions
    }

    fn finish_if_confirmed(&mut self, version: u64) -> Vec<ChangeAction> {
        if !self.waiting.is_empty() {
            return Vec::new();
        }
        self.finish(ChangeOutcome::Accepted(version))
    }

    fn finish(&mut self, outcome: ChangeOutcome) -> Vec<ChangeAction> {
        let accepted = matches!(outcome, ChangeOutcome::Accepted(_));
        invariant!(!accepted || self.waiting.is_empty(), "accepted_is_acknowledged");
        self.phase = Phase::Finished;
        vec![ChangeAction::Finish(outcome)]
    }
}
