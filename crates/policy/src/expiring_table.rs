//! Rows by request key, each forgotten after a time.

use std::time::Duration;

use crate::MonotonicTime;
use crate::RequestKey;
use crate::expiry_queue::ExpiryQueue;

/// Rows sorted by key, and their ages.
#[derive(Clone, Debug)]
pub(crate) struct ExpiringTable<R> {
    ages: ExpiryQueue,
    rows: Vec<(RequestKey, R)>,
}

impl<R> ExpiringTable<R> {
    /// Creates an empty table that keeps each row for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { ages: ExpiryQueue::new(retention), rows: Vec::new() }
    }

    /// Returns the row of a key.
    pub fn get(&self, key: RequestKey) -> Option<&R> {
        let position = self.position(key).ok()?;
        Some(&self.rows[position].1)
    }

    /// Returns the row of a key for change.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut R> {
        let position = self.position(key).ok()?;
        Some(&mut self.rows[position].1)
    }

    /// Adds a row, whose age begins now, unless the key has one.
    pub fn insert(&mut self, now: MonotonicTime, key: RequestKey, row: R) {
        if let Err(position) = self.position(key) {
            self.ages.push(now, key);
            self.rows.insert(position, (key, row));
        }
    }

    /// Forgets the row of a key.
    pub fn remove(&mut self, key: RequestKey) {
        if let Ok(position) = self.position(key) {
            self.rows.remove(position);
            self.ages.remove(key);
        }
    }

    /// Forgets rows that are older than the retention.
    pub fn expire(&mut self, now: MonotonicTime) {
        while let Some(key) = self.ages.pop_expired(now) {
            if let Ok(position) = self.position(key) {
                self.rows.remove(position);
            }
        }
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Finds a key's row, or the place where it belongs.
    fn position(&self, key: RequestKey) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&key, |(key, _)| *key)
    }
}
