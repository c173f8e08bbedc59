//! A job in one keeper's memory.

use std::cell::Cell;
use std::cell::RefCell;

use cv_dispatch::JobSpec;
use cv_dispatch::JobTracker;
use cv_dispatch::ReplicaProgress;
use tokio::sync::Notify;

/// How much a keeper knows of a job's results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResultsState {
    /// Another keeper may have listed results that are not in the book.
    NotLoaded,
    /// The results are being read.
    Loading,
    /// The book holds all listed results, for as long as this keeper owns the job.
    Loaded,
}

/// A job with the tasks that work on it.
#[derive(Debug)]
pub(crate) struct TrackedJob {
    /// The job's book.
    pub book: RefCell<JobTracker>,
    /// What the next owner has of the outputs.
    pub copied: RefCell<ReplicaProgress>,
    /// Told of new results, the end of the job and changes of its owner.
    pub changed: Notify,
    /// Whether a task is making results durable.
    pub is_committing: Cell<bool>,
    /// Whether this keeper runs the job.
    pub is_owned: Cell<bool>,
    /// How much is known of the job's results.
    pub results_state: Cell<ResultsState>,
}

impl TrackedJob {
    /// Creates the cell of a job.
    pub fn new(spec: JobSpec, state: ResultsState) -> Self {
        Self {
            book: RefCell::new(JobTracker::new(spec)),
            changed: Notify::new(),
            copied: RefCell::default(),
            is_committing: Cell::new(false),
            is_owned: Cell::new(false),
            results_state: Cell::new(state),
        }
    }

    /// Tells whether runs of the job's items go on.
    pub fn is_running(&self) -> bool {
        self.is_owned.get() && !self.book.borrow().is_closed()
    }

    /// Resolves when something holds of the job.
    pub async fn wait_until(&self, holds: impl Fn(&Self) -> bool) {
        loop {
            let changed = self.changed.notified();
            if holds(self) {
                return;
            }
            changed.await;
        }
    }

    /// Tells whether the book answers reads without the store.
    pub fn has_current_results(&self) -> bool {
        self.is_owned.get() && self.results_state.get() == ResultsState::Loaded
    }
}
