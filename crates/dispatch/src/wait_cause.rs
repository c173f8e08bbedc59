//! Why accepted items do not make progress.

/// What the items of a job wait for, in the order in which the steps follow each other.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WaitCause {
    /// The keeper set makes another keeper the job's owner.
    OwnedElsewhere,
    /// The keeper set makes this keeper the owner, which may own no job at the moment.
    OwnerNotEligible,
    /// The results that earlier owners have listed are not loaded.
    ResultsNotLoaded,
    /// Other keepers may have closed the job without this one's knowledge.
    ClosesUnknown,
    /// The active configuration has no batch route for the job.
    RouteMissing,
    /// A part of the item's prompt is in quarantine.
    Quarantined,
    /// No target has room.
    NoRoom,
    /// A run is in progress.
    Running,
    /// The item has ended, and its result is not listed yet.
    CommitPending,
}

impl WaitCause {
    /// All causes, in order.
    pub const ALL: [Self; 9] = [
        Self::OwnedElsewhere,
        Self::OwnerNotEligible,
        Self::ResultsNotLoaded,
        Self::ClosesUnknown,
        Self::RouteMissing,
        Self::Quarantined,
        Self::NoRoom,
        Self::Running,
        Self::CommitPending,
    ];

    /// Returns the cause's name in metrics and log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::OwnedElsewhere => "owned_elsewhere",
            Self::OwnerNotEligible => "owner_not_eligible",
            Self::ResultsNotLoaded => "results_not_loaded",
            Self::ClosesUnknown => "closes_unknown",
            Self::RouteMissing => "route_missing",
            Self::Quarantined => "quarantined",
            Self::NoRoom => "no_room",
            Self::Running => "running",
            Self::CommitPending => "commit_pending",
        }
    }
}
