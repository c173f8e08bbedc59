//! The order in which jobs receive free slots.

use std::cmp::Reverse;
use std::time::Duration;

use super::JobPlan;
use crate::MonotonicTime;
use crate::admission::ShareTable;

/// Slack below which a job precedes all jobs with more slack.
const URGENT_SLACK: Duration = Duration::from_mins(5);

/// Slack at or below which a job is reported as at risk of missing its due time.
const RISK_SLACK: Duration = Duration::from_secs(0);

/// The remaining work of a job, on which its place in the order depends.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobBacklog {
    pub plan: JobPlan,
    /// Upper bound of the number of items in chunks that are not committed.
    pub remaining_items: u32,
}

impl JobBacklog {
    /// Returns the time by which the remaining work could be delayed; `None` if it is late already.
    pub fn slack(&self, now: MonotonicTime, seconds_per_item: f64) -> Option<Duration> {
        let work = Duration::try_from_secs_f64(f64::from(self.remaining_items) * seconds_per_item);
        now.until(self.plan.due).checked_sub(work.unwrap_or(Duration::MAX))
    }

    /// Returns whether the job will probably miss its due time.
    pub fn is_at_risk(&self, now: MonotonicTime, seconds_per_item: f64) -> bool {
        self.slack(now, seconds_per_item).is_none_or(|slack| slack <= RISK_SLACK)
    }
}

/// Sorts jobs by the order in which they receive slots.
///
/// Jobs with little slack come first, sorted by slack. The others are sorted by the fair share of
/// their organisation, within an organisation by priority and then by slack.
pub(super) fn sort_jobs<T>(
    now: MonotonicTime,
    seconds_per_item: f64,
    shares: &ShareTable,
    jobs: &mut [(JobBacklog, T)],
) {
    jobs.sort_by(|(left, _), (right, _)| {
        let key = |backlog: &JobBacklog| {
            let slack = backlog.slack(now, seconds_per_item).unwrap_or(Duration::ZERO);
            let urgent = slack < URGENT_SLACK;
            let start = if urgent { 0.0 } else { shares.start_time(backlog.plan.organisation) };
            let priority = if urgent { 0 } else { backlog.plan.priority };
            (!urgent, start, Reverse(priority), slack)
        };
        key(left).partial_cmp(&key(right)).unwrap_or(std::cmp::Ordering::Equal)
    });
}
