//! Whether this process has just been frozen.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Time between two ticks above which the process counts as frozen meanwhile; they come every half
/// second.
const MAX_TICK_GAP: Duration = Duration::from_millis(1_200);

/// Time after a thaw in which messages that came during the freeze may still be read.
const BACKLOG_TIME: Duration = Duration::from_millis(250);

/// Detects from late ticks that the process was frozen. Messages that are read shortly after were
/// sent at an unknown time, so what they say of the past cannot be dated.
#[derive(Clone, Copy, Debug, Default)]
pub struct ThawDetector {
    last_tick: Option<MonotonicTime>,
    /// When the backlog of the last freeze has been read.
    settled_at: MonotonicTime,
}

impl ThawDetector {
    /// Records a regular tick.
    pub fn tick(&mut self, now: MonotonicTime) {
        if self.is_late(now) {
            self.settled_at = now + BACKLOG_TIME;
        }
        self.last_tick = Some(now);
    }

    /// Returns whether a message that is read now may have come during a freeze.
    #[must_use]
    pub fn may_read_backlog(&self, now: MonotonicTime) -> bool {
        now < self.settled_at || self.is_late(now)
    }

    /// Returns whether the next tick is late.
    fn is_late(&self, now: MonotonicTime) -> bool {
        self.last_tick.is_some_and(|last| now.since(last) > MAX_TICK_GAP)
    }
}
