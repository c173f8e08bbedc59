//! The steps of a job, the faults injected at them, deliberate bugs, and the recorded history.

use std::collections::BTreeMap;

use cv_policy::batch::ItemResult;
use cv_policy::batch::JobCommand;
use cv_policy::batch::JobId;

/// Identifier of the job at each owner.
pub const JOB_ID: JobId = JobId(1);

/// A step of a job, named after the command of its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchStep {
    LoadChunk,
    RecordIntents,
    HandOver,
    FailItem,
    MarkUnknown,
    CommitChunk,
    FinishJob,
    ReportRisk,
    CancelItem,
}

impl BatchStep {
    /// Returns the steps at which faults are injected.
    pub fn injection_points() -> Vec<Self> {
        let commands = [
            JobCommand::LoadChunk(JOB_ID, 0),
            JobCommand::RecordIntents(JOB_ID, Vec::new()),
            JobCommand::HandOver(JOB_ID, 0),
            JobCommand::FailItem(JOB_ID, 0),
            JobCommand::MarkUnknown(JOB_ID, 0),
            JobCommand::CommitChunk(JOB_ID, 0),
            JobCommand::FinishJob(JOB_ID),
        ];
        commands.iter().map(Self::of).collect()
    }

    /// Returns the step of a command; the match is exhaustive, so a new command needs its step.
    pub fn of(command: &JobCommand) -> Self {
        match command {
            JobCommand::LoadChunk(..) => Self::LoadChunk,
            JobCommand::RecordIntents(..) => Self::RecordIntents,
            JobCommand::HandOver(..) => Self::HandOver,
            JobCommand::FailItem(..) => Self::FailItem,
            JobCommand::MarkUnknown(..) => Self::MarkUnknown,
            JobCommand::CommitChunk(..) => Self::CommitChunk,
            JobCommand::FinishJob(..) => Self::FinishJob,
            JobCommand::ReportRisk(..) => Self::ReportRisk,
            JobCommand::CancelItem(..) => Self::CancelItem,
        }
    }
}

/// A fault that is injected at a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchFault {
    /// The owner crashes.
    OwnerCrashed,
    /// The owner is paused in the middle of the step for longer than its lease.
    OwnerPaused,
    /// The key-value store is unavailable for longer than a lease.
    StoreDown,
    /// The step takes effect and its response is lost.
    ResponseLost,
    /// One disk is full and accepts no more records until it is replaced.
    DiskFull,
    /// One disk loses all its records until it is replaced.
    DiskLost,
    /// The worker crashes after it has run the item and before it reports the result.
    WorkerCrashed,
    /// The caller cancels the job.
    Cancelled,
}

impl BatchFault {
    /// All faults.
    pub const ALL: [Self; 8] = [
        Self::OwnerCrashed,
        Self::OwnerPaused,
        Self::StoreDown,
        Self::ResponseLost,
        Self::DiskFull,
        Self::DiskLost,
        Self::WorkerCrashed,
        Self::Cancelled,
    ];
}

/// A deliberate bug in the simulated runtime, which the checker has to detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchBug {
    /// Items are handed over before their intents are durable.
    IntentNotDurable,
    /// Commits are not fenced by epoch and revision.
    CommitNotFenced,
    /// A cancellation is confirmed before the owner has stopped.
    CancelConfirmedEarly,
    /// The next owner recovers from too few journal replicas.
    RecoveryWithoutQuorum,
    /// Journal records count as durable on a single replica.
    WriteWithoutQuorum,
    /// The sidecar accepts a request whose lease has expired.
    ExpiredLeaseAccepted,
    /// A new journal replica is copied from a single other one.
    RepairFromOneReplica,
}

impl BatchBug {
    /// All bugs.
    pub const ALL: [Self; 7] = [
        Self::IntentNotDurable,
        Self::CommitNotFenced,
        Self::CancelConfirmedEarly,
        Self::RecoveryWithoutQuorum,
        Self::WriteWithoutQuorum,
        Self::ExpiredLeaseAccepted,
        Self::RepairFromOneReplica,
    ];
}

/// The observable events of a run, as input for the checker.
#[derive(Clone, Debug, Default)]
pub struct BatchHistory {
    /// When the cancellation was confirmed, in milliseconds.
    pub cancel_confirmed_at: Option<u64>,
    /// The results of each committed chunk, at its commit and at each later read.
    pub chunk_reads: BTreeMap<u32, Vec<Vec<ItemResult>>>,
    /// Whether the job reached its final state.
    pub finished: bool,
    /// Every run of an item with its time in milliseconds.
    pub executions: Vec<(u32, u64)>,
    /// Committed chunks whose results no journal replica holds at the end.
    pub unreadable_chunks: Vec<u32>,
}
