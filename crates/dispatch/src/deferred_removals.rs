//! Holds back removals that an outage of the coordination store may have caused.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Time after the store's return within which the entries of live instances are back.
const RETURN_TIME: Duration = Duration::from_millis(2_500);

/// Keys that are missing from the store although their owners may live.
#[derive(Clone, Debug, Default)]
pub struct DeferredRemovals {
    /// Sorted by key, each with the time at which it counts as gone.
    missing: Vec<(String, MonotonicTime)>,
    /// When the store was last seen in trouble.
    trouble: Option<MonotonicTime>,
}

impl DeferredRemovals {
    /// Notes that the store does not answer as it should.
    pub fn record_outage(&mut self, now: MonotonicTime) {
        self.trouble = Some(now);
    }

    /// Takes a removal; returns whether it takes effect at once.
    pub fn remove(&mut self, now: MonotonicTime, key: &str) -> bool {
        let Some(until) = self.trouble.map(|time| time + RETURN_TIME).filter(|time| *time > now)
        else {
            return true;
        };
        if let Err(position) = self.position(key) {
            self.missing.insert(position, (key.to_owned(), until));
        }
        false
    }

    /// Takes the return of a key.
    pub fn restore(&mut self, key: &str) {
        if let Ok(position) = self.position(key) {
            self.missing.remove(position);
        }
    }

    /// Returns the keys that have stayed away for too long.
    pub fn take_expired(&mut self, now: MonotonicTime) -> Vec<String> {
        // While the store is still in trouble nobody can return.
        let until = self.trouble.map(|time| time + RETURN_TIME);
        if until.is_some_and(|time| time > now) {
            return Vec::new();
        }
        let (gone, missing) = self.missing.drain(..).partition(|(_, due)| *due <= now);
        self.missing = missing;
        let gone: Vec<(String, MonotonicTime)> = gone;
        gone.into_iter().map(|(key, _)| key).collect()
    }

    /// Finds the place of a key.
    fn position(&self, key: &str) -> Result<usize, usize> {
        self.missing.binary_search_by(|(other, _)| other.as_str().cmp(key))
    }
}
