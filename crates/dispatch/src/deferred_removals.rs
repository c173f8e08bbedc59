//! Defers the removal of keys that may be missing only because the coordination store failed.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Grace period after the store's last failure, in which live instances register again.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_500);

/// Share of all keys above which a simultaneous removal counts as a failure of the store.
///
/// Registrations that lapsed while the store was away vanish together; instances that leave do so
/// one after the other or in small groups.
const MASS_REMOVAL_SHARE: f64 = 0.5;

/// Keys that may vanish at once without counting as a mass removal.
const MAX_SMALL_REMOVAL: usize = 2;

/// Keys that are missing from the store although their owners may still be alive.
#[derive(Clone, Debug, Default)]
pub struct DeferredRemovals {
    /// Missing keys, sorted, each with the time from which it counts as removed.
    missing: Vec<(String, MonotonicTime)>,
    /// When the store was last seen failing.
    last_outage: Option<MonotonicTime>,
}

impl DeferredRemovals {
    /// Records that the store is failing at `now`.
    pub fn record_outage(&mut self, now: MonotonicTime) {
        self.last_outage = Some(now);
    }

    /// Records that `removed` of `known` keys vanish in one update; a mass removal counts as an
    /// outage, since the process may not have seen the store fail.
    pub fn record_removals(&mut self, now: MonotonicTime, removed: usize, known: usize) {
        if removed > MAX_SMALL_REMOVAL && removed as f64 > known as f64 * MASS_REMOVAL_SHARE {
            self.record_outage(now);
        }
    }

    /// Ends the outage that was recorded up to `last_failure`, which was none for the owners of the keys,
    /// and the deferral of their removals. A later outage goes on.
    pub fn end_outage(&mut self, now: MonotonicTime, last_failure: MonotonicTime) {
        if self.last_outage.is_some_and(|time| time > last_failure) {
            return;
        }
        self.last_outage = None;
        for (_, until) in &mut self.missing {
            *until = now;
        }
    }

    /// Records the removal of a key; returns whether it takes effect at once.
    ///
    /// Within the grace period of an outage the removal is deferred, see [`Self::take_expired`].
    pub fn remove(&mut self, now: MonotonicTime, key: &str) -> bool {
        let Some(grace_end) =
            self.last_outage.map(|time| time + REREGISTRATION_GRACE).filter(|time| *time > now)
        else {
            return true;
        };
        if let Err(position) = self.position(key) {
            self.missing.insert(position, (key.to_owned(), grace_end));
        }
        false
    }

    /// Cancels the deferred removal of a key that is present again.
    pub fn restore(&mut self, key: &str) {
        if let Ok(position) = self.position(key) {
            self.missing.remove(position);
        }
    }

    /// Removes and returns the keys whose grace period has ended without a new registration.
    pub fn take_expired(&mut self, now: MonotonicTime) -> Vec<String> {
        // Nothing can be registered while the store is failing, so the last outage counts.
        let grace_end = self.last_outage.map(|time| time + REREGISTRATION_GRACE);
        if grace_end.is_some_and(|time| time > now) {
            return Vec::new();
        }
        let (expired, missing) = self.missing.drain(..).partition(|(_, until)| *until <= now);
        self.missing = missing;
        let expired: Vec<(String, MonotonicTime)> = expired;
        expired.into_iter().map(|(key, _)| key).collect()
    }

    /// Returns the index of a missing key, or the index at which to insert it.
    fn position(&self, key: &str) -> Result<usize, usize> {
        self.missing.binary_search_by(|(other, _)| other.as_str().cmp(key))
    }
}
