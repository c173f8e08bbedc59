//! What the parts of a keeper share.

use std::cell::Cell;
use std::cell::RefCell;
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;

use cv_dispatch::RouteKind;
use cv_dispatch::RouteRule;
use cv_dispatch::RunEstimate;
use cv_dispatch::RunId;
use cv_dispatch::RunSchedule;
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
use crate::keeper::job_table::JobTable;
use crate::keeper::keeper_metrics::KeeperMetrics;
use crate::keeper::tracked_job::ResultsState;
use crate::keeper::tracked_job::TrackedJob;

/// First pause between two tries of a write; doubles with each.
const INITIAL_BACKOFF: Duration = Duration::from_millis(40);

/// Longest pause between two tries of a write.
const MAX_BACKOFF: Duration = Duration::from_millis(640);

/// Silence of the store after which another keeper may own a job unnoticed; shorter than the time
/// in which callers may find a result missing that they have read elsewhere.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_200);

/// The shared state of one keeper.
pub(crate) struct KeeperState<P: PlatformAdapter> {
    pub border: PhantomData<P>,
    pub identity: Rc<NodeIdentity>,
    /// Whether the store answers other keepers and not this one.
    pub is_isolated: Cell<bool>,
    /// Whether all other keepers know of this one, so that none of them owns what it owns.
    pub is_known_to_peers: Cell<bool>,
    /// Whether the keeper takes no new work because it is leaving.
    pub is_leaving: Cell<bool>,
    /// The lease that the keeper's registration is bound to.
    pub lease: Cell<Option<LeaseClock>>,
    /// How long items run.
    pub estimate: Cell<RunEstimate>,
    pub metrics: KeeperMetrics,
    pub pool: ConnectionPool,
    pub schedule: RefCell<RunSchedule>,
    pub jobs: JobTable,
    pub store: Rc<P::Store>,
    pub view: Rc<FleetView>,
    /// How each run is told that it is better made elsewhere, sorted by run.
    pub withdrawals: RefCell<Vec<(RunId, Rc<Notify>)>>,
    /// Told when there may be an item to run or a place to run it.
    pub work_available: Notify,
}

impl<P: PlatformAdapter> KeeperState<P> {
    /// Tells whether this keeper would have learned of another owner by now.
    ///
    /// A registration may vanish before its lease is over, so the store has to have answered
    /// lately.
    pub fn holds_confirmed_lease(&self) -> bool {
        let now = self.view.clock.now();
        self.has_store_contact() && self.lease.get().is_some_and(|lease| lease.holds(now))
    }

    /// Tells whether the store has answered lately.
    pub fn has_store_contact(&self) -> bool {
        self.view.store_health.has_answered_within(MAX_STORE_SILENCE)
    }

    /// Tells whether this keeper owns a job, by the keepers that it knows.
    pub fn is_owner(&self, job: &str) -> bool {
        self.can_own_jobs() && self.view.keepers().is_owner(&self.identity.name, job)
    }

    /// Tells whether this keeper may own jobs at all.
    ///
    /// While the store answers nobody, nobody can take a job over or end it, so runs go on even
    /// after the lease's time.
    fn can_own_jobs(&self) -> bool {
        let now = self.view.clock.now();
        let Some(lease) = self.lease.get() else {
            return false;
        };
        let is_wanted =
            !self.is_leaving.get() && self.is_known_to_peers.get() && !self.is_isolated.get();
        is_wanted && (lease.holds(now) || !self.has_store_contact())
    }

    /// Gives up all jobs; what their books lack has to be read before they are owned again.
    pub fn release_ownership(&self) {
        for cell in self.jobs.all() {
            cell.is_owned.set(false);
            cell.results_state.set(ResultsState::NotLoaded);
            cell.changed.notify_waiters();
        }
    }

    /// Returns the route of a job, if the configuration still has it.
    pub fn with_route<T>(
        &self,
        cell: &TrackedJob,
        body: impl FnOnce(&RouteRule) -> T,
    ) -> Option<T> {
        let routes = self.view.routes()?;
        let book = cell.book.borrow();
        let spec = book.spec();
        let route = routes.find(&spec.host, &spec.path)?;
        (route.kind == RouteKind::Batch).then(|| body(route))
    }

    /// Returns the time since a job was accepted.
    pub fn job_age(&self, cell: &TrackedJob) -> Duration {
        let submitted = cell.book.borrow().spec().submitted_ms;
        Duration::from_millis(self.view.clock.wall_millis().saturating_sub(submitted))
    }

    /// Makes a write until its outcome is known, the patience is over, or the store is known to
    /// refuse every call.
    ///
    /// Repeating is safe for writes whose conditions fail once they have taken effect: the
    /// conflict then shows the caller its own value.
    ///
    /// # Errors
    /// `Ambiguous` if any try may have taken effect.
    pub async fn commit_with_retry(
        &self,
        commit: &StoreCommit,
        patience: Duration,
    ) -> Result<CommitOutcome, StoreFault> {
        let began = self.view.clock.now();
        let mut pause = INITIAL_BACKOFF;
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
            // Others of this process's calls find out when the store is back.
            let is_hopeless = ambiguous.is_none() && !self.view.store_health.is_up();
            if is_hopeless || self.view.clock.now().since(began) + pause > patience {
                return Err(ambiguous.unwrap_or(fault));
            }
            monoio::time::sleep(pause.mul_f64(0.5 + self.view.random_fraction())).await;
            pause = (pause * 2).min(MAX_BACKOFF);
        }
    }
}
