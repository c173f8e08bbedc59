//! Limits on how long an online request waits in a queue, and detection of callers that retry.

use std::time::Duration;

/// Share of the latency objective that a first attempt may spend in a queue.
const QUEUE_SHARE: f64 = 0.6;

/// Time reserved for the run itself when a request waits in a queue.
const RUN_RESERVE: Duration = Duration::from_millis(1_500);

/// Share of a route's longest deadline below which a request counts as a retry: its caller has
/// spent the rest on an earlier attempt.
const RETRY_DEADLINE_SHARE: f64 = 0.95;

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

    /// Returns the time after which an admitted request leaves the queue without a slot.
    ///
    /// It does not leave earlier: once its objective is missed, it gets a slot sooner in this queue
    /// than at the end of another one.
    #[must_use]
    pub fn queue_timeout(self, left: Duration) -> Duration {
        left.saturating_sub(RUN_RESERVE)
    }
}

/// Detects callers that retry after a refusal by the time left until their deadline.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    /// Longest deadline seen on each route, sorted by the route's name.
    longest_deadlines: Vec<(String, Duration)>,
}

impl RetryDetector {
    /// Records a request's deadline and returns whether its caller was probably refused before.
    pub fn is_retry(&mut self, route: &str, deadline: Duration) -> bool {
        match self.longest_deadlines.binary_search_by(|(name, _)| name.as_str().cmp(route)) {
            Ok(position) => {
                let longest = &mut self.longest_deadlines[position].1;
                *longest = (*longest).max(deadline);
                deadline < longest.mul_f64(RETRY_DEADLINE_SHARE)
            }
            Err(position) => {
                self.longest_deadlines.insert(position, (route.to_owned(), deadline));
                false
            }
        }
    }
}
