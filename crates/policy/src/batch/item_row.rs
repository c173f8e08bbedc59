//! The state of an item of an open chunk.

use crate::MonotonicTime;

/// Processing state of an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemState {
    /// Waiting for its next attempt.
    Pending,
    /// The intent of its next attempt is being written.
    WritingIntent,
    /// The intent is durable, so the item may be handed over.
    Ready,
    /// Handed over to a target.
    InFlight,
    /// The result is being written.
    WritingResult,
    /// The result is durable.
    ResultDurable,
}

/// Outcome of one attempt at an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The item has its final result, which the runtime holds.
    Final,
    /// The item provably did not run; the attempt does not count.
    NotRun,
    /// The item was preempted and can be continued; the attempt does not count.
    Preempted,
    /// The target ran it and failed.
    Failed,
    /// The item was handed over and the response was lost.
    Lost,
}

/// The state of one item.
#[derive(Clone, Copy, Debug)]
pub(super) struct ItemRow {
    /// Number of attempts whose intent is durable or being written.
    pub attempts: u8,
    /// Earliest time of the next attempt.
    pub not_before: MonotonicTime,
    pub state: ItemState,
}

impl ItemRow {
    /// Creates the row of a pending item that has used `attempts` attempts.
    pub fn new(attempts: u8) -> Self {
        Self { attempts, not_before: MonotonicTime::ZERO, state: ItemState::Pending }
    }
}
