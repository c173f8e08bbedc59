//! A sidecar's memory of the requests that must run at most once.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::MonotonicTime;
use crate::RequestKey;
use crate::key_ages::KeyAges;

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
    Fresh,
    /// It was seen before, and this is what became of it.
    Duplicate(ExecutionState),
}

/// What is remembered of one request.
#[derive(Clone, Copy, Debug)]
struct ExecutionRow {
    /// The latest attempt that was seen; a voided row refuses this one and all before it.
    attempt: u32,
    key: RequestKey,
    state: ExecutionState,
}

/// Remembers request keys for longer than any retry can come.
#[derive(Clone, Debug)]
pub struct ExecutionLog {
    ages: KeyAges,
    rows: Vec<ExecutionRow>,
}

impl ExecutionLog {
    /// Creates an empty log that remembers each key for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { ages: KeyAges::new(retention), rows: Vec::new() }
    }

    /// Records the arrival of an attempt, unless its request is known.
    ///
    /// A request that was refused may come again. One that was voided may come again only as a
    /// later attempt, since the voided attempt may still be on its way.
    pub fn admit(&mut self, now: MonotonicTime, key: RequestKey, attempt: u32) -> AdmitDecision {
        let position = match self.position(key) {
            Ok(position) => position,
            Err(position) => {
                self.insert(
                    now,
                    position,
                    ExecutionRow { attempt, key, state: ExecutionState::Queued },
                );
                return AdmitDecision::Fresh;
            }
        };
        let row = &mut self.rows[position];
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
        AdmitDecision::Fresh
    }

    /// Records that the target is about to receive the request; tells whether it still may.
    #[must_use]
    pub fn hand_over(&mut self, key: RequestKey) -> bool {
        match self.position(key) {
            Ok(position) if self.rows[position].state == ExecutionState::Queued => {
                self.rows[position].state = ExecutionState::HandedOver;
                true
            }
            _ => false,
        }
    }

    /// Records that a queued request was refused; tells whether that is so.
    pub fn refuse(&mut self, key: RequestKey) -> bool {
        match self.position(key) {
            Ok(position) if self.rows[position].state == ExecutionState::Queued => {
                self.rows[position].state = ExecutionState::Refused;
                true
            }
            _ => false,
        }
    }

    /// Records how a request that was handed over ended.
    pub fn finish(&mut self, key: RequestKey, completed: bool) {
        if let Ok(position) = self.position(key)
            && self.rows[position].state == ExecutionState::HandedOver
        {
            self.rows[position].state =
                if completed { ExecutionState::Completed } else { ExecutionState::Failed };
        }
    }

    /// Tells what became of a request and, where the attempt has not started, keeps it from ever
    /// starting.
    pub fn resolve(&mut self, now: MonotonicTime, key: RequestKey, attempt: u32) -> ExecutionState {
        match self.position(key) {
            Ok(position) => {
                let row = &mut self.rows[position];
                if matches!(row.state, ExecutionState::Queued | ExecutionState::Refused) {
                    row.state = ExecutionState::Voided;
                }
                row.attempt = row.attempt.max(attempt);
                row.state
            }
            Err(position) => {
                self.insert(
                    now,
                    position,
                    ExecutionRow { attempt, key, state: ExecutionState::Voided },
                );
                ExecutionState::Voided
            }
        }
    }

    /// Tells how far a request got, without changing anything.
    #[must_use]
    pub fn state_of(&self, key: RequestKey) -> Option<ExecutionState> {
        self.position(key).ok().map(|position| self.rows[position].state)
    }

    /// Forgets keys that are older than the retention.
    pub fn expire(&mut self, now: MonotonicTime) {
        while let Some(key) = self.ages.pop_expired(now) {
            if let Ok(position) = self.position(key) {
                self.rows.remove(position);
            }
        }
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Finds a key's row, or the place where it belongs.
    fn position(&self, key: RequestKey) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&key, |row| row.key)
    }

    /// Adds a row for a new key.
    fn insert(&mut self, now: MonotonicTime, position: usize, row: ExecutionRow) {
        self.ages.push(now, row.key);
        self.rows.insert(position, row);
    }
}
