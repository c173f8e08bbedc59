//! Limit on the requests that a target takes in a second.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Requests that may follow each other at once after a pause, beside half a second's worth.
const MIN_BURST: f64 = 2.0;

/// Share of a second's requests that may follow each other at once after a pause.
const BURST_SECONDS: f64 = 0.5;

/// Smallest limit, in requests a second; a target that names zero is asked now and then.
const MIN_LIMIT: f64 = 0.05;

/// A token bucket for the requests to one target, without a limit until the target names one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestBucket {
    /// Requests a second.
    limit: Option<f64>,
    /// Requests that may be sent at once, at `updated_at`.
    tokens: f64,
    updated_at: MonotonicTime,
}

impl RequestBucket {
    /// Sets the limit that the target names, in requests a second; `None` if it names none.
    pub fn set_limit(&mut self, now: MonotonicTime, limit: Option<f64>) {
        let limit = limit.map(|limit| limit.max(MIN_LIMIT));
        if self.limit.is_none() {
            (self.tokens, self.updated_at) = (1.0, now);
        }
        self.refill(now);
        self.limit = limit;
        self.refill(now);
    }

    /// Returns whether the target has named a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns how many requests may be sent at once; infinite without a limit.
    #[must_use]
    pub fn available(&self, now: MonotonicTime) -> f64 {
        let Some(limit) = self.limit else {
            return f64::INFINITY;
        };
        let burst = MIN_BURST + limit * BURST_SECONDS;
        let refilled = now.since(self.updated_at).as_secs_f64() * limit;
        (self.tokens + refilled).min(burst)
    }

    /// Returns the time until `count` requests may be sent.
    #[must_use]
    pub fn wait_for(&self, now: MonotonicTime, count: f64) -> Duration {
        let missing = (count - self.available(now)).max(0.0);
        self.limit.map_or(Duration::ZERO, |limit| Duration::from_secs_f64(missing / limit))
    }

    /// Counts a request that is about to be sent; returns `false` if it may not be.
    pub fn take(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        if self.limit.is_none() {
            return true;
        }
        let may_send = self.tokens >= 1.0;
        if may_send {
            self.tokens -= 1.0;
        }
        may_send
    }

    /// Adds the requests that time has made possible.
    fn refill(&mut self, now: MonotonicTime) {
        if self.limit.is_some() {
            self.tokens = self.available(now);
        }
        self.updated_at = now;
    }
}
