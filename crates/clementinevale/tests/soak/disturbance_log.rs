//! Which processes were disturbed when, since some guarantees hold only for undisturbed ones.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Time after a disturbance in which a process still counts as disturbed (`contactMs`).
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A disturbance of one process; without an end it goes on.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    node: usize,
    start: Instant,
    end: Option<Instant>,
}

/// The disturbances of a run; shared between threads.
#[derive(Debug, Default)]
pub struct DisturbanceLog {
    rows: Mutex<Vec<Disturbance>>,
}

impl DisturbanceLog {
    /// Records that a process is disturbed from now on.
    pub fn begin(&self, node: usize) {
        self.lock().push(Disturbance { node, start: Instant::now(), end: None });
    }

    /// Records that all disturbances of a process have ended.
    pub fn end(&self, node: usize) {
        let mut rows = self.lock();
        for row in rows.iter_mut().filter(|row| row.node == node && row.end.is_none()) {
            row.end = Some(Instant::now());
        }
    }

    /// Returns whether a process was undisturbed throughout a time and [`SETTLE_TIME`] before it.
    pub fn is_calm(&self, node: usize, from: Instant, to: Instant) -> bool {
        self.lock().iter().filter(|row| row.node == node).all(|row| {
            let settled = row.end.map(|end| end + SETTLE_TIME);
            row.start > to || settled.is_some_and(|settled| settled < from)
        })
    }

    /// Locks the rows; ignores poisoning, as each change to them is complete in itself.
    fn lock(&self) -> MutexGuard<'_, Vec<Disturbance>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
