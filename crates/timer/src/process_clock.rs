//! The clocks of a process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cv_policy::MonotonicTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Translates the machine's clocks into the times that decisions use.
///
/// Monotonic times go on while the machine is suspended: a lease runs out meanwhile, and what was
/// heard before is old.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Duration,
}

impl ProcessClock {
    /// Creates a clock whose origin is now.
    #[must_use]
    pub fn new() -> Self {
        Self { origin: boot_time() }
    }

    /// Returns the monotonic time since the origin.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::from_micros(boot_time().saturating_sub(self.origin).as_micros() as u64)
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

/// Returns the time since the machine was started, with the time that it was suspended.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let (seconds, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}
