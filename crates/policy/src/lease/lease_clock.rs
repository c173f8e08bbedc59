//! Tracks the expiry of a lease from the holder's side.

use std::time::Duration;

use crate::MonotonicTime;

/// Parts into which the time to live is divided: one is the renewal interval, and one is the safety
/// margin by which the holder treats the lease as expired early.
const TIME_TO_LIVE_PARTS: u32 = 4;

/// The holder's view of a lease.
///
/// The time to live is counted from when the last successful renewal was *sent*, since the service
/// cannot have started it earlier. A safety margin covers clock drift. A paused process may outlive
/// its lease, so the lease has to be checked before every use.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClock {
    epoch: u64,
    /// Send time of the last successful renewal.
    renewal_sent: MonotonicTime,
    time_to_live: Duration,
}

impl LeaseClock {
    /// Creates the clock of a lease whose grant was requested at `sent`.
    #[must_use]
    pub fn new(epoch: u64, sent: MonotonicTime, time_to_live: Duration) -> Self {
        Self { epoch, renewal_sent: sent, time_to_live }
    }

    /// Returns the fencing epoch, which increases with each holder.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records a successful renewal that was sent at `sent`.
    pub fn renew(&mut self, sent: MonotonicTime) {
        self.renewal_sent = self.renewal_sent.max(sent);
    }

    /// Returns whether the lease is certainly still valid.
    #[must_use]
    pub fn holds(&self, now: MonotonicTime) -> bool {
        !self.remaining(now).is_zero()
    }

    /// Returns how long the lease is certain to stay valid; zero if it may have expired.
    #[must_use]
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        let safe = self.time_to_live / TIME_TO_LIVE_PARTS * (TIME_TO_LIVE_PARTS - 1);
        safe.saturating_sub(now.since(self.renewal_sent))
    }

    /// Returns whether the next renewal is due.
    #[must_use]
    pub fn is_renewal_due(&self, now: MonotonicTime) -> bool {
        now.since(self.renewal_sent) >= self.time_to_live / TIME_TO_LIVE_PARTS
    }
}
