//! Jobs whose items make no progress, and since when.

use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::WaitCause;

/// Time without progress after which a job counts as stalled; items that run produce events several
/// times a second.
const STALL_TIME: Duration = Duration::from_secs(3);

/// A change of a job between progress and stall.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StallChange {
    /// The job has made no progress for the time given, because of the cause.
    Stalled(WaitCause, Duration),
    /// The job makes progress again after the time given.
    Resumed(Duration),
}

/// The last progress of one job.
#[derive(Clone, Debug)]
struct StallRow {
    job: String,
    /// Amount of progress that was last seen.
    progress: u64,
    progressed_at: MonotonicTime,
    /// The cause that has been reported since the last progress.
    reported: Option<WaitCause>,
    seen_at: MonotonicTime,
}

/// Tracks for each job when it last made progress.
#[derive(Clone, Debug, Default)]
pub struct StallTable {
    /// Sorted by job.
    rows: Vec<StallRow>,
}

impl StallTable {
    /// Records how much progress a job has made by now, and what its items wait for.
    ///
    /// Returns a change once: when the job has stalled, when the cause of a stall changes, and when
    /// the job goes on.
    pub fn observe(
        &mut self,
        job: &str,
        now: MonotonicTime,
        progress: u64,
        cause: WaitCause,
    ) -> Option<StallChange> {
        let position = match self.rows.binary_search_by(|row| row.job.as_str().cmp(job)) {
            Ok(position) => position,
            Err(position) => {
                let row = StallRow {
                    job: job.to_owned(),
                    progress,
                    progressed_at: now,
                    reported: None,
                    seen_at: now,
                };
                self.rows.insert(position, row);
                position
            }
        };
        let row = &mut self.rows[position];
        row.seen_at = now;
        let elapsed = now.since(row.progressed_at);
        if row.progress != progress {
            (row.progress, row.progressed_at) = (progress, now);
            return row.reported.take().map(|_| StallChange::Resumed(elapsed));
        }
        if elapsed < STALL_TIME || row.reported == Some(cause) {
            return None;
        }
        row.reported = Some(cause);
        Some(StallChange::Stalled(cause, elapsed))
    }

    /// Forgets the jobs that were not observed at `now`; returns the longest time without progress of
    /// the others.
    pub fn finish_review(&mut self, now: MonotonicTime) -> Duration {
        self.rows.retain(|row| row.seen_at == now);
        let times = self.rows.iter().map(|row| now.since(row.progressed_at));
        times.max().unwrap_or_default()
    }
}
