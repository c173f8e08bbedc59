//! Which job gets the next slots.

use std::cmp::Reverse;
use std::time::Duration;

use super::JobPlan;
use crate::MonotonicTime;
use crate::admission::ShareTable;

/// Slack below which a job goes before all that have more.
const URGENT_SLACK: Duration = Duration::from_mins(5);

/// Slack below which a job is reported as likely to be late.
const RISK_SLACK: Duration = Duration::from_secs(0);

/// What a job's place in the order depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobBacklog {
    pub plan: JobPlan,
    pub remaining: u32,
}

impl JobBacklog {
    /// Returns the time by which the work that is left could be put off; `None` if it is late.
    pub fn slack(&self, now: MonotonicTime, seconds_per_item: f64) -> Option<Duration> {
        let work = Duration::try_from_secs_f64(f64::from(self.remaining) * seconds_per_item);
        now.until(self.plan.due).checked_sub(work.unwrap_or(Duration::MAX))
    }

    /// Tells whether the job will probably miss its due time.
    pub fn is_at_risk(&self, now: MonotonicTime, seconds_per_item: f64) -> bool {
        self.slack(now, seconds_per_item).is_none_or(|slack| slack <= RISK_SLACK)
    }
}

/// Sorts jobs, the next one first.
///
/// Jobs that are close to their due time go first, the closest one before the others. The rest
/// take turns by organisation and weight, within an organisation by priority and then by slack.
pub(super) fn sort_jobs<T>(
    now: MonotonicTime,
    seconds_per_item: f64,
    shares: &ShareTable,
    jobs: &mut [(JobBacklog, T)],
) {
    jobs.sort_by(|(left, _), (right, _)| {
        let key = |standing: &JobBacklog| {
            let slack = standing.slack(now, seconds_per_item).unwrap_or(Duration::ZERO);
            let urgent = slack < URGENT_SLACK;
            let turn = if urgent { 0.0 } else { shares.start_time(standing.plan.organisation) };
            let priority = if urgent { 0 } else { standing.plan.priority };
            (!urgent, turn, Reverse(priority), slack)
        };
        key(left).partial_cmp(&key(right)).unwrap_or(std::cmp::Ordering::Equal)
    });
}
