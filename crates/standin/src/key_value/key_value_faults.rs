//! What can be made to go wrong with the key-value service.

use std::time::Duration;
use std::time::Instant;

use bon::Builder;

/// Faults and limits of the service.
#[derive(Builder, Clone, Debug)]
pub struct KeyValueFaults {
    /// Delay of every answer.
    #[builder(default = Duration::from_millis(2))]
    pub delay: Duration,
    /// Whether the service ends every connection without an answer.
    #[builder(default)]
    pub down: bool,
    /// Number of coming writes that take effect while their answers are lost.
    #[builder(default)]
    pub lost_write_responses: u32,
    /// Reads a second; a waiting watch counts as one.
    #[builder(default = 2_000)]
    pub reads_per_second: u32,
    /// Writes a second.
    #[builder(default = 400)]
    pub writes_per_second: u32,
}

impl Default for KeyValueFaults {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Counts calls against a rate.
#[derive(Debug)]
pub(super) struct CallMeter {
    credit: f64,
    since: Instant,
}

impl CallMeter {
    /// Creates a meter with a second's credit.
    pub fn new(rate: u32) -> Self {
        Self { credit: f64::from(rate), since: Instant::now() }
    }

    /// Counts a call; tells whether it is within the rate.
    pub fn take(&mut self, rate: u32) -> bool {
        let earned = self.since.elapsed().as_secs_f64() * f64::from(rate);
        self.since = Instant::now();
        self.credit = (self.credit + earned).min(f64::from(rate));
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
