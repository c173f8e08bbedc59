//! Jobs whose owner has not confirmed that it owns them.

use std::time::Duration;

use cv_policy::MonotonicTime;
use serde::Deserialize;
use serde::Serialize;

/// Time for which a job may be without an owner that confirms it before the keeper set is read anew;
/// longer than a keeper takes to claim its jobs after a change of the set.
const MAX_UNCLAIMED_TIME: Duration = Duration::from_secs(2);

/// A keeper's response to whether it owns a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// It owns the job.
    Owned,
    /// The job is closed, or all its results are listed.
    Over,
    /// It does not own the job, or did not know it.
    Unclaimed,
}

/// Tracks since when jobs have been without an owner that confirms them.
///
/// Each process computes a job's owner from its own keeper set. While the sets differ, two keepers
/// may each leave a job to the other.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    /// Jobs that are over, sorted.
    over: Vec<String>,
    /// Unclaimed jobs and since when, sorted by job.
    unclaimed: Vec<(String, MonotonicTime)>,
}

impl ClaimTable {
    /// Returns whether a job is known to be over, so that it needs no owner.
    #[must_use]
    pub fn is_over(&self, job: &str) -> bool {
        self.over.binary_search_by(|other| other.as_str().cmp(job)).is_ok()
    }

    /// Records an owner's reply about a job, `None` if it did not respond.
    ///
    /// Returns whether the keeper set is to be read anew, which is due at intervals for as long as
    /// nobody claims the job.
    pub fn record(&mut self, job: &str, reply: Option<ClaimReply>, now: MonotonicTime) -> bool {
        let position = self.unclaimed.binary_search_by(|(other, _)| other.as_str().cmp(job));
        match (reply, position) {
            (Some(ClaimReply::Unclaimed) | None, Ok(position)) => {
                let since = &mut self.unclaimed[position].1;
                let is_due = now.since(*since) >= MAX_UNCLAIMED_TIME;
                if is_due {
                    *since = now;
                }
                return is_due;
            }
            (Some(ClaimReply::Unclaimed) | None, Err(position)) => {
                self.unclaimed.insert(position, (job.to_owned(), now));
            }
            (Some(ClaimReply::Owned | ClaimReply::Over), Ok(position)) => {
                self.unclaimed.remove(position);
            }
            (Some(ClaimReply::Owned | ClaimReply::Over), Err(_)) => {}
        }
        if reply == Some(ClaimReply::Over)
            && let Err(position) = self.over.binary_search_by(|other| other.as_str().cmp(job))
        {
            self.over.insert(position, job.to_owned());
        }
        false
    }

    /// Forgets the jobs that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.over.retain(|job| is_known(job));
        self.unclaimed.retain(|(job, _)| is_known(job));
    }
}
