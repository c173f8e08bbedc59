//! Claims on request keys, replicated between entries.

use std::time::Duration;

use crate::MonotonicTime;
use crate::RequestKey;
use crate::expiring_table::ExpiringTable;

/// The claimed keys of requests that must run at most once.
///
/// The execution log of a sidecar and the state of an entry are lost when they restart. Each key is
/// also kept by a few other entries, so that a retry is recognised after either has crashed. The
/// retention has to be longer than the time in which a retry can arrive.
#[derive(Clone, Debug)]
pub struct KeyClaims {
    /// Claim numbers by key. The same request of the same caller always has the same number.
    claims: ExpiringTable<u64>,
}

impl KeyClaims {
    /// Creates an empty table that keeps each key for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { claims: ExpiringTable::new(retention) }
    }

    /// Claims a key. Returns `false` if the key has a different claim.
    #[must_use]
    pub fn claim(&mut self, now: MonotonicTime, key: RequestKey, claim: u64) -> bool {
        if let Some(existing) = self.claims.get(key) {
            return *existing == claim;
        }
        self.claims.insert(now, key, claim);
        true
    }

    /// Releases a claim whose request provably did not run. Other claims on the key stay.
    pub fn release(&mut self, key: RequestKey, claim: u64) {
        if self.claims.get(key) == Some(&claim) {
            self.claims.remove(key);
        }
    }

    /// Removes keys that are older than the retention.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.claims.expire(now);
    }

    /// Returns the number of claimed keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no key is claimed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
