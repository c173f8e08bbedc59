//! The order in which remembered keys grow old.

use std::collections::VecDeque;
use std::time::Duration;

use crate::MonotonicTime;
use crate::RequestKey;

/// Keys with the times at which they were first remembered, the oldest first.
#[derive(Clone, Debug)]
pub(crate) struct ExpiryQueue {
    retention: Duration,
    rows: VecDeque<(MonotonicTime, RequestKey)>,
}

impl ExpiryQueue {
    /// Creates an empty queue whose keys are remembered for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { retention, rows: VecDeque::new() }
    }

    /// Adds a key that is new.
    pub fn push(&mut self, now: MonotonicTime, key: RequestKey) {
        self.rows.push_back((now, key));
    }

    /// Removes a key before its time.
    pub fn remove(&mut self, key: RequestKey) {
        self.rows.retain(|row| row.1 != key);
    }

    /// Takes the oldest key out if its retention is over.
    pub fn pop_expired(&mut self, now: MonotonicTime) -> Option<RequestKey> {
        let (recorded, key) = self.rows.front().copied()?;
        if now.since(recorded) < self.retention {
            return None;
        }
        self.rows.pop_front();
        Some(key)
    }
}
