//! Time for which a thread waits for a processor of a busy machine.

use std::time::Duration;
use std::time::Instant;

/// Measures the time that passes less the time for which some threads were ready to run without a
/// processor.
#[derive(Debug)]
pub struct RunClock {
    schedstats: Vec<String>,
    started_at: Instant,
    waited_before: Duration,
}

impl RunClock {
    /// Starts to measure for the current thread, and for the serving thread of a process if its id is
    /// given.
    #[must_use]
    pub fn start(process: Option<u32>) -> Self {
        let mut schedstats = vec!["/proc/thread-self/schedstat".to_owned()];
        schedstats.extend(process.map(|id| format!("/proc/{id}/schedstat")));
        let waited_before = run_queue_time(&schedstats);
        Self { schedstats, started_at: Instant::now(), waited_before }
    }

    /// Returns the time since the start without the waits for a processor.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        let elapsed = self.started_at.elapsed();
        let waited = run_queue_time(&self.schedstats).saturating_sub(self.waited_before);
        elapsed.saturating_sub(waited)
    }
}

/// Returns the time for which threads were ready to run without a processor; zero where the system does
/// not count it.
fn run_queue_time(schedstats: &[String]) -> Duration {
    let nanos = schedstats.iter().filter_map(|path| {
        let text = std::fs::read_to_string(path).ok()?;
        text.split_whitespace().nth(1)?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}
