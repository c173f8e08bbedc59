//! Defers the removal of keys that may be missing only because the coordination store failed.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Grace period after the store's last failure, in which live instances register again.
pub(crate) const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_500);

/// Time for which the store responds, all told, after which a missing key counts as removed although
/// single calls go on failing.
const MAX_RESPONDING_TIME: Duration = REREGISTRATION_GRACE.saturating_mul(2);

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
    /// Missing keys, sorted by key.
    missing: Vec<MissingKey>,
    /// When the store was last seen failing.
    last_outage: Option<MonotonicTime>,
    /// Time for which the store has responded so far.
    responding_time: Duration,
}

/// A key that is missing from the store.
#[derive(Clone, Debug)]
struct MissingKey {
    key: String,
    /// Time for which the store had responded when the key was missed.
    responding_time_when_missed: Duration,
    /// When the key counts as removed, unless the store fails again.
    until: MonotonicTime,
}

impl DeferredRemovals {
    /// Records that the store is failing at `now`.
    pub fn record_outage(&mut self, now: MonotonicTime) {
        self.last_outage = Some(now);
    }

    /// Records for how long the store has responded, all told.
    pub fn record_responding_time(&mut self, time: Duration) {
        self.responding_time = time;
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
        for row in &mut self.missing {
            row.until = now;
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
            let responding_time_when_missed = self.responding_time;
            let row =
                MissingKey { key: key.to_owned(), responding_time_when_missed, until: grace_end };
            self.missing.insert(position, row);
        }
        false
    }

    /// Cancels the deferred removal of a key that is present again.
    pub fn restore(&mut self, key: &str) {
        if let Ok(position) = self.position(key) {
            self.missing.remove(position);
        }
    }

    /// Removes and returns the keys whose grace period has ended without a new registration, and those
    /// that did not return although the store responded for long.
    pub fn take_expired(&mut self, now: MonotonicTime) -> Vec<String> {
        // Nothing can be registered while the store is failing, so the last outage counts.
        let grace_end = self.last_outage.map(|time| time + REREGISTRATION_GRACE);
        let is_over = grace_end.is_none_or(|time| time <= now);
        let responding_time = self.responding_time;
        let expired = self.missing.extract_if(.., |row| {
            let responded = responding_time.saturating_sub(row.responding_time_when_missed);
            is_over && row.until <= now || responded >= MAX_RESPONDING_TIME
        });
        expired.map(|row| row.key).collect()
    }

    /// Returns the index of a missing key, or the index at which to insert it.
    fn position(&self, key: &str) -> Result<usize, usize> {
        self.missing.binary_search_by(|row| row.key.as_str().cmp(key))
    }
}
