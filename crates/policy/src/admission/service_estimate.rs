//! Predicts how long requests wait and run.

use std::time::Duration;

/// Weight of a new sample in the running means.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Mean deviations above the mean within which nearly all requests end.
const CAUTION: f64 = 2.0;

/// Running means of the times that online requests take at the target.
#[derive(Clone, Debug, Default)]
pub struct ServiceEstimate {
    deviation: f64,
    mean: f64,
}

impl ServiceEstimate {
    /// Takes the time from hand-over to the end of one request.
    pub fn record(&mut self, service: Duration) {
        let sample = service.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = sample;
            return;
        }
        let difference = sample - self.mean;
        self.mean += SAMPLE_WEIGHT * difference;
        self.deviation += SAMPLE_WEIGHT * (difference.abs() - self.deviation);
    }

    /// Returns the time that a request takes once started.
    #[must_use]
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns a time within which most requests end once started.
    #[must_use]
    pub fn conservative_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean + CAUTION * self.deviation)
    }

    /// Returns the wait behind `ahead` requests when `slots` run at once.
    #[must_use]
    pub fn expected_wait(&self, ahead: f64, slots: u32) -> Duration {
        Duration::from_secs_f64(self.mean * ahead / f64::from(slots.max(1)))
    }
}
