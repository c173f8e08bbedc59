//! An online concurrency limit that follows the target's latency.

use std::time::Duration;

use crate::MonotonicTime;

/// Time between two changes of the limit.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Latency over the baseline at which the limit shrinks.
const LATENCY_RATIO: f64 = 3.0;

/// Latency over the baseline, in seconds, that is noise rather than a queue in the target.
const LATENCY_MARGIN: f64 = 0.005;

/// Factor of one decrease.
const DECREASE: f64 = 0.9;

/// Weight of a new sample in the running mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Rate at which the baseline rises towards the mean, per change.
const BASELINE_DRIFT: f64 = 0.002;

/// Additive increase, multiplicative decrease on the ratio of latency to its baseline.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    baseline: f64,
    changed: MonotonicTime,
    limit: f64,
    maximum: u32,
    mean: f64,
    saturated: bool,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at its maximum.
    #[must_use]
    pub fn new(maximum: u32) -> Self {
        Self {
            baseline: 0.0,
            changed: MonotonicTime::ZERO,
            limit: f64::from(maximum),
            maximum,
            mean: 0.0,
            saturated: false,
        }
    }

    /// Returns the number of requests that may run at once, at least 1.
    #[must_use]
    pub fn current(&self) -> u32 {
        (self.limit as u32).clamp(1, self.maximum.max(1))
    }

    /// Notes that a request had to wait, so that a higher limit would be used.
    pub fn record_saturation(&mut self) {
        self.saturated = true;
    }

    /// Takes the time from hand-over to first response of one request.
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

    /// Changes the limit if it is time to.
    pub fn tick(&mut self, now: MonotonicTime) {
        if now.since(self.changed) < CHANGE_INTERVAL {
            return;
        }
        self.changed = now;
        if self.mean > self.baseline * LATENCY_RATIO + LATENCY_MARGIN {
            self.limit = (self.limit * DECREASE).max(1.0);
        } else if self.saturated {
            self.limit = (self.limit + 1.0).min(f64::from(self.maximum));
        }
        self.saturated = false;
        // A target that has become slower for good gets a new baseline in time.
        self.baseline += BASELINE_DRIFT * (self.mean - self.baseline);
    }
}
