//! Estimates of how long batch items run.

use std::time::Duration;

/// Weight of a new sample in a running mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Longest interval between two outputs that counts as run time; sidecars forward output four times
/// a second.
const MAX_OUTPUT_INTERVAL: Duration = Duration::from_millis(350);

/// Estimates the run time of batch items from earlier runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunEstimate {
    /// Mean seconds between two events; `None` until events have been recorded.
    seconds_per_event: Option<f64>,
    /// Mean events for each token of an item's size; `None` until an item has completed.
    events_per_token: Option<f64>,
}

impl RunEstimate {
    /// Records events that arrived `interval` after the previous ones.
    ///
    /// Longer intervals are ignored, because the run had no slot for part of them.
    pub fn record_events(&mut self, events: u32, interval: Duration) {
        if events > 0 && interval <= MAX_OUTPUT_INTERVAL {
            update_mean(&mut self.seconds_per_event, interval.as_secs_f64() / f64::from(events));
        }
    }

    /// Records the number of events in the complete output of an item of `tokens` tokens.
    pub fn record_completion(&mut self, tokens: u64, events: u64) {
        if tokens > 0 {
            update_mean(&mut self.events_per_token, events as f64 / tokens as f64);
        }
    }

    /// Returns the time that an item still has to run after `done` events; zero until an item has
    /// completed.
    #[must_use]
    pub fn remaining(&self, tokens: u64, done: u64) -> Duration {
        let (Some(seconds), Some(events)) = (self.seconds_per_event, self.events_per_token) else {
            return Duration::ZERO;
        };
        // An output longer than expected counts as one event short of its end.
        Duration::from_secs_f64((tokens as f64 * events - done as f64).max(1.0) * seconds)
    }
}

/// Adds a sample to an exponentially weighted mean, which the first sample initialises.
fn update_mean(mean: &mut Option<f64>, sample: f64) {
    let before = mean.unwrap_or(sample);
    *mean = Some(before + SAMPLE_WEIGHT * (sample - before));
}
