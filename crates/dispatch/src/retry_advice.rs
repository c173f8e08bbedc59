//! Advice to refused callers on when to retry.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Shortest delay after which a retry can find a queue in another state.
const MIN_DELAY: Duration = Duration::from_millis(150);

/// Weight of a new sample in the mean length of busy periods.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Share of the time until the deadline that the delay may take; callers ignore a longer one.
const MAX_DELAY_SHARE: f64 = 0.33;

/// Tracks how long busy periods last, in which requests are refused, to advise on retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAdvice {
    /// Start of the current busy period: the first refusal since the last admission.
    busy_since: Option<MonotonicTime>,
    /// Mean length of a busy period, in seconds.
    mean_busy_seconds: f64,
}

impl RetryAdvice {
    /// Records that a request found a free slot, which ends a busy period.
    pub fn record_admission(&mut self, now: MonotonicTime) {
        if let Some(since) = self.busy_since.take() {
            let lasted = now.since(since).as_secs_f64();
            self.mean_busy_seconds += SAMPLE_WEIGHT * (lasted - self.mean_busy_seconds);
        }
    }

    /// Records a refusal and returns the delay after which its caller should retry.
    ///
    /// `left` is the time until the caller's deadline; `jitter` in 0..1 spreads the retries. The
    /// delay is at least half of the expected remainder of the busy period, so that retries don't
    /// meet the queue that refused them, and at most what the caller accepts.
    pub fn record_refusal(&mut self, now: MonotonicTime, left: Duration, jitter: f64) -> Duration {
        let since = *self.busy_since.get_or_insert(now);
        let busy_left = (self.mean_busy_seconds - now.since(since).as_secs_f64()).max(0.0);
        let longest = left.mul_f64(MAX_DELAY_SHARE).as_secs_f64();
        let shortest = MIN_DELAY.as_secs_f64().max(busy_left / 2.0).min(longest);
        Duration::from_secs_f64(shortest + (longest - shortest) * jitter)
    }
}
