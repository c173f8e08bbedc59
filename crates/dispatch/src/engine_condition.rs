//! What a sidecar reports of its engine beside the load.

use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::FailureRecord;
use crate::PaceRecord;

/// The condition of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineCondition {
    /// Share of failed responses, in percent.
    pub failure_percent: u32,
    /// Responses on which the share is based; older ones count less.
    pub recent_responses: u32,
    /// Mean run time of online requests in milliseconds, 0 if it is not known yet.
    pub run_ms: u32,
    /// How long work takes at the moment, in percent of the usual time.
    pub slowness_percent: u32,
}

impl Default for EngineCondition {
    fn default() -> Self {
        Self { failure_percent: 0, recent_responses: 0, run_ms: 0, slowness_percent: 100 }
    }
}

impl EngineCondition {
    /// Increase of the failure share that is reported at once, in percent.
    const URGENT_INCREASE: u32 = 5;

    /// Change of the slowness that is reported at once, in percent of the usual time.
    const URGENT_SLOWNESS: u32 = 50;

    /// Shortest time between two reports because of the slowness. It may change with each response,
    /// and entries have little processor time for reports.
    const MIN_SLOWNESS_GAP: Duration = Duration::from_millis(300);

    /// Returns the condition of an engine by its responses, as a sidecar reports it.
    #[must_use]
    pub fn new(now: MonotonicTime, failures: &FailureRecord, pace: &PaceRecord) -> Self {
        Self {
            failure_percent: (failures.failure_share(now) * 100.0).round() as u32,
            recent_responses: failures.recent_responses(now).round() as u32,
            run_ms: pace.mean_run_ms().unwrap_or(0.0).round() as u32,
            slowness_percent: pace.slowness_percent(now),
        }
    }

    /// Returns whether the condition has worsened so much since `reported` that other processes have
    /// to know at once.
    #[must_use]
    pub fn is_urgent(self, reported: Self) -> bool {
        self.failure_percent >= reported.failure_percent + Self::URGENT_INCREASE
    }

    /// Returns whether the slowness has changed so much since `reported` that other processes have to
    /// know at once, if they were last told so `elapsed` ago.
    #[must_use]
    pub fn is_slowness_urgent(self, reported: Self, elapsed: Duration) -> bool {
        let change = self.slowness_percent.abs_diff(reported.slowness_percent);
        change >= Self::URGENT_SLOWNESS && elapsed >= Self::MIN_SLOWNESS_GAP
    }
}
