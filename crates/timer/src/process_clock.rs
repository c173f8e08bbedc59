//! The clocks of a process.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cv_policy::MonotonicTime;

/// Translates the machine's clocks into the times that decisions use.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Creates a clock whose origin is now.
    #[must_use]
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the monotonic time since the origin.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn wall_millis(&self) -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        elapsed.as_millis() as u64
    }
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self::new()
    }
}
