//! A concurrency limit for online requests that adapts to the target's latency.

use std::time::Duration;

use crate::MonotonicTime;

/// Minimum time between two changes of the limit.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Ratio of the mean latency to the baseline above which the limit decreases.
const LATENCY_RATIO: f64 = 3.0;

/// Latency above that ratio, in seconds, that counts as noise rather than queueing in the target.
const LATENCY_MARGIN: f64 = 0.005;

/// Factor by which the limit decreases.
const DECREASE_FACTOR: f64 = 0.9;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Share of the difference between mean and baseline that the baseline makes up per interval.
const BASELINE_DRIFT: f64 = 0.002;

/// Additive-increase/multiplicative-decrease limit, driven by the ratio of latency to its baseline.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// Latency without queueing in the target, in seconds.
    baseline: f64,
    last_change: MonotonicTime,
    limit: f64,
    maximum: u32,
    /// Moving average of the latency, in seconds.
    mean: f64,
    /// Whether a request had to wait since the last change.
    saturated: bool,
}

impl ConcurrencyLimit {
    /// Creates a limit with an initial value of `maximum`.
    #[must_use]
    pub fn new(maximum: u32) -> Self {
        Self {
            baseline: 0.0,
            last_change: MonotonicTime::ZERO,
            limit: f64::from(maximum),
            maximum,
            mean: 0.0,
            saturated: false,
        }
    }

    /// Returns the number of requests that may run at the same time, at least 1.
    #[must_use]
    pub fn current(&self) -> u32 {
        (self.limit as u32).clamp(1, self.maximum.max(1))
    }

    /// Records that a request had to wait, so that a higher limit would be used.
    pub fn record_saturation(&mut self) {
        self.saturated = true;
    }

    /// Records the time from the start of a request to the first byte of its response.
    pub fn record(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = sample;
            self.baseline = sample;
            return;
        }
        self.mean += SAMPLE_WEIGHT * (sample - self.mean);
        self.baseline = self.baseline.min(self.mean);
    }

    /// Adjusts the limit, at most once per change interval.
    pub fn tick(&mut self, now: MonotonicTime) {
        if now.since(self.last_change) < CHANGE_INTERVAL {
            return;
        }
        self.last_change = now;
        if self.mean > self.baseline * LATENCY_RATIO + LATENCY_MARGIN {
            self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
        } else if self.saturated {
            self.limit = (self.limit + 1.0).min(f64::from(self.maximum));
        }
        self.saturated = false;
        // Lets the baseline follow a target that has become permanently slower.
        self.baseline += BASELINE_DRIFT * (self.mean - self.baseline);
    }
}
