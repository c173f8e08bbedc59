//! The clocks of a process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cv_policy::MonotonicTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Reads the system's clocks as the times on which policies decide.
///
/// Monotonic time advances while the machine is suspended, since leases expire and received state
/// becomes stale meanwhile.
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

/// Returns the processor time that all threads of this process have used.
#[must_use]
pub fn processor_time() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

/// Returns the time since boot, including time in suspension.
fn boot_time() -> Duration {
    read_clock(ClockId::Boottime)
}

/// Reads a clock that starts at zero.
fn read_clock(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    let (seconds, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}
