//! How long a request may wait in a queue, and who has been refused before.

use std::time::Duration;

/// Share of the objective that a first attempt may wait in a queue.
const QUEUE_SHARE: f64 = 0.6;

/// Time kept for the run itself when a returning caller waits in a queue.
const RUN_RESERVE: Duration = Duration::from_millis(1_500);

/// Share of the usual deadline below which a caller has used some of it on an earlier attempt.
const RETURN_SHARE: f64 = 0.95;

/// Decides how long a request may wait in a target's queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitPolicy;

impl WaitPolicy {
    /// Returns the longest expected wait with which a request enters a queue.
    ///
    /// A first attempt that would miss its objective in the queue is better refused: it may find a
    /// free slot on its return. A returning caller has no other chance and waits.
    #[must_use]
    pub fn max_expected_wait(
        self,
        objective: Duration,
        left: Duration,
        is_returning: bool,
    ) -> Duration {
        if is_returning {
            left.saturating_sub(RUN_RESERVE)
        } else {
            objective.mul_f64(QUEUE_SHARE).min(left)
        }
    }

    /// Returns the time that a request stays in a queue which it has entered.
    ///
    /// Whoever has waited in vain is no better off elsewhere: the objective is lost by then, and the
    /// next slot here is nearer than one behind another queue.
    #[must_use]
    pub fn queue_timeout(self, left: Duration) -> Duration {
        left.saturating_sub(RUN_RESERVE)
    }
}

/// Tells callers that come back after a refusal from new ones, by how much time they have left.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    /// Longest deadline seen of each route, sorted by the route's name.
    longest: Vec<(String, Duration)>,
}

impl RetryDetector {
    /// Takes a request of a route; tells whether its caller has been refused before.
    pub fn is_retry(&mut self, route: &str, deadline: Duration) -> bool {
        match self.longest.binary_search_by(|(name, _)| name.as_str().cmp(route)) {
            Ok(position) => {
                let longest = &mut self.longest[position].1;
                *longest = (*longest).max(deadline);
                deadline < longest.mul_f64(RETURN_SHARE)
            }
            Err(position) => {
                self.longest.insert(position, (route.to_owned(), deadline));
                false
            }
        }
    }
}
