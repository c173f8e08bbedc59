//! A table by request key whose rows expire.

use std::time::Duration;

use crate::MonotonicTime;
use crate::RequestKey;
use crate::expiry_queue::ExpiryQueue;

/// Rows by request key, each removed after a fixed retention.
#[derive(Clone, Debug)]
pub(crate) struct ExpiringTable<R> {
    expiry: ExpiryQueue,
    /// Sorted by key.
    rows: Vec<(RequestKey, R)>,
}

impl<R> ExpiringTable<R> {
    /// Creates an empty table that keeps each row for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { expiry: ExpiryQueue::new(retention), rows: Vec::new() }
    }

    /// Returns the row of a key.
    pub fn get(&self, key: RequestKey) -> Option<&R> {
        let position = self.position(key).ok()?;
        Some(&self.rows[position].1)
    }

    /// Returns the row of a key for modification.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut R> {
        let position = self.position(key).ok()?;
        Some(&mut self.rows[position].1)
    }

    /// Adds a row whose retention starts at `now`. Does nothing if the key has a row.
    pub fn insert(&mut self, now: MonotonicTime, key: RequestKey, row: R) {
        if let Err(position) = self.position(key) {
            self.expiry.push(now, key);
            self.rows.insert(position, (key, row));
        }
    }

    /// Removes the row of a key.
    pub fn remove(&mut self, key: RequestKey) {
        if let Ok(position) = self.position(key) {
            self.rows.remove(position);
            self.expiry.remove(key);
        }
    }

    /// Removes rows that are older than the retention.
    pub fn expire(&mut self, now: MonotonicTime) {
        while let Some(key) = self.expiry.pop_expired(now) {
            if let Ok(position) = self.position(key) {
                self.rows.remove(position);
            }
        }
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns the index of a key's row, or the index at which to insert it.
    fn position(&self, key: RequestKey) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&key, |(key, _)| *key)
    }
}
