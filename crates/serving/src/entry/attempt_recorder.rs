//! Records what failed attempts show about their targets.

use std::time::Duration;

use cv_dispatch::QuarantineSubject;
use cv_dispatch::TargetChoice;
use cv_dispatch::TargetRow;
use cv_policy::MonotonicTime;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;

use crate::FleetView;

/// Time for which requests bypass a sidecar that cannot be reached.
const SIDECAR_BYPASS_TIME: Duration = Duration::from_secs(1);

/// Time for which a target that cannot be reached is ejected.
const TARGET_EJECTION_TIME: Duration = Duration::from_millis(700);

/// Records the failed attempts of one request in the view and the log.
pub(crate) struct AttemptRecorder<'a> {
    /// The request's id.
    pub request: &'a str,
    /// The shared parts of the request's prompt, then the request.
    pub subjects: &'a [QuarantineSubject],
    /// The entry's view.
    pub view: &'a FleetView,
}

impl AttemptRecorder<'_> {
    /// Records that a target has no free slot for the request.
    pub fn record_refusal(&self, choice: &TargetChoice) {
        if choice.through_sidecar {
            self.update_row(choice, TargetRow::record_full);
        }
    }

    /// Records a response without a sidecar, whole or a failure of the target.
    pub fn record_response(&self, choice: &TargetChoice, is_failure: bool) {
        self.update_row(choice, |row, now| row.record_response(now, is_failure));
    }

    /// Records the duration of a run without a sidecar.
    pub fn record_run(&self, choice: &TargetChoice, duration: Duration) {
        self.update_row(choice, |row, _| row.own_pace_mut().record_run(duration));
    }

    /// Records how long work takes at a target without a sidecar, in percent of the usual time.
    pub fn record_slowness(&self, choice: &TargetChoice, percent: u32) {
        self.update_row(choice, |row, now| row.own_pace_mut().record_slowness(now, percent));
    }

    /// Records an attempt that may have run but got no complete response.
    pub fn record_failure(&self, choice: &TargetChoice, detail: &str) {
        self.update_row(choice, TargetRow::record_failure);
        self.log(choice, detail);
    }

    /// Records that a target or its sidecar cannot be reached.
    pub fn record_unreachable(&self, choice: &TargetChoice) {
        self.update_row(choice, |row, now| {
            if choice.through_sidecar {
                row.bypass_sidecar(now, SIDECAR_BYPASS_TIME);
            } else {
                row.eject(now, TARGET_EJECTION_TIME);
            }
        });
        self.log(choice, "unreachable");
    }

    /// Changes a target's row in the view.
    fn update_row(
        &self,
        choice: &TargetChoice,
        change: impl FnOnce(&mut TargetRow, MonotonicTime),
    ) {
        let now = self.view.clock.now();
        self.view.with_targets(|targets| {
            if let Some(row) = targets.get_mut(&choice.id) {
                change(row, now);
            }
        });
    }

    /// Logs a failed attempt.
    fn log(&self, choice: &TargetChoice, detail: &str) {
        let (priority, kind) = (LinePriority::Essential, EventKind::AttemptFailed);
        self.view.log.record(priority, kind, self.request, || {
            let through_sidecar = choice.through_sidecar;
            let subjects = QuarantineSubject::join(self.subjects);
            format!(
                "target={} through_sidecar={through_sidecar} subjects={subjects} {detail}",
                choice.id
            )
        });
    }
}
