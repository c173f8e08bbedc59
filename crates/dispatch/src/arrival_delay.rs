//! How long messages of a peer were under way.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Estimates the delay of a peer's messages from the times at which it sent them.
///
/// The clocks of two processes have no common origin, but they run equally fast. So the message that
/// arrived fastest gives the difference between the clocks, and what another took longer is its
/// delay. A process that was frozen reads messages long after they were sent.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalDelay {
    /// Identifies the peer's process, each of which has a clock of its own.
    incarnation: u32,
    /// Least difference so far of the time of receipt here and the time of sending there, in
    /// microseconds.
    least_offset: i128,
}

impl ArrivalDelay {
    /// Starts an estimate with the first message of a peer, whose delay counts as none.
    #[must_use]
    pub fn new(incarnation: u32, sent_at: MonotonicTime, received_at: MonotonicTime) -> Self {
        Self { incarnation, least_offset: offset(sent_at, received_at) }
    }

    /// Returns the delay of a message that has just been received.
    pub fn record(
        &mut self,
        incarnation: u32,
        sent_at: MonotonicTime,
        received_at: MonotonicTime,
    ) -> Duration {
        if incarnation != self.incarnation {
            *self = Self::new(incarnation, sent_at, received_at);
        }
        let offset = offset(sent_at, received_at);
        self.least_offset = self.least_offset.min(offset);
        Duration::from_micros(u64::try_from(offset - self.least_offset).unwrap_or(u64::MAX))
    }
}

/// Returns the time of receipt less the time of sending, in microseconds.
fn offset(sent_at: MonotonicTime, received_at: MonotonicTime) -> i128 {
    i128::from(received_at.as_micros()) - i128::from(sent_at.as_micros())
}
