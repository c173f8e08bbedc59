//! Detection of callers that retry.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Share of a route's longest deadline below which a request counts as a retry: its caller has
/// spent the rest on an earlier attempt.
const RETRY_DEADLINE_SHARE: f64 = 0.95;

/// Time in which the deadlines of a route's callers are learned.
const LEARNING_TIME: Duration = Duration::from_secs(2);

/// Detects callers that retry after a refusal by the time left until their deadline.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    /// Sorted by the route's name.
    routes: Vec<RouteDeadlines>,
}

/// The deadlines that the callers of one route have sent.
#[derive(Clone, Debug)]
struct RouteDeadlines {
    first_seen: MonotonicTime,
    longest: Duration,
    route: String,
}

impl RetryDetector {
    /// Records a request's deadline and returns whether its caller was probably refused before.
    ///
    /// Until a route's deadlines are known, every caller counts as one that has no further attempt:
    /// after a failure of the whole fleet, most callers return from a refused connection.
    pub fn is_retry(&mut self, now: MonotonicTime, route: &str, deadline: Duration) -> bool {
        match self.routes.binary_search_by(|row| row.route.as_str().cmp(route)) {
            Ok(position) => {
                let row = &mut self.routes[position];
                row.longest = row.longest.max(deadline);
                let is_learning = now.since(row.first_seen) < LEARNING_TIME;
                is_learning || deadline < row.longest.mul_f64(RETRY_DEADLINE_SHARE)
            }
            Err(position) => {
                let (first_seen, longest, route) = (now, deadline, route.to_owned());
                self.routes.insert(position, RouteDeadlines { first_seen, longest, route });
                true
            }
        }
    }
}
