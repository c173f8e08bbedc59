//! Estimates of the service and waiting times of requests.

use std::time::Duration;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Mean deviations above the mean within which nearly all requests complete.
const DEVIATIONS: f64 = 2.0;

/// Moving averages of the service time of online requests, that is, their time at the target.
#[derive(Clone, Debug, Default)]
pub struct ServiceEstimate {
    /// Mean absolute deviation, in seconds.
    deviation: f64,
    /// Mean, in seconds.
    mean: f64,
}

impl ServiceEstimate {
    /// Records the time from the start to the end of one request.
    pub fn record(&mut self, service_time: Duration) {
        let sample = service_time.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = sample;
            return;
        }
        let difference = sample - self.mean;
        self.mean += SAMPLE_WEIGHT * difference;
        self.deviation += SAMPLE_WEIGHT * (difference.abs() - self.deviation);
    }

    /// Returns the mean service time.
    #[must_use]
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns a service time that most requests do not exceed.
    #[must_use]
    pub fn conservative_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean + DEVIATIONS * self.deviation)
    }

    /// Returns the expected wait behind `ahead` requests when `slots` run at the same time.
    #[must_use]
    pub fn expected_wait(&self, ahead: f64, slots: u32) -> Duration {
        Duration::from_secs_f64(self.mean * ahead / f64::from(slots.max(1)))
    }
}
