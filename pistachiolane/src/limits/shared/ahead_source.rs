//! Why an entry may send as many requests ahead of its reports as it does, for logs and metrics.

value! {
    /// What last set the number of requests that an entry may send ahead of a report.
    pub enum AheadSource {
        /// The start of the process, or the limit itself when it was put in force.
        Start,
        /// The owner's answer to a report.
        Answer,
        /// An unsolicited answer of the owner.
        Notice,
        /// The entry's share while it does not hear the owner.
        Share,
        /// The suspicion that the owner is dead.
        Suspicion,
        /// A report that the owner has left unanswered for too long.
        Silence,
        /// The end of the owner without handing over.
        OwnerLost,
        /// A pause of this process.
        Pause,
    }
}

impl AheadSource {
    const ALL: [Self; 8] = [
        Self::Start,
        Self::Answer,
        Self::Notice,
        Self::Share,
        Self::Suspicion,
        Self::Silence,
        Self::OwnerLost,
        Self::Pause,
    ];

    /// Returns the source with this discriminant; [`Self::Start`] for an unknown one.
    pub(super) fn from_index(index: usize) -> Self {
        Self::ALL.get(index).copied().unwrap_or(Self::Start)
    }

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Answer => "answer",
            Self::Notice => "notice",
            Self::Share => "share",
            Self::Suspicion => "suspicion",
            Self::Silence => "silence",
            Self::OwnerLost => "owner-lost",
            Self::Pause => "pause",
        }
    }
}
