//! The steps of a job, the faults that strike at them, and what the checker is told.

use std::collections::BTreeMap;

use cv_policy::batch::ItemResult;
use cv_policy::batch::JobCommand;
use cv_policy::batch::JobId;

/// The job's number at each owner.
pub const JOB_ID: JobId = JobId(1);

/// The steps of a job, one for each command of its owner.
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
    /// All steps at which something can go wrong.
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

    /// Returns the step of a command; a new command does not compile without its step.
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

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchFault {
    /// The owner dies.
    OwnerCrashed,
    /// The owner is paused for longer than its lease, in the middle of the step.
    OwnerPaused,
    /// The key-value service is down for longer than a lease.
    StoreDown,
    /// The step takes effect and the answer is lost.
    ResponseLost,
    /// One disk takes no more records until it is replaced.
    DiskFull,
    /// One disk loses all its records until it is replaced.
    DiskLost,
    /// The worker dies with the item, after it has run it.
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

/// A bug in the runtime around the decisions, which the checker has to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchBug {
    /// Items are handed over before their intents are durable.
    IntentNotDurable,
    /// Commits are not fenced by epoch and revision.
    CommitNotFenced,
    /// A cancellation is confirmed before the owner has stopped.
    CancelConfirmedEarly,
    /// The next owner reads too few journals.
    RecoveryWithoutQuorum,
    /// Results count as kept on one disk.
    WriteWithoutQuorum,
    /// A request with an old lease is taken by the sidecar.
    ExpiredLeaseAccepted,
    /// A new replica is copied from one other alone.
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

/// What happened, for the checker.
#[derive(Clone, Debug, Default)]
pub struct BatchHistory {
    /// When the cancellation was confirmed, in milliseconds.
    pub cancel_confirmed_at: Option<u64>,
    /// Every chunk that was ever readable as committed: its results each time it was read.
    pub chunk_reads: BTreeMap<u32, Vec<Vec<ItemResult>>>,
    /// Whether the job reached its last state.
    pub ended: bool,
    /// When each item was run, in milliseconds.
    pub executions: Vec<(u32, u64)>,
    /// Chunks whose results could not be read from any two journals at the end.
    pub unreadable_chunks: Vec<u32>,
}
