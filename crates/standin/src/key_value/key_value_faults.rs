//! Faults that can be injected into the key-value service, and its rate limits.

use std::time::Duration;
use std::time::Instant;

use bon::Builder;

/// Injected faults and rate limits of the service.
#[derive(Builder, Clone, Debug)]
pub struct KeyValueFaults {
    /// Delay of every response.
    #[builder(default = Duration::from_millis(2))]
    pub delay: Duration,
    /// Whether the service closes every connection without a response.
    #[builder(default)]
    pub down: bool,
    /// Number of coming writes that take effect, but whose responses are lost.
    #[builder(default)]
    pub lost_write_responses: u32,
    /// Maximum number of reads a second; a watch counts as one read.
    #[builder(default = 2_000)]
    pub reads_per_second: u32,
    /// Maximum number of writes a second.
    #[builder(default = 400)]
    pub writes_per_second: u32,
}

impl Default for KeyValueFaults {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Limits the rate of calls with a token bucket.
#[derive(Debug)]
pub(super) struct RateLimiter {
    available_calls: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Creates a limiter whose bucket holds the calls of one second.
    pub fn new(rate: u32) -> Self {
        Self { available_calls: f64::from(rate), refilled_at: Instant::now() }
    }

    /// Takes a call from the bucket; returns whether the call is within the rate.
    pub fn try_acquire(&mut self, rate: u32) -> bool {
        let refill = self.refilled_at.elapsed().as_secs_f64() * f64::from(rate);
        self.refilled_at = Instant::now();
        self.available_calls = (self.available_calls + refill).min(f64::from(rate));
        if self.available_calls < 1.0 {
            return false;
        }
        self.available_calls -= 1.0;
        true
    }
}
