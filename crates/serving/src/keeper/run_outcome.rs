//! How one run of a batch item ended.

use cv_timeline::EventKind;
use cv_timeline::LinePriority;

/// How a run ended.
#[derive(Debug)]
pub(crate) enum RunOutcome {
    /// The target sent the whole output.
    Completed,
    /// The target reports that the item can never succeed (status 422).
    Impossible,
    /// The target failed on the item (status 500).
    Failed,
    /// A part of the item's prompt ends engines; the target did not run the item.
    Quarantined,
    /// The target did not run the item.
    Refused,
    /// The run broke off, for the reason given, before the output was complete.
    Interrupted(String),
    /// The run was withdrawn, because another target has room.
    Withdrawn,
}

impl RunOutcome {
    /// Returns whether the target has not run the item.
    pub fn has_not_run(&self) -> bool {
        matches!(self, Self::Quarantined | Self::Refused | Self::Withdrawn)
    }

    /// Returns the kind, priority and detail of the outcome's log line.
    pub fn log_line(&self) -> (EventKind, LinePriority, String) {
        let (kind, detail) = match self {
            RunOutcome::Completed => (EventKind::ItemEnded, "whole".to_owned()),
            RunOutcome::Impossible | RunOutcome::Failed => {
                (EventKind::ItemEnded, format!("{self:?}"))
            }
            RunOutcome::Quarantined => (EventKind::ItemReleased, "quarantined".to_owned()),
            RunOutcome::Refused => (EventKind::ItemReleased, "refused".to_owned()),
            RunOutcome::Withdrawn => (EventKind::ItemReleased, "withdrawn".to_owned()),
            RunOutcome::Interrupted(detail) => (EventKind::ItemReleased, detail.clone()),
        };
        let priority = match self {
            RunOutcome::Completed | RunOutcome::Quarantined | RunOutcome::Withdrawn => {
                LinePriority::Routine
            }
            _ => LinePriority::Essential,
        };
        (kind, priority, detail)
    }
}
