//! Remembers how many online requests ran lately.

use std::time::Duration;

use crate::MonotonicTime;

/// Number of buckets that the window keeps.
const BUCKETS: usize = 10;

/// Length of one bucket.
const BUCKET: Duration = Duration::from_millis(100);

/// The peak of online concurrency over the last second, in buckets.
///
/// Batch leaves free what online used lately, so that the next request of a burst finds a slot
/// without a preemption, and slack returns within a second of the burst's end.
#[derive(Clone, Debug, Default)]
pub struct PeakWindow {
    bucket: u64,
    peaks: [u32; BUCKETS],
}

impl PeakWindow {
    /// Notes the number of online requests that run or wait.
    pub fn record(&mut self, now: MonotonicTime, online: u32) {
        self.advance(now);
        let slot = (self.bucket % BUCKETS as u64) as usize;
        self.peaks[slot] = self.peaks[slot].max(online);
    }

    /// Returns the peak over the window.
    pub fn peak(&mut self, now: MonotonicTime) -> u32 {
        self.advance(now);
        self.peaks.iter().copied().max().unwrap_or(0)
    }

    /// Clears the buckets that have passed out of the window.
    fn advance(&mut self, now: MonotonicTime) {
        let current = now.as_micros() / BUCKET.as_micros() as u64;
        let passed = current.saturating_sub(self.bucket).min(BUCKETS as u64);
        for step in 0..passed {
            self.peaks[((current - step) % BUCKETS as u64) as usize] = 0;
        }
        self.bucket = current;
    }
}
