//! What an entry learns of targets from attempts that gave no answer.

use std::time::Duration;

use cv_dispatch::TargetChoice;
use cv_dispatch::TargetRow;
use cv_policy::MonotonicTime;
use cv_timeline::EventKind;
use cv_timeline::LineWeight;

use crate::FleetView;

/// Time for which a sidecar that cannot be reached is passed by.
const SIDECAR_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a target that cannot be reached is set aside.
const TARGET_PAUSE: Duration = Duration::from_millis(700);

/// Takes what the attempts of one request tell into the view and the log.
pub(crate) struct AttemptRecorder<'a> {
    /// The request's id.
    pub request: &'a str,
    /// What the entry knows.
    pub view: &'a FleetView,
}

impl AttemptRecorder<'_> {
    /// Notes a target that has no slot for the request.
    pub fn record_refusal(&self, choice: &TargetChoice) {
        if choice.through_sidecar {
            self.change_row(choice, TargetRow::note_full);
        }
    }

    /// Notes an attempt that may have run without a whole answer.
    pub fn record_failure(&self, choice: &TargetChoice, detail: &str) {
        self.change_row(choice, TargetRow::record_failure);
        self.log(choice, detail);
    }

    /// Notes a target or a sidecar that cannot be reached.
    pub fn record_unreachable(&self, choice: &TargetChoice) {
        self.change_row(choice, |row, now| {
            if choice.through_sidecar {
                row.bypass_sidecar(now, SIDECAR_PAUSE);
            } else {
                row.pause(now, TARGET_PAUSE);
            }
        });
        self.log(choice, "unreachable");
    }

    /// Changes what is known of a target.
    fn change_row(
        &self,
        choice: &TargetChoice,
        change: impl FnOnce(&mut TargetRow, MonotonicTime),
    ) {
        let now = self.view.clock.now();
        self.view.with_targets(|roster| {
            if let Some(row) = roster.get_mut(&choice.id) {
                change(row, now);
            }
        });
    }

    /// Writes a line about an attempt.
    fn log(&self, choice: &TargetChoice, detail: &str) {
        let (weight, kind) = (LineWeight::Essential, EventKind::AttemptFailed);
        self.view.log.record(weight, kind, self.request, || {
            format!("target={} through_sidecar={} {detail}", choice.id, choice.through_sidecar)
        });
    }
}
