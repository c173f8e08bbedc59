//! A batch job in a keeper's memory.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use cv_dispatch::AcceptedRoute;
use cv_dispatch::JobTracker;
use cv_dispatch::ReplicaProgress;
use cv_dispatch::ResultsLoad;
use cv_dispatch::RouteRule;
use tokio::sync::Notify;

use crate::keeper::accepted_job::AcceptedJob;

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
    /// Whether the store knows the job's route, or is about to.
    pub is_route_recorded: Cell<bool>,
    /// Whether the job's listed results are held.
    pub results: Cell<ResultsLoad>,
    /// The route that accepted the job; `None` until it is settled for a job without a recorded one.
    pub route: RefCell<Option<AcceptedRoute>>,
}

impl TrackedJob {
    /// Creates a job without results that this keeper does not own yet.
    pub fn new(job: AcceptedJob) -> Self {
        Self {
            tracker: RefCell::new(JobTracker::new(job.spec)),
            changed: Notify::new(),
            replica_progress: RefCell::default(),
            is_committing: Cell::new(false),
            is_owned: Cell::new(false),
            is_route_recorded: Cell::new(job.route.is_some()),
            results: Cell::default(),
            route: RefCell::new(job.route),
        }
    }

    /// Returns the time after the job's submission from which its items may be given up while its
    /// route is in force.
    pub fn abandon_limit(&self, rule: &RouteRule) -> Duration {
        let route = self.route.borrow();
        route.as_ref().map_or(rule.abandon_after, |accepted| accepted.abandon_limit(rule))
    }

    /// Returns the name of the job's route; empty if it is not settled yet.
    pub fn route_name(&self) -> String {
        self.route.borrow().as_ref().map_or_else(String::new, |route| route.name.clone())
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
