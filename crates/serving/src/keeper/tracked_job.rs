//! A batch job in a keeper's memory.

use std::cell::Cell;
use std::cell::RefCell;

use cv_dispatch::JobSpec;
use cv_dispatch::JobTracker;
use cv_dispatch::ReplicaProgress;
use tokio::sync::Notify;

/// Whether a keeper has loaded a job's listed results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResultsState {
    /// Another keeper may have listed results that the tracker does not hold.
    NotLoaded,
    /// The results are being read from the store.
    Loading,
    /// The tracker holds all listed results, for as long as this keeper owns the job.
    Loaded,
}

/// A job, with the state that the tasks working on it share.
#[derive(Debug)]
pub(crate) struct TrackedJob {
    /// Progress and results of the job's items.
    pub tracker: RefCell<JobTracker>,
    /// Output that the job's next owner has acknowledged.
    pub replica_progress: RefCell<ReplicaProgress>,
    /// Notified of new results, the closing of the job and changes of ownership.
    pub changed: Notify,
    /// Whether a task is committing results to the store.
    pub is_committing: Cell<bool>,
    /// Whether this keeper owns the job and runs its items.
    pub is_owned: Cell<bool>,
    /// Whether the job's listed results are loaded.
    pub results_state: Cell<ResultsState>,
}

impl TrackedJob {
    /// Creates a job without results that this keeper does not own yet.
    pub fn new(spec: JobSpec, state: ResultsState) -> Self {
        Self {
            tracker: RefCell::new(JobTracker::new(spec)),
            changed: Notify::new(),
            replica_progress: RefCell::default(),
            is_committing: Cell::new(false),
            is_owned: Cell::new(false),
            results_state: Cell::new(state),
        }
    }

    /// Returns whether this keeper may run the job's items: it owns the job, which is not closed.
    pub fn is_active(&self) -> bool {
        self.is_owned.get() && !self.tracker.borrow().is_closed()
    }

    /// Waits until a condition on the job holds, which is checked whenever `changed` is notified.
    pub async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        loop {
            let changed = self.changed.notified();
            if condition(self) {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether reads can be answered from memory.
    pub fn has_current_results(&self) -> bool {
        self.is_owned.get() && self.results_state.get() == ResultsState::Loaded
    }
}
