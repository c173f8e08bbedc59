//! State that the tasks and the request handler of a keeper share.

use std::cell::Cell;
use std::cell::RefCell;
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::CloseKnowledge;
use cv_dispatch::ItemOrder;
use cv_dispatch::JobRoute;
use cv_dispatch::RequestRank;
use cv_dispatch::ResultsLoad;
use cv_dispatch::RunEstimate;
use cv_dispatch::RunSchedule;
use cv_dispatch::ShareKey;
use cv_dispatch::UnclaimedJobs;
use cv_http::ConnectionPool;
use cv_policy::lease::LeaseClock;
use tokio::sync::Notify;

use crate::CommitOutcome;
use crate::CoordinationStore;
use crate::FleetView;
use crate::NodeIdentity;
use crate::PlatformAdapter;
use crate::StoreCommit;
use crate::StoreFault;
use crate::call_log::CallLog;
use crate::keeper::job_table::JobTable;
use crate::keeper::keeper_metrics::KeeperMetrics;
use crate::keeper::load_gate::LoadGate;
use crate::keeper::placed_run::PlacedRun;
use crate::keeper::stored_quarantines::StoredQuarantines;
use crate::keeper::tracked_job::TrackedJob;

/// Backoff after the first failed attempt of a write; doubles with each attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(40);

/// Maximum backoff between two attempts of a write.
const MAX_BACKOFF: Duration = Duration::from_millis(640);

/// Time since the store's last response after which another keeper may have taken over a job
/// unnoticed. Shorter than the time in which callers may find a result missing that they have read
/// from another keeper.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_200);

/// Shared state of one keeper.
pub(crate) struct KeeperState<P: PlatformAdapter> {
    /// The platform adapter, of which only associated functions are used.
    pub adapter: PhantomData<P>,
    /// Name, zone and addresses of this process.
    pub identity: Rc<NodeIdentity>,
    /// Whether this keeper knows which jobs had been closed when it last had contact with the store.
    pub closes: Cell<CloseKnowledge>,
    /// Whether the store responds to other keepers but not to this one.
    pub is_isolated: Cell<bool>,
    /// Whether the store was last seen to respond to no keeper at all.
    pub is_outage_confirmed: Cell<bool>,
    /// Whether all other keepers know of this one, so that none of them claims its jobs.
    pub is_known_to_peers: Cell<bool>,
    /// Whether a task is giving up overdue items.
    pub is_expiring: Cell<bool>,
    /// Whether the operator has asked to retire this instance.
    pub is_retiring: Cell<bool>,
    /// Names of the instances that the operator has asked to retire.
    pub retiring: RefCell<Vec<String>>,
    /// Whether the keeper is shutting down or being retired and accepts no new jobs.
    pub is_draining: Cell<bool>,
    /// The lease that the keeper's registration is bound to.
    pub lease: Cell<Option<LeaseClock>>,
    /// Estimate of how long items run.
    pub estimate: Cell<RunEstimate>,
    /// Order of the waiting items of different customers.
    pub item_order: RefCell<ItemOrder>,
    /// Jobs that are being looked up in the store, sorted.
    pub lookups: RefCell<Vec<String>>,
    /// Metrics of this keeper.
    pub metrics: KeeperMetrics,
    /// Log of the calls to targets and sidecars.
    pub call_log: CallLog,
    /// Connections to targets, sidecars and other keepers.
    pub pool: ConnectionPool,
    /// Runs in progress and the targets that they run on.
    pub schedule: RefCell<RunSchedule>,
    /// All jobs that this keeper knows.
    pub jobs: JobTable,
    /// Prompt parts in quarantine according to the store.
    pub stored_quarantines: StoredQuarantines,
    /// Client of the coordination store.
    pub store: Rc<P::Store>,
    /// The configuration, the targets and the keepers that this process knows.
    pub view: Rc<FleetView>,
    /// Jobs whose owner has not confirmed that it owns them.
    pub unclaimed: RefCell<UnclaimedJobs>,
    /// Runs at their targets, sorted by id.
    pub placed_runs: RefCell<Vec<PlacedRun>>,
    /// Notified when an item may be waiting for a run or a target may have room.
    pub work_available: Notify,
    /// Open once all jobs have been read for the first time.
    pub work_loaded: LoadGate,
}

impl<P: PlatformAdapter> KeeperState<P> {
    /// Returns whether this keeper would have learned by now that another one owns its jobs.
    ///
    /// A registration may vanish before its lease expires, so a valid lease is not enough: the
    /// store must also have responded within [`MAX_STORE_SILENCE`].
    pub fn holds_confirmed_lease(&self) -> bool {
        let now = self.view.clock.now();
        self.has_store_contact() && self.lease.get().is_some_and(|lease| lease.holds(now))
    }

    /// Returns whether the store has responded within [`MAX_STORE_SILENCE`].
    pub fn has_store_contact(&self) -> bool {
        self.view.store_health.has_answered_within(MAX_STORE_SILENCE)
    }

