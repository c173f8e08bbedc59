//! In which order batch items are worth a slot.

use std::cmp::Reverse;
use std::time::Duration;

use cv_policy::MonotonicTime;

/// Times its expected run that an item needs until it is due, to be worth a slot that another could
/// use: online requests take slots back for a peak's length.
const RUN_MARGIN: f64 = 1.5;

/// Orders batch items: of those that will probably be in time, first those that have begun and then
/// the newest; behind them those that will be late.
///
/// When there is more work than slots, serving strictly by due time makes everything a little late,
/// and what is begun last is broken off before it ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct BatchOrder;

impl BatchOrder {
    /// Returns the time after which an item that starts will probably be late.
    #[must_use]
    pub fn latest_start(self, due: MonotonicTime, run: Duration) -> MonotonicTime {
        let needed = run.mul_f64(RUN_MARGIN).as_micros() as u64;
        MonotonicTime::from_micros(due.as_micros().saturating_sub(needed))
    }

    /// Returns the latest start of what is left after a run of the given time.
    #[must_use]
    pub fn latest_start_after(self, latest_start: MonotonicTime, ran: Duration) -> MonotonicTime {
        latest_start + ran.mul_f64(RUN_MARGIN)
    }

    /// Returns the key that items are sorted by.
    #[must_use]
    pub fn sort_key(
        self,
        now: MonotonicTime,
        due: MonotonicTime,
        run: Duration,
        has_begun: bool,
    ) -> (bool, bool, Reverse<MonotonicTime>) {
        (self.latest_start(due, run) < now, !has_begun, Reverse(due))
    }
}
