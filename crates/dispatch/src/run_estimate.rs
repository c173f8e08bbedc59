//! Estimates of how long batch items run.

use std::time::Duration;

/// Share of the earlier samples that remains when a new one is added.
const RETAINED_SHARE: f64 = 0.95;

/// Shortest interval between two outputs that counts as run time. Sidecars forward output every
/// 250 ms; a shorter interval is the end of a run, or the rest before a preemption.
const MIN_OUTPUT_INTERVAL: Duration = Duration::from_millis(200);

/// Longest interval between two outputs that counts as run time; the run had no slot for part of a
/// longer one.
const MAX_OUTPUT_INTERVAL: Duration = Duration::from_millis(350);

/// Estimates the run time of batch items from earlier runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunEstimate {
    /// Events per second of run time.
    event_rate: DecayingRatio,
    /// Events per token of an item's size.
    events_per_token: DecayingRatio,
}

/// A ratio of two sums in which later samples weigh more.
///
/// Unlike a mean of ratios, it is not distorted by samples with few events.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingRatio {
    numerator: f64,
    denominator: f64,
}

impl RunEstimate {
    /// Records events that arrived `interval` after the previous ones.
    ///
    /// At load peaks most runs are preempted after a few events, so intervals other than those
    /// between two regular outputs are ignored.
    pub fn record_events(&mut self, events: u32, interval: Duration) {
        if events > 0 && (MIN_OUTPUT_INTERVAL..=MAX_OUTPUT_INTERVAL).contains(&interval) {
            self.event_rate.add(f64::from(events), interval.as_secs_f64());
        }
    }

    /// Records the number of events in the complete output of an item of `tokens` tokens.
    pub fn record_completion(&mut self, tokens: u64, events: u64) {
        if tokens > 0 {
            self.events_per_token.add(events as f64, tokens as f64);
        }
    }

    /// Returns the time that an item still has to run after `done` events; zero until an item has
    /// completed.
    #[must_use]
    pub fn remaining(&self, tokens: u64, done: u64) -> Duration {
        let (Some(rate), Some(events)) = (self.event_rate.value(), self.events_per_token.value())
        else {
            return Duration::ZERO;
        };
        // An output longer than expected counts as one event short of its end.
        Duration::from_secs_f64((tokens as f64 * events - done as f64).max(1.0) / rate)
    }
}

impl DecayingRatio {
    /// Adds a sample.
    fn add(&mut self, numerator: f64, denominator: f64) {
        self.numerator = self.numerator * RETAINED_SHARE + numerator;
        self.denominator = self.denominator * RETAINED_SHARE + denominator;
    }

    /// Returns the ratio, or `None` without samples.
    fn value(self) -> Option<f64> {
        (self.numerator > 0.0 && self.denominator > 0.0).then(|| self.numerator / self.denominator)
    }
}
