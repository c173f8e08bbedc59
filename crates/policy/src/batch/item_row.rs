//! The state of one item of an open chunk.

use crate::MonotonicTime;

/// How far an item has got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemState {
    /// It waits for its turn.
    Pending,
    /// Its intent is being written.
    WritingIntent,
    /// Its intent is durable, so it may be handed over.
    Ready,
    /// It was handed over.
    InFlight,
    /// Its result is being written.
    WritingResult,
    /// Its result is durable.
    ResultDurable,
}

/// How one run of an item ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// It has its final result, which the runtime holds.
    Final,
    /// It was proved not to have run, so the attempt does not count.
    NotRun,
    /// It gave its slot back and can be continued; the attempt does not count.
    Preempted,
    /// The target ran it and failed.
    Failed,
    /// It was handed over and the answer is lost.
    Lost,
}

/// One item.
#[derive(Clone, Copy, Debug)]
pub(super) struct ItemRow {
    /// Attempts whose intent is durable or being written.
    pub attempts: u8,
    /// Time before which the item is not handed over again.
    pub not_before: MonotonicTime,
    pub state: ItemState,
}

impl ItemRow {
    /// Creates the row of an item that has used so many attempts.
    pub fn new(attempts: u8) -> Self {
        Self { attempts, not_before: MonotonicTime::ZERO, state: ItemState::Pending }
    }
}
