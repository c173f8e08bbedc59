//! How long batch items run.

use std::time::Duration;

/// Weight of a new observation.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Longest pause between two outputs of a run that counts as running; sidecars pass output on four
/// times a second.
const RUNNING_PAUSE: Duration = Duration::from_millis(350);

/// Estimates the running time of items from those that ran before.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunEstimate {
    /// Seconds between two events, once seen.
    event_seconds: Option<f64>,
    /// Events for each token that an item names, once an item has ended.
    events_per_token: Option<f64>,
}

impl RunEstimate {
    /// Takes events that came in the given time after those before.
    ///
    /// Longer pauses are times in which the run did not have a slot.
    pub fn record_events(&mut self, events: u32, time: Duration) {
        if events > 0 && time <= RUNNING_PAUSE {
            mix(&mut self.event_seconds, time.as_secs_f64() / f64::from(events));
        }
    }

    /// Takes the number of events of a whole output.
    pub fn record_completion(&mut self, tokens: u64, events: u64) {
        if tokens > 0 {
            mix(&mut self.events_per_token, events as f64 / tokens as f64);
        }
    }

    /// Returns the time that an item still has to run after so many events; nothing before any item
    /// has ended.
    #[must_use]
    pub fn remaining(&self, tokens: u64, done: u64) -> Duration {
        let (Some(seconds), Some(events)) = (self.event_seconds, self.events_per_token) else {
            return Duration::ZERO;
        };
        // An output that is longer than expected goes on for a little at least.
        Duration::from_secs_f64((tokens as f64 * events - done as f64).max(1.0) * seconds)
    }
}

/// Takes an observation into a running mean, which the first one begins.
fn mix(mean: &mut Option<f64>, sample: f64) {
    let before = mean.unwrap_or(sample);
    *mean = Some(before + SAMPLE_WEIGHT * (sample - before));
}
