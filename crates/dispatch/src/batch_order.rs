//! The order in which batch items get slots.

use std::cmp::Reverse;
use std::time::Duration;

use cv_policy::MonotonicTime;

/// Time that an item must have left before it is due, as a multiple of its expected run time.
///
/// Above 1 because online requests preempt batch runs for as long as a load peak lasts.
const RUN_TIME_MARGIN: f64 = 1.5;

/// Orders batch items: first those that can still finish in time, of these the ones with partial
/// output and then the ones due last; after them those that will probably be late.
///
/// Under overload, earliest-due-first makes every item slightly late and interrupts the items that
/// started last before they finish.
#[derive(Clone, Copy, Debug, Default)]
pub struct BatchOrder;

impl BatchOrder {
    /// Returns the time after which an item that starts will probably be late.
    #[must_use]
    pub fn latest_start(self, due: MonotonicTime, run: Duration) -> MonotonicTime {
        let needed = run.mul_f64(RUN_TIME_MARGIN).as_micros() as u64;
        MonotonicTime::from_micros(due.as_micros().saturating_sub(needed))
    }

    /// Returns the latest start of the remaining work after an item has run for `ran`.
    #[must_use]
    pub fn latest_start_after(self, latest_start: MonotonicTime, ran: Duration) -> MonotonicTime {
        latest_start + ran.mul_f64(RUN_TIME_MARGIN)
    }

    /// Returns the key by which items are sorted; the smallest key runs first.
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
