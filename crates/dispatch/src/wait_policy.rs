//! Limits on how long an online request waits in a queue.

use std::time::Duration;

/// Share of the latency objective that a first attempt may spend in a queue.
const QUEUE_SHARE: f64 = 0.6;

/// Share of the latency objective that remains for the first event once a request has started.
const FIRST_EVENT_SHARE: f64 = 0.25;

/// Time reserved for the run itself when a request waits in a queue.
const RUN_RESERVE: Duration = Duration::from_millis(1_500);

/// Decides how long an online request may wait in a target's queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitPolicy;

impl WaitPolicy {
    /// Returns the longest expected wait with which a request is admitted to a queue.
    ///
    /// A first attempt that would miss its objective in the queue is refused, because its caller's
    /// retry may find a free slot. A retry has no later attempt to fall back on and may wait for
    /// most of `left`, the time until the deadline.
    #[must_use]
    pub fn max_expected_wait(
        self,
        objective: Duration,
        left: Duration,
        is_retry: bool,
    ) -> Duration {
        if is_retry {
            left.saturating_sub(RUN_RESERVE)
        } else {
            objective.mul_f64(QUEUE_SHARE).min(left)
        }
    }

    /// Returns the time in which a request that arrived `elapsed` ago has to start to meet its
    /// objective.
    #[must_use]
    pub fn objective_left(self, objective: Duration, elapsed: Duration) -> Duration {
        objective.mul_f64(1.0 - FIRST_EVENT_SHARE).saturating_sub(elapsed)
    }

    /// Returns the time after which an admitted request leaves the queue without a slot.
    ///
    /// It does not leave earlier: once its objective is missed, it gets a slot sooner in this queue
    /// than at the end of another one.
    #[must_use]
    pub fn queue_timeout(self, left: Duration) -> Duration {
        left.saturating_sub(RUN_RESERVE)
    }
}
