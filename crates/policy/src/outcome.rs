//! Outcomes of requests, which claim no more than was observed.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ExecutionState;

/// Reason for which a request was refused before it was sent to a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The predicted wait and service time exceed the time left until the deadline.
    DeadlineUnreachable,
    /// The deadline passed, or can no longer be met, while the request waited.
    DeadlinePassed,
    /// The queue is full and the organisation exceeds its share of it.
    OverShare,
    /// The target or its sidecar is draining.
    Leaving,
    /// A request with the same key was received before.
    Duplicate,
    /// The target has no slack for batch requests.
    NoSlack,
    /// The target is not ready.
    TargetDown,
    /// The service has no target that can take the request.
    NoTarget,
    /// The retry budget is used up.
    RetryBudgetSpent,
    /// The caller disconnected.
    CallerGone,
    /// The lease of the job's owner may have expired when the request arrived.
    LeaseOver,
}

impl RefusalReason {
    /// Returns the reason's name in responses and headers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::DeadlinePassed => "deadline_passed",
            Self::OverShare => "over_share",
            Self::Leaving => "leaving",
            Self::Duplicate => "duplicate",
            Self::NoSlack => "no_slack",
            Self::TargetDown => "target_down",
            Self::NoTarget => "no_target",
            Self::RetryBudgetSpent => "retry_budget_spent",
            Self::CallerGone => "caller_gone",
            Self::LeaseOver => "lease_over",
        }
    }

    /// Parses the name of a reason.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|reason| reason.as_str() == text)
    }

    /// Returns whether another target may accept the request now.
    #[must_use]
    pub fn is_local_to_target(self) -> bool {
        match self {
            Self::DeadlineUnreachable
            | Self::OverShare
            | Self::Leaving
            | Self::NoSlack
            | Self::TargetDown => true,
            Self::DeadlinePassed
            | Self::Duplicate
            | Self::NoTarget
            | Self::RetryBudgetSpent
            | Self::CallerGone
            | Self::LeaseOver => false,
        }
    }

    /// All reasons.
    const ALL: [Self; 11] = [
        Self::DeadlineUnreachable,
        Self::DeadlinePassed,
        Self::OverShare,
        Self::Leaving,
        Self::Duplicate,
        Self::NoSlack,
        Self::TargetDown,
        Self::NoTarget,
        Self::RetryBudgetSpent,
        Self::CallerGone,
        Self::LeaseOver,
    ];
}

/// Proof that a request did not run at a target.
///
/// The constructors are the only way to create one; each names the observation that proves it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotRunProof {
    reason: RefusalReason,
    retry_after: Option<Duration>,
}

impl NotRunProof {
    /// No byte of the request was sent to a sidecar.
    #[must_use]
    pub fn never_sent(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// A sidecar refused the request before sending it to its target.
    #[must_use]
    pub fn refused_by_sidecar(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self { reason, retry_after }
    }

    /// A sidecar's execution log shows that the request did not run and cannot run any more.
    #[must_use]
    pub fn from_execution_state(state: ExecutionState) -> Option<Self> {
        match state {
            ExecutionState::Voided | ExecutionState::Refused => {
                Some(Self { reason: RefusalReason::TargetDown, retry_after: None })
            }
            ExecutionState::Queued
            | ExecutionState::HandedOver
            | ExecutionState::Completed
            | ExecutionState::Failed => None,
        }
    }

    /// Returns the reason for which the request did not run.
    #[must_use]
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Returns the time after which a retry may succeed, if known.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// Known outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// It ran and the whole response was received.
    Completed,
    /// It provably did not run.
    NotRun(NotRunProof),
    /// It ran and failed.
    Failed,
    /// It was sent, and may or may not have run.
    Unknown,
}

impl RunOutcome {
    /// Returns the value of the `run` field in error bodies.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun(_) => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }

    /// Returns whether a request with this outcome may be retried.
    ///
    /// `repeatable` says whether the request may run more than once.
    #[must_use]
    pub fn permits_retry(&self, repeatable: bool) -> bool {
        match self {
            Self::NotRun(_) => true,
            Self::Failed | Self::Unknown => repeatable,
            Self::Completed => false,
        }
    }
}
