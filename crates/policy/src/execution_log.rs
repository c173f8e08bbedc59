//! A sidecar's record of the requests that must run at most once.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::MonotonicTime;
use crate::RequestKey;
use crate::expiring_table::ExpiringTable;

/// Execution state of one request at this sidecar.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ExecutionState {
    /// Its state was queried before it was sent to the target. The queried attempt and all earlier
    /// ones are refused.
    Voided,
    /// Waiting in the sidecar's queue.
    Queued,
    /// Sent to the target, which may be running it.
    HandedOver,
    /// Completed by the target.
    Completed,
    /// Run by the target, with a failure.
    Failed,
    /// Refused before it was sent to the target.
    Refused,
}

/// Whether an arriving attempt may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// The request may run: it is unknown, or no earlier attempt of it was run.
    New,
    /// The request is known and must not run again; carries its current state.
    Duplicate(ExecutionState),
}

/// The record of one request.
#[derive(Clone, Copy, Debug)]
struct ExecutionRow {
    /// The latest attempt seen, counted from 1. A voided row refuses it and all earlier ones.
    attempt: u32,
    state: ExecutionState,
}

/// Execution states by request key.
///
/// The retention has to be longer than the time in which a retry of a request can arrive.
#[derive(Clone, Debug)]
pub struct ExecutionLog {
    rows: ExpiringTable<ExecutionRow>,
}

impl ExecutionLog {
    /// Creates an empty log that keeps each key for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { rows: ExpiringTable::new(retention) }
    }

    /// Records the arrival of an attempt and returns whether it may run.
    ///
    /// A refused request may be retried. A voided one accepts only a later attempt, since the
    /// voided attempt may still be in transit.
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

    /// Marks a queued request as sent to the target. Returns `false` if it must not be sent
    /// because it is no longer queued.
    #[must_use]
    pub fn hand_over(&mut self, key: RequestKey) -> bool {
        self.transition(key, ExecutionState::Queued, ExecutionState::HandedOver)
    }

    /// Marks a queued request as refused. Returns `false` if it was not queued.
    pub fn refuse(&mut self, key: RequestKey) -> bool {
        self.transition(key, ExecutionState::Queued, ExecutionState::Refused)
    }

    /// Records the result of a request that was sent to the target.
    pub fn finish(&mut self, key: RequestKey, completed: bool) {
        let result = if completed { ExecutionState::Completed } else { ExecutionState::Failed };
        self.transition(key, ExecutionState::HandedOver, result);
    }

    /// Returns the state of a request, after voiding it if it is unknown, queued or refused.
    ///
    /// A voided request can start only as an attempt later than `attempt`.
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

    /// Returns the state of a request without changing it; `None` if the key is unknown.
    #[must_use]
    pub fn state_of(&self, key: RequestKey) -> Option<ExecutionState> {
        self.rows.get(key).map(|row| row.state)
    }

    /// Removes keys that are older than the retention.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.rows.expire(now);
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the log has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Moves a request from state `from` to `to`. Returns `false` if it was not in `from`.
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
