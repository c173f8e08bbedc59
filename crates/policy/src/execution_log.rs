//! A sidecar's memory of the requests that must run at most once.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::MonotonicTime;
use crate::RequestKey;
use crate::expiring_table::ExpiringTable;

/// How far one request got at this sidecar.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ExecutionState {
    /// It was asked about before it came, and is refused from then on.
    Voided,
    /// It waits in the sidecar's queue.
    Queued,
    /// It was given to the target, which may be running it.
    HandedOver,
    /// The target completed it.
    Completed,
    /// The target ran it and failed.
    Failed,
    /// It was refused before it was given to the target.
    Refused,
}

/// What to do with a request that has arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// It was not seen before.
    New,
    /// It was seen before, and this is what became of it.
    Duplicate(ExecutionState),
}

/// What is remembered of one request.
#[derive(Clone, Copy, Debug)]
struct ExecutionRow {
    /// The latest attempt that was seen; a voided row refuses this one and all before it.
    attempt: u32,
    state: ExecutionState,
}

/// Remembers request keys for longer than any retry can come.
#[derive(Clone, Debug)]
pub struct ExecutionLog {
    rows: ExpiringTable<ExecutionRow>,
}

impl ExecutionLog {
    /// Creates an empty log that remembers each key for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { rows: ExpiringTable::new(retention) }
    }

    /// Records the arrival of an attempt, unless its request is known.
    ///
    /// A request that was refused may come again. One that was voided may come again only as a
    /// later attempt, since the voided attempt may still be on its way.
    pub fn admit(&mut self, now: MonotonicTime, key: RequestKey, attempt: u32) -> AdmitDecision {
        let Some(row) = self.rows.get_mut(key) else {
            self.rows.insert(now, key, ExecutionRow { attempt, state: ExecutionState::Queued });
            return AdmitDecision::New;
        };
        let may_run = match row.state {
            ExecutionState::Refused => true,
            ExecutionState::Voided => attempt > row.attempt,
            ExecutionState::Queued
            | ExecutionState::HandedOver
            | ExecutionState::Completed
            | ExecutionState::Failed => false,
        };
        if !may_run {
            return AdmitDecision::Duplicate(row.state);
        }
        row.attempt = attempt;
        row.state = ExecutionState::Queued;
        AdmitDecision::New
    }

    /// Records that the target is about to receive the request; tells whether it still may.
    #[must_use]
    pub fn hand_over(&mut self, key: RequestKey) -> bool {
        self.transition(key, ExecutionState::Queued, ExecutionState::HandedOver)
    }

    /// Records that a queued request was refused; tells whether that is so.
    pub fn refuse(&mut self, key: RequestKey) -> bool {
        self.transition(key, ExecutionState::Queued, ExecutionState::Refused)
    }

    /// Records how a request that was handed over ended.
    pub fn finish(&mut self, key: RequestKey, completed: bool) {
        let end = if completed { ExecutionState::Completed } else { ExecutionState::Failed };
        self.transition(key, ExecutionState::HandedOver, end);
    }

    /// Tells what became of a request and, where the attempt has not started, keeps it from ever
    /// starting.
    pub fn resolve(&mut self, now: MonotonicTime, key: RequestKey, attempt: u32) -> ExecutionState {
        if let Some(row) = self.rows.get_mut(key) {
            if matches!(row.state, ExecutionState::Queued | ExecutionState::Refused) {
                row.state = ExecutionState::Voided;
            }
            row.attempt = row.attempt.max(attempt);
            return row.state;
        }
        let row = ExecutionRow { attempt, state: ExecutionState::Voided };
        self.rows.insert(now, key, row);
        row.state
    }

    /// Tells how far a request got, without changing anything.
    #[must_use]
    pub fn state_of(&self, key: RequestKey) -> Option<ExecutionState> {
        self.rows.get(key).map(|row| row.state)
    }

    /// Forgets keys that are older than the retention.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.rows.expire(now);
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a request from one state to another; tells whether it was in the first.
    fn transition(&mut self, key: RequestKey, from: ExecutionState, to: ExecutionState) -> bool {
        match self.rows.get_mut(key) {
            Some(row) if row.state == from => {
                row.state = to;
                true
            }
            _ => false,
        }
    }
}
