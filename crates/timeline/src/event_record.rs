//! Events of a process.

use cv_policy::HybridTimestamp;
use serde::Deserialize;
use serde::Serialize;

/// What happened.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The process started to serve.
    Started,
    /// The process started to shut down.
    DrainStarted,
    /// The process finished its last exchange.
    Stopped,
    /// An entry received a request.
    RequestReceived,
    /// An entry sent an attempt to a sidecar.
    AttemptSent,
    /// A sidecar queued an attempt.
    AttemptQueued,
    /// A sidecar handed an attempt to its target.
    HandedOver,
    /// A sidecar refused an attempt.
    Refused,
    /// A sidecar preempted a batch request to free its slot.
    Preempted,
    /// A sidecar was asked for the outcome of an attempt.
    Resolved,
    /// An entry concluded a request.
    RequestConcluded,
    /// A target was ejected or readmitted.
    TargetChanged,
    /// A job was accepted.
    JobAccepted,
    /// An instance took over a job.
    JobClaimed,
    /// The items of a job make no progress, or make some again.
    JobStalled,
    /// A chunk of a job was committed.
    ChunkCommitted,
    /// A job reached its final state.
    JobEnded,
    /// A configuration became active.
    ConfigInForce,
    /// A lease was acquired.
    LeaseAcquired,
    /// A lease was lost.
    LeaseLost,
    /// A target was added to the directory, changed or removed.
    DirectoryChanged,
    /// A directory entry or a configuration could not be decoded.
    EntryRejected,
    /// A dependency stopped responding.
    DependencyLost,
    /// A dependency responds again.
    DependencyRegained,
    /// An attempt failed before its response was complete.
    AttemptFailed,
    /// A target or a sidecar responded to a request, or its connection failed.
    ResponseReceived,
    /// A stream was resumed on another target.
    StreamResumed,
    /// An item was handed to a target.
    ItemStarted,
    /// A run of an item ended without an outcome for the item.
    ItemReleased,
    /// An item reached its outcome.
    ItemEnded,
    /// A response to another request was skipped.
    StrayResponse,
    /// Results became readable.
    ResultsListed,
    /// Results were read.
    ResultsRead,
    /// A request about a job was refused, or its outcome is unknown.
    JobRefused,
    /// An engine ended with its runs.
    EngineLost,
    /// A prompt part that ends engines is refused from now on.
    PartQuarantined,
    /// A prompt part is served again.
    QuarantineEnded,
    /// The timers of the process ran late.
    TimersLate,
    /// Lines were dropped because there were too many.
    LinesDropped,
}

impl EventKind {
    /// Returns whether the event changes the state of the process rather than that of one request.
    #[must_use]
    pub fn is_state_change(self) -> bool {
        matches!(
            self,
            Self::Started
                | Self::DrainStarted
                | Self::Stopped
                | Self::TargetChanged
                | Self::ConfigInForce
                | Self::LeaseAcquired
                | Self::LeaseLost
                | Self::DirectoryChanged
                | Self::EngineLost
                | Self::EntryRejected
                | Self::DependencyLost
                | Self::DependencyRegained
                | Self::PartQuarantined
                | Self::QuarantineEnded
                | Self::TimersLate
                | Self::LinesDropped
        )
    }
}

/// One event of one process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventRecord {
    /// Timestamp of the hybrid logical clock.
    pub clock: HybridTimestamp,
    /// Details as `key=value` words.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// What happened.
    pub kind: EventKind,
    /// Name of the process.
    pub process: String,
    /// The request or job concerned, if there is one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub subject: String,
}