    /// Returns whether this keeper owns a job, given the keepers that it knows.
    pub fn is_owner(&self, job_id: &str) -> bool {
        self.can_own_jobs() && self.view.keepers().is_owner(&self.identity.name, job_id)
    }

    /// Returns whether this keeper may own any jobs.
    ///
    /// While the store responds to no keeper, no keeper can take over or close a job, so runs
    /// continue even after the lease has expired. Without a lease, a keeper that has only lost its
    /// own contact, or that was frozen, owns nothing.
    fn can_own_jobs(&self) -> bool {
        let now = self.view.clock.now();
        let Some(lease) = self.lease.get() else {
            return false;
        };
        let is_eligible =
            !self.is_draining.get() && self.is_known_to_peers.get() && !self.is_isolated.get();
        is_eligible && (lease.holds(now) || self.is_outage_confirmed.get())
    }

    /// Changes what is known of the closed jobs.
    pub fn update_closes<T>(&self, update: impl FnOnce(&mut CloseKnowledge) -> T) -> T {
        let mut closes = self.closes.get();
        let outcome = update(&mut closes);
        self.closes.set(closes);
        outcome
    }

    /// Records that others may have closed jobs unnoticed; items start again after a read that begins
    /// from now on.
    pub fn forget_closed_jobs(&self) {
        self.update_closes(CloseKnowledge::forget);
    }

    /// Releases the ownership of all jobs; their results are loaded again before they are next run.
    pub fn release_ownership(&self) {
        for job in self.jobs.all() {
            job.is_owned.set(false);
            job.update_results(ResultsLoad::invalidate);
            job.changed.notify_waiters();
        }
    }

    /// Calls a function with what the active configuration says about the route of a job.
    pub fn with_route<T>(&self, job: &TrackedJob, body: impl FnOnce(JobRoute<'_>) -> T) -> T {
        let Some(routes) = self.view.routes() else {
            return body(JobRoute::Unknown);
        };
        if let Some(accepted) = job.route.borrow().as_ref() {
            return body(routes.job_route(accepted));
        }
        let tracker = job.tracker.borrow();
        let rule = routes.find_batch(&tracker.spec().host, &tracker.spec().path);
        body(rule.map_or(JobRoute::Ended, JobRoute::InForce))
    }

    /// Returns the key by which queues share slots between the submitters of jobs, with the current
    /// priority of the job's customer.
    pub fn share_key(&self, job: &TrackedJob) -> ShareKey {
        let Some(routes) = self.view.routes() else {
            return ShareKey::default();
        };
        let customers = routes.customers.as_ref();
        let tracker = job.tracker.borrow();
        let spec = tracker.spec();
        let customer = spec.caller.customer().and_then(|name| customers?.by_name(name));
        let priority = |route: JobRoute<'_>| route.in_force().map_or(0, |rule| rule.priority);
        let rank = RequestRank::new(customer, self.with_route(job, priority));
        spec.caller.share_key(rank)
    }

    /// Returns the time since a job was submitted.
    pub fn job_age(&self, job: &TrackedJob) -> Duration {
        self.age_since(job.tracker.borrow().spec().submitted_ms)
    }

    /// Returns the time since a moment, in milliseconds since the Unix epoch.
    pub fn age_since(&self, millis: u64) -> Duration {
        Duration::from_millis(self.view.clock.wall_millis().saturating_sub(millis))
    }

    /// Repeats a write until its outcome is known, the timeout is over, or the store is down and no
    /// attempt can have taken effect.
    ///
    /// Repeating is safe for writes whose conditions fail once they have taken effect: the
    /// conflict then returns the caller's own value.
    ///
    /// # Errors
    /// `Ambiguous` if any attempt may have taken effect; otherwise the fault of the last attempt.
    pub async fn commit_with_retry(
        &self,
        commit: &StoreCommit,
        timeout: Duration,
    ) -> Result<CommitOutcome, StoreFault> {
        let started = self.view.clock.now();
        let mut backoff = INITIAL_BACKOFF;
        let mut ambiguous = None;
        loop {
            let fault = match self.view.store_health.observe(self.store.commit(commit).await) {
                Ok(outcome) => return Ok(outcome),
                Err(fault @ (StoreFault::Invalid(_) | StoreFault::Compacted)) => return Err(fault),
                Err(fault) => fault,
            };
            if matches!(fault, StoreFault::Ambiguous(_)) {
                ambiguous = Some(fault.clone());
            }
            // Other calls of this process detect when the store is back.
            let is_unreachable = ambiguous.is_none() && !self.view.store_health.is_up();
            if is_unreachable || self.view.clock.now().since(started) + backoff > timeout {
                return Err(ambiguous.unwrap_or(fault));
            }
            monoio::time::sleep(backoff.mul_f64(0.5 + self.view.random_fraction())).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}
