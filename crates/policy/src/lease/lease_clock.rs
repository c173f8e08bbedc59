//! Tells a holder whether its lease provably still holds.

use std::time::Duration;

use crate::MonotonicTime;

/// Share of the time to live that the holder does not count on.
const MARGIN_SHARE: u32 = 4;

/// A lease seen from its holder.
///
/// The time to live is counted from when the last successful renewal was *sent*: the service cannot
/// have started it earlier. A margin covers clocks that run at different speeds. A holder that was
/// paused finds the lease over when it looks again, so every use of the lease looks again.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClock {
    epoch: u64,
    renewed: MonotonicTime,
    time_to_live: Duration,
}

impl LeaseClock {
    /// Creates the clock of a lease that was granted in answer to a message sent at `sent`.
    #[must_use]
    pub fn new(epoch: u64, sent: MonotonicTime, time_to_live: Duration) -> Self {
        Self { epoch, renewed: sent, time_to_live }
    }

    /// Returns the fencing epoch, which grows with each holder.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes a successful renewal that was sent at `sent`.
    pub fn renew(&mut self, sent: MonotonicTime) {
        self.renewed = self.renewed.max(sent);
    }

    /// Tells whether the lease provably holds.
    #[must_use]
    pub fn holds(&self, now: MonotonicTime) -> bool {
        !self.remaining(now).is_zero()
    }

    /// Returns the time for which the lease provably holds from now on.
    #[must_use]
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        let counted = self.time_to_live / MARGIN_SHARE * (MARGIN_SHARE - 1);
        counted.saturating_sub(now.since(self.renewed))
    }

    /// Tells whether it is time to renew.
    #[must_use]
    pub fn is_renewal_due(&self, now: MonotonicTime) -> bool {
        now.since(self.renewed) >= self.time_to_live / MARGIN_SHARE
    }
}
