//! A batch job in a keeper's memory.

use std::cell::Cell;
use std::cell::RefCell;

use cv_dispatch::JobSpec;
use cv_dispatch::JobTracker;
use cv_dispatch::ReplicaProgress;
use cv_dispatch::ResultsLoad;
use tokio::sync::Notify;

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
    /// Whether the job's listed results are held.
    pub results: Cell<ResultsLoad>,
}

impl TrackedJob {
    /// Creates a job without results that this keeper does not own yet.
    pub fn new(spec: JobSpec) -> Self {
        Self {
            tracker: RefCell::new(JobTracker::new(spec)),
            changed: Notify::new(),
            replica_progress: RefCell::default(),
            is_committing: Cell::new(false),
            is_owned: Cell::new(false),
            results: Cell::default(),
        }
    }

    /// Returns whether this keeper may run the job's items: it owns the job, which is not closed.
    pub fn is_active(&self) -> bool {
        self.is_owned.get() && !self.tracker.borrow().is_closed()
    }

    /// Returns whether the job is closed, or all its results are listed.
    pub fn is_over(&self) -> bool {
        let tracker = self.tracker.borrow();
        tracker.is_closed() || self.results.get().is_loaded() && tracker.is_complete()
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

    /// Changes whether the job's listed results are held.
    pub fn update_results<T>(&self, update: impl FnOnce(&mut ResultsLoad) -> T) -> T {
        let mut results = self.results.get();
        let outcome = update(&mut results);
        self.results.set(results);
        outcome
    }

    /// Returns whether reads can be answered from memory.
    pub fn has_current_results(&self) -> bool {
        self.is_owned.get() && self.results.get().is_loaded()
    }
}
