//! When other processes were last heard.

use std::net::SocketAddr;
use std::time::Duration;

use cv_policy::MonotonicTime;

/// Time after which a process that has not been heard is forgotten.
const RETENTION: Duration = Duration::from_secs(30);

/// The last time at which each peer was heard.
#[derive(Clone, Debug, Default)]
pub struct PeerPresence {
    /// Sorted by address.
    rows: Vec<(SocketAddr, MonotonicTime)>,
}

impl PeerPresence {
    /// Records that a peer has been heard, and forgets those that have been silent for long.
    pub fn record(&mut self, address: SocketAddr, now: MonotonicTime) {
        match self.rows.binary_search_by_key(&address, |(other, _)| *other) {
            Ok(position) => self.rows[position].1 = now,
            Err(position) => {
                self.rows.retain(|(_, heard_at)| now.since(*heard_at) < RETENTION);
                let position = position.min(self.rows.len());
                self.rows.insert(position, (address, now));
                self.rows.sort_unstable();
            }
        }
    }

    /// Returns for how long a peer has been silent, counted from `since` if it was last heard earlier.
    #[must_use]
    pub fn silence(
        &self,
        address: SocketAddr,
        since: MonotonicTime,
        now: MonotonicTime,
    ) -> Duration {
        let found = self.rows.binary_search_by_key(&address, |(other, _)| *other);
        let heard_at = found.map_or(since, |position| self.rows[position].1);
        now.since(heard_at.max(since))
    }
}
