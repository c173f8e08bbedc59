//! Jobs whose owner has not confirmed that it owns them.

use std::time::Duration;

use cv_policy::MonotonicTime;
use serde::Deserialize;
use serde::Serialize;

/// Time for which a job may be unclaimed before its owner's registration is checked, and between two
/// checks; longer than a registered keeper takes to claim its jobs after a change of the keeper set.
const CHECK_DELAY: Duration = Duration::from_secs(2);

/// A keeper's reply to whether it owns a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnerReply {
    /// It owns the job.
    Owned,
    /// The job is closed, all its results are listed, or it does not exist any more.
    Over,
    /// It does not own the job, or did not know it.
    Unclaimed,
}

/// An unclaimed job.
#[derive(Clone, Debug)]
struct UnclaimedRow {
    checked_at: MonotonicTime,
    job: String,
    since: MonotonicTime,
}

/// Tracks since when jobs have been without an owner that confirms them.
///
/// Each process computes a job's owner from its own keeper set. While the sets differ, two keepers
/// may each leave a job to the other.
#[derive(Clone, Debug, Default)]
pub struct UnclaimedJobs {
    /// Jobs that are over, sorted.
    over: Vec<String>,
    /// Sorted by job.
    rows: Vec<UnclaimedRow>,
}

impl UnclaimedJobs {
    /// Returns whether a job is known to be over, so that it needs no owner.
    #[must_use]
    pub fn is_over(&self, job: &str) -> bool {
        self.over.binary_search_by(|other| other.as_str().cmp(job)).is_ok()
    }

    /// Records an owner's reply about a job, `None` if it did not respond.
    ///
    /// Returns how long the job has been unclaimed whenever the registration of its owner is to be
    /// checked.
    pub fn record(
        &mut self,
        job: &str,
        reply: Option<OwnerReply>,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let position = self.rows.binary_search_by(|row| row.job.as_str().cmp(job));
        if matches!(reply, Some(OwnerReply::Owned | OwnerReply::Over)) {
            if let Ok(position) = position {
                self.rows.remove(position);
            }
            if reply == Some(OwnerReply::Over)
                && let Err(position) = self.over.binary_search_by(|other| other.as_str().cmp(job))
            {
                self.over.insert(position, job.to_owned());
            }
            return None;
        }
        match position {
            Ok(position) => {
                let row = &mut self.rows[position];
                let is_due = now.since(row.checked_at) >= CHECK_DELAY;
                if is_due {
                    row.checked_at = now;
                }
                is_due.then(|| now.since(row.since))
            }
            Err(position) => {
                let row = UnclaimedRow { checked_at: now, job: job.to_owned(), since: now };
                self.rows.insert(position, row);
                None
            }
        }
    }

    /// Forgets all jobs of which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.over.retain(|job| is_known(job));
        self.rows.retain(|row| is_known(&row.job));
    }
}
