//! Memory, shared between entries, of requests that must run at most once.

use std::time::Duration;

use crate::MonotonicTime;
use crate::RequestKey;
use crate::key_ages::KeyAges;

/// One remembered key.
#[derive(Clone, Copy, Debug)]
struct KeyRow {
    /// Number of the claim; the same request of the same caller has the same one.
    claim: u64,
    key: RequestKey,
}

/// Remembers which keys were claimed, for longer than a resend can come.
///
/// A sidecar forgets what it ran when it restarts, and an entry what it sent. Each key is also kept
/// by a few other entries, so that a resend is recognised after either has died.
#[derive(Clone, Debug)]
pub struct KeyRegister {
    ages: KeyAges,
    rows: Vec<KeyRow>,
}

impl KeyRegister {
    /// Creates an empty register that remembers each key for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { ages: KeyAges::new(retention), rows: Vec::new() }
    }

    /// Claims a key; tells whether nobody else has claimed it before.
    #[must_use]
    pub fn claim(&mut self, now: MonotonicTime, key: RequestKey, claim: u64) -> bool {
        match self.position(key) {
            Ok(position) => self.rows[position].claim == claim,
            Err(position) => {
                self.rows.insert(position, KeyRow { claim, key });
                self.ages.push(now, key);
                true
            }
        }
    }

    /// Gives a key back whose request was proved not to have run.
    pub fn release(&mut self, key: RequestKey, claim: u64) {
        if let Ok(position) = self.position(key)
            && self.rows[position].claim == claim
        {
            self.rows.remove(position);
            self.ages.remove(key);
        }
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
}
