//! When a refused caller should come back.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Shortest time after which a return can find another queue.
const MIN_DELAY: Duration = Duration::from_millis(150);

/// Weight of a new observation of the wait.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Share of the time left that a caller honours; a longer advice is ignored.
const HONOURED_SHARE: f64 = 0.33;

/// Remembers how long refusals have lasted, to advise on returns.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAdvice {
    /// When the present run of refusals began.
    busy_since: Option<MonotonicTime>,
    /// Mean length of such runs, in seconds.
    mean_busy: f64,
}

impl RetryAdvice {
    /// Takes a request that found a free slot.
    pub fn record_admission(&mut self, now: MonotonicTime) {
        if let Some(since) = self.busy_since.take() {
            let lasted = now.since(since).as_secs_f64();
            self.mean_busy += SAMPLE_WEIGHT * (lasted - self.mean_busy);
        }
    }

    /// Advises a refused caller who has `left` until its deadline; `draw` spreads the returns.
    ///
    /// Half of the expected rest of the busy time at least, so that returns do not meet the queue
    /// that they were refused by, and no longer than the caller honours.
    pub fn record_refusal(&mut self, now: MonotonicTime, left: Duration, draw: f64) -> Duration {
        let since = *self.busy_since.get_or_insert(now);
        let rest = (self.mean_busy - now.since(since).as_secs_f64()).max(0.0);
        let longest = left.mul_f64(HONOURED_SHARE).as_secs_f64();
        let shortest = MIN_DELAY.as_secs_f64().max(rest / 2.0).min(longest);
        Duration::from_secs_f64(shortest + (longest - shortest) * draw)
    }
}
