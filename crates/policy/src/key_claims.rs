//! Memory, shared between entries, of requests that must run at most once.

use std::time::Duration;

use crate::MonotonicTime;
use crate::RequestKey;
use crate::expiring_table::ExpiringTable;

/// Remembers which keys were claimed, for longer than a resend can come.
///
/// A sidecar forgets what it ran when it restarts, and an entry what it sent. Each key is also kept
/// by a few other entries, so that a resend is recognised after either has died.
#[derive(Clone, Debug)]
pub struct KeyClaims {
    /// Numbers of the claims; the same request of the same caller has the same one.
    claims: ExpiringTable<u64>,
}

impl KeyClaims {
    /// Creates an empty register that remembers each key for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { claims: ExpiringTable::new(retention) }
    }

    /// Claims a key; tells whether nobody else has claimed it before.
    #[must_use]
    pub fn claim(&mut self, now: MonotonicTime, key: RequestKey, claim: u64) -> bool {
        if let Some(known) = self.claims.get(key) {
            return *known == claim;
        }
        self.claims.insert(now, key, claim);
        true
    }

    /// Gives a key back whose request was proved not to have run.
    pub fn release(&mut self, key: RequestKey, claim: u64) {
        if self.claims.get(key) == Some(&claim) {
            self.claims.remove(key);
        }
    }

    /// Forgets keys that are older than the retention.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.claims.expire(now);
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Tells whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
