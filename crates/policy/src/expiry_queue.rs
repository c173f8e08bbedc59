//! The order in which request keys expire.

use std::collections::VecDeque;
use std::time::Duration;

use crate::MonotonicTime;
use crate::RequestKey;

/// Keys with their insertion times, oldest first.
#[derive(Clone, Debug)]
pub(crate) struct ExpiryQueue {
    retention: Duration,
    rows: VecDeque<(MonotonicTime, RequestKey)>,
}

impl ExpiryQueue {
    /// Creates an empty queue whose keys expire after `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { retention, rows: VecDeque::new() }
    }

    /// Adds a key that is not in the queue.
    pub fn push(&mut self, now: MonotonicTime, key: RequestKey) {
        self.rows.push_back((now, key));
    }

    /// Removes a key before it expires.
    pub fn remove(&mut self, key: RequestKey) {
        self.rows.retain(|row| row.1 != key);
    }

    /// Removes and returns the oldest key if it has expired.
    pub fn pop_expired(&mut self, now: MonotonicTime) -> Option<RequestKey> {
        let (inserted, key) = self.rows.front().copied()?;
        if now.since(inserted) < self.retention {
            return None;
        }
        self.rows.pop_front();
        Some(key)
    }
}
