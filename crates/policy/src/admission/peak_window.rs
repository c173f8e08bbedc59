//! The recent peak of online concurrency.

use std::time::Duration;

use crate::MonotonicTime;

/// Number of buckets in the window.
const BUCKETS: usize = 10;

/// Duration of one bucket.
const BUCKET: Duration = Duration::from_millis(100);

/// The peak of online concurrency over the last second, in buckets.
///
/// Batch requests leave free the slots that online requests used recently, so that the next request
/// of a burst gets a slot without a preemption. The slots become available to batch requests again
/// within a second after the burst.
#[derive(Clone, Debug, Default)]
pub struct PeakWindow {
    /// Number of the current bucket, counted from time zero.
    bucket: u64,
    peaks: [u32; BUCKETS],
}

impl PeakWindow {
    /// Records the number of online requests that run or wait.
    pub fn record(&mut self, now: MonotonicTime, online: u32) {
        self.advance(now);
        let index = (self.bucket % BUCKETS as u64) as usize;
        self.peaks[index] = self.peaks[index].max(online);
    }

    /// Returns the highest number recorded in the window.
    pub fn peak(&mut self, now: MonotonicTime) -> u32 {
        self.advance(now);
        self.peaks.iter().copied().max().unwrap_or(0)
    }

    /// Moves the window to `now` and clears the buckets that have left it.
    fn advance(&mut self, now: MonotonicTime) {
        let current = now.as_micros() / BUCKET.as_micros() as u64;
        let elapsed = current.saturating_sub(self.bucket).min(BUCKETS as u64);
        for step in 0..elapsed {
            self.peaks[((current - step) % BUCKETS as u64) as usize] = 0;
        }
        self.bucket = current;
    }
}
