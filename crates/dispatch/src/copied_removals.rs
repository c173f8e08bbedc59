//! Which keys that a peer's view does not list count as removed.

use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::deferred_removals::REREGISTRATION_GRACE;

/// Time without a peer that lists a key after which it counts as removed, although none of the peers had
/// steady contact with the store.
const MAX_ABSENCE: Duration = REREGISTRATION_GRACE.saturating_mul(2);

/// Known keys that are missing from the copied views of peers without steady contact.
#[derive(Clone, Debug, Default)]
pub struct CopiedRemovals {
    /// Each missing key with the time of the first view that missed it, sorted by key.
    missing: Vec<(String, MonotonicTime)>,
}

impl CopiedRemovals {
    /// Records a copied view and returns those of the known keys `missing` from it that count as removed.
    ///
    /// The removals of a peer to which the store has responded for long enough count at once. Any other
    /// peer may have taken keys for removed whose owners are about to register them again.
    pub fn remove(
        &mut self,
        now: MonotonicTime,
        peer_contact: Option<Duration>,
        mut missing: Vec<String>,
    ) -> Vec<String> {
        if Self::is_steady(peer_contact) {
            self.clear();
            return missing;
        }
        missing.sort_unstable();
        let rows = missing.into_iter().map(|key| {
            let since = self.missing_since(&key).unwrap_or(now);
            (key, since)
        });
        self.missing = rows.collect();
        let expired = self.missing.extract_if(.., |(_, since)| now.since(*since) >= MAX_ABSENCE);
        expired.map(|(key, _)| key).collect()
    }

    /// Returns whether the store has responded to a peer for so long that its view is current.
    #[must_use]
    pub fn is_steady(peer_contact: Option<Duration>) -> bool {
        peer_contact.is_some_and(|contact| contact >= REREGISTRATION_GRACE)
    }

    /// Forgets all copied views, because the store itself has told which keys exist.
    pub fn clear(&mut self) {
        self.missing.clear();
    }

    /// Returns the time of the first view that missed a key.
    fn missing_since(&self, key: &str) -> Option<MonotonicTime> {
        let position = self.missing.binary_search_by(|(row, _)| row.as_str().cmp(key)).ok()?;
        Some(self.missing[position].1)
    }
}
