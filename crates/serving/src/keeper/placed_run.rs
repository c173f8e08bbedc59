//! A run that can be withdrawn from its target.

use std::rc::Rc;

use cv_dispatch::RunId;
use tokio::sync::Notify;

use crate::keeper::tracked_job::TrackedJob;

/// A run in progress at a target.
#[derive(Clone, Debug)]
pub(crate) struct PlacedRun {
    /// Id of the run; later runs have larger ids.
    pub id: RunId,
    /// The job of the run's item.
    pub job: Rc<TrackedJob>,
    /// The target's service.
    pub service: String,
    /// Notified when the run should be withdrawn.
    pub withdrawn: Rc<Notify>,
}
