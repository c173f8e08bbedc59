//! The share of failed responses of a target, by which a target that fails at once stops looking
//! idle.
//!
//! Answers the load of a target that returns errors while its health check is good. It has few
//! requests in progress, so a placement by load alone prefers it to all others.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Time after which a response counts 1/e as much. Failures last 5 to 7 s, and a target has 2 to 9
/// responses a second.
const MEAN_LIFE: Duration = Duration::from_millis(1_500);

/// Responses without a failure that every record starts with and keeps, so that one failure of an
/// idle target does not count as the failure of all its responses.
const ASSUMED_SUCCESSES: f64 = 2.0;

/// Time-decayed counts of a target's responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRecord {
    /// Failed responses at `updated_at`, decayed.
    failures: f64,
    /// All responses at `updated_at`, decayed.
    responses: f64,
    updated_at: MonotonicTime,
}

impl FailureRecord {
    /// Records a response that is whole, or a failure of the target.
    pub fn record(&mut self, now: MonotonicTime, is_failure: bool) {
        let decay = self.decay(now);
        self.failures = self.failures * decay + f64::from(u8::from(is_failure));
        self.responses = self.responses * decay + 1.0;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the share of failed responses, from 0 to 1.
    #[must_use]
    pub fn failure_share(&self, now: MonotonicTime) -> f64 {
        if self.failures <= 0.0 {
            return 0.0;
        }
        let decay = self.decay(now);
        self.failures * decay / (self.responses * decay + ASSUMED_SUCCESSES)
    }

    /// Returns the time-decayed number of responses.
    #[must_use]
    pub fn recent_responses(&self, now: MonotonicTime) -> f64 {
        self.responses * self.decay(now)
    }

    /// Returns the factor by which the counts have decayed.
    fn decay(&self, now: MonotonicTime) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / MEAN_LIFE.as_secs_f64()).exp()
    }
}
