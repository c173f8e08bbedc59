//! Coordinates the jobs that this entry owns: claims, runs and stops them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use cv_key_value::CallPurpose;
use cv_key_value::KeyRange;
use cv_key_value::KeyValueFault;
use cv_key_value::Transaction;
use cv_key_value::WriteOutcome;
use cv_policy::MonotonicTime;
use cv_policy::OrganisationTable;
use cv_policy::batch::ChunkCommit;
use cv_policy::batch::JobCommand;
use cv_policy::batch::JobCounts;
use cv_policy::batch::JobEvent;
use cv_policy::batch::JobId;
use cv_policy::batch::JobPlan;
use cv_policy::batch::JobRecord;
use cv_policy::batch::JobState;
use cv_policy::batch::JobTable;
use cv_policy::batch::JournalRecord;
use cv_timeline::EventKind;
use cv_timer::TimerService;

use super::instance_lease::InstanceLease;
use super::job_claimer::JobClaimer;
use super::job_claimer::RecoveredJob;
use super::job_view::JobView;
use super::job_view::StoredJob;
use super::journal_client::JournalClient;
use super::owned_job::OwnedJob;
use crate::entry_state::EntryState;

/// Interval between ticks of the job table.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between checks for jobs without an owner.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of recently cancelled jobs to remember, so that a claim in progress does not start one.
const MAX_CANCELLED_JOBS: usize = 4_096;

/// Timeout for the transaction that moves a job to its final state.
const END_JOB_TIMEOUT: Duration = Duration::from_secs(3);

/// Claims unfinished jobs, schedules the items of the jobs owned here, and finishes the jobs.
pub(crate) struct BatchCoordinator {
    claimer: JobClaimer,
    /// Lease whose epoch fences every write to an owned job.
    pub lease: Rc<InstanceLease>,
    /// Access to the journals on the local disk and at peers.
    pub journals: JournalClient,
    next_job_id: Cell<u64>,
    organisations: RefCell<OrganisationTable>,
    owned_jobs: RefCell<Vec<Rc<OwnedJob>>>,
    /// Shared state of the entry.
    pub state: Rc<EntryState>,
    /// Ids of cancelled jobs that must not start, oldest first.
    cancelled_jobs: RefCell<VecDeque<String>>,
    table: RefCell<JobTable>,
    /// Unfinished jobs and live instances, as reported by the watches.
    pub view: Rc<JobView>,
}

impl BatchCoordinator {
    /// Creates the coordinator of an entry.
    pub fn new(state: Rc<EntryState>, journals: JournalClient) -> Self {
        let lease = Rc::new(InstanceLease::new(Rc::clone(&state)));
        let view: Rc<JobView> = Rc::default();
        let claimer = JobClaimer {
            lease: Rc::clone(&lease),
            journals: journals.clone(),
            state: Rc::clone(&state),
            view: Rc::clone(&view),
        };
        Self {
            claimer,
            lease,
            journals,
            next_job_id: Cell::new(1),
            organisations: RefCell::default(),
            owned_jobs: RefCell::default(),
            state,
            cancelled_jobs: RefCell::default(),
            table: RefCell::default(),
            view,
        }
    }

    /// Spawns the tasks that maintain the lease, watch, claim and run jobs, and repair replicas.
    ///
    /// Does nothing unless the entry has both a disk and a key-value store.
    pub fn start(self: &Rc<Self>, timers: &TimerService) {
        if self.journals.local_store().is_none() || self.state.key_value.is_none() {
            return;
        }
        monoio::spawn(Rc::clone(&self.lease).maintain(timers.clone()));
        let this = Rc::clone(self);
        monoio::spawn(async move {
            let Some(client) = &this.state.key_value else {
                return;
            };
            let view = Rc::clone(&this.view);
            view.watch_jobs(client, |id, job| this.apply_change(id, job)).await;
        });
        let this = Rc::clone(self);
        monoio::spawn(async move {
            let Some(client) = &this.state.key_value else {
                return;
            };
            Rc::clone(&this.view).watch_instances(client).await;
        });
        monoio::spawn(Rc::clone(self).run_ticks(timers.clone()));
        monoio::spawn(Rc::clone(self).run_claims(timers.clone()));
        monoio::spawn(Rc::clone(self).run_repairs(timers.clone()));
    }

    /// Stops all jobs and revokes the lease, so that peers can claim the jobs at once.
    pub async fn shut_down(self: &Rc<Self>) {
        self.stop_all();
        self.lease.revoke().await;
    }

    /// Passes an event to the job table and executes the commands that it returns.
    pub(super) fn handle(self: &Rc<Self>, event: JobEvent) {
        let mut commands: Vec<JobCommand> = Vec::new();
        self.table.borrow_mut().handle(self.state.clock.now(), event, &mut commands);
        for command in commands {
            self.execute(command);
        }
    }

    /// Returns an owned job by its id in the job table.
    pub(super) fn owned_job(&self, id: JobId) -> Option<Rc<OwnedJob>> {
        let owned_jobs = self.owned_jobs.borrow();
        let position = owned_jobs.binary_search_by_key(&id, |job| job.id).ok()?;
        Some(Rc::clone(&owned_jobs[position]))
    }

    /// Returns all owned jobs, sorted by id.
    pub(super) fn owned_jobs(&self) -> Vec<Rc<OwnedJob>> {
        self.owned_jobs.borrow().clone()
    }

    /// Spawns a task for an owned job; does nothing if the job is no longer owned here.
    pub(super) fn spawn_for_job<F>(
        self: &Rc<Self>,
        id: JobId,
        task: impl FnOnce(Rc<Self>, Rc<OwnedJob>) -> F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        if let Some(job) = self.owned_job(id) {
            monoio::spawn(task(Rc::clone(self), job));
        }
    }

    /// Returns the number of replicas that must sync a record before it counts as durable.
    pub(super) fn min_replicas(&self) -> usize {
        self.state.section.min_replicas
    }

    /// Returns whether the job is in progress and owned by this instance at `epoch`.
    pub(super) fn is_owned(&self, record: &JobRecord, epoch: u64) -> bool {
        let owner = record.owner.as_ref();
        let is_owner = owner.is_some_and(|owner| {
            owner.instance == self.state.settings.name && owner.epoch == epoch
        });
        is_owner && record.state == JobState::InProgress
    }

    /// Stops running a job here; none of its items is handed over afterwards.
    pub(super) fn stop_job(self: &Rc<Self>, job: &Rc<OwnedJob>) {
        if job.stopped.replace(true) {
            return;
        }
        self.handle(JobEvent::Removed(job.id));
        self.owned_jobs.borrow_mut().retain(|known| known.id != job.id);
        self.state.metrics.jobs_owned.set(self.owned_jobs.borrow().len().cast_signed() as i64);
    }

    /// Stops a cancelled job, or keeps it from starting if its claim is in progress.
    pub fn stop_cancelled(self: &Rc<Self>, id: &str) {
        {
            let mut cancelled_jobs = self.cancelled_jobs.borrow_mut();
            cancelled_jobs.push_back(id.to_owned());
            if cancelled_jobs.len() > MAX_CANCELLED_JOBS {
                cancelled_jobs.pop_front();
            }
        }
        let job = self.owned_jobs().into_iter().find(|job| job.record.borrow().id == id);
        if let Some(job) = job {
            self.stop_job(&job);
        }
    }

    /// Returns whether a claimed job may start: the lease still holds, and neither a local
    /// cancellation nor a watch update has taken the job away since the claim.
    fn may_start(&self, record: &JobRecord, epoch: u64) -> bool {
        let cancelled = self.cancelled_jobs.borrow().contains(&record.id);
        let watched = self.view.job(&record.id);
        let owned = watched.is_some_and(|watched| self.is_owned(&watched.record, epoch));
        !cancelled && owned && self.lease.epoch() == Some(epoch)
    }

    /// Moves a job to its final state, and returns whether the transaction was applied.
    ///
    /// `lease` is the key and epoch of the lease that must still hold; `None` omits that condition.
    /// `Ok(false)` means that the job has changed since `revision`.
    pub async fn end_job(
        &self,
        record: &JobRecord,
        revision: u64,
        state: JobState,
        lease: Option<(String, u64)>,
    ) -> Result<bool, KeyValueFault> {
        let Some(client) = &self.state.key_value else {
            return Err(KeyValueFault::NotApplied("no key-value service is configured".to_owned()));
        };
        let mut ended = record.clone();
        ended.counts = self.committed_counts(&record.id).await?;
        ended.ended_ms = self.state.clock.wall_millis();
        ended.state = state;
        ended.write_id = self.state.new_id();
        let value = serde_json::to_vec(&ended).unwrap_or_default();
        let (key, done_key) = (JobRecord::key_of(&record.id), JobRecord::done_key_of(&record.id));
        let mut transaction = Transaction::for_key(&done_key)
            .if_revision(&key, revision)
            .if_revision(&done_key, 0)
            .delete(&KeyRange::Single(key))
            .put(&done_key, &value);
        if let Some((lease_key, epoch)) = lease {
            transaction = transaction.if_revision(&lease_key, epoch);
        }
        let outcome = client
            .transact_with_retry(CallPurpose::Commit, &transaction, &value, END_JOB_TIMEOUT)
            .await?;
        let done = matches!(outcome, WriteOutcome::Done(_));
        if done {
            let detail = format!("state={state:?}");
            self.state.events.record(EventKind::JobEnded, &record.id, detail);
            self.view.remove_job(&record.id);
        }
        Ok(done)
    }

    /// Returns the item counts of a job, summed over its committed chunks.
    pub async fn committed_counts(&self, id: &str) -> Result<JobCounts, KeyValueFault> {
        let Some(client) = &self.state.key_value else {
            return Err(KeyValueFault::NotApplied("no key-value service is configured".to_owned()));
        };
        let range = KeyRange::Prefix(ChunkCommit::prefix_of(id));
        let page = client.range(CallPurpose::Job, &range, 0).await?;
        let mut counts = JobCounts::default();
        for entry in &page.entries {
            if let Ok(commit) = serde_json::from_slice::<ChunkCommit>(&entry.value) {
                counts.add(commit.counts);
            }
        }
        Ok(counts)
    }

    /// Applies a job change that the watch has reported; `None` means that the job was removed.
    fn apply_change(self: &Rc<Self>, id: &str, job: Option<&StoredJob>) {
        let owned_job = self.owned_jobs().into_iter().find(|job| job.record.borrow().id == id);
        let Some(owned_job) = owned_job else { return };
        match job {
            Some(job) if self.is_owned(&job.record, owned_job.epoch) => {
                if job.revision > owned_job.revision.get() {
                    owned_job.revision.set(job.revision);
                    *owned_job.record.borrow_mut() = job.record.clone();
                }
            }
            // The watch may lag behind the claim and report an older revision.
            Some(job) if job.revision <= owned_job.revision.get() => {}
            _ => self.stop_job(&owned_job),
        }
    }

    /// Stops all owned jobs.
    fn stop_all(self: &Rc<Self>) {
        for job in self.owned_jobs() {
            self.stop_job(&job);
        }
    }

    /// Ticks the job table, starts flushes of new results, and stops jobs whose lease is over.
    async fn run_ticks(self: Rc<Self>, timers: TimerService) {
        let ticks = timers.subscribe(TICK_INTERVAL);
        loop {
            ticks.next().await;
            let epoch = self.lease.epoch();
            for job in self.owned_jobs() {
                if epoch != Some(job.epoch) {
                    self.stop_job(&job);
                } else if !job.flushing.get() && !job.unflushed_results.borrow().is_empty() {
                    job.flushing.set(true);
                    monoio::spawn(Rc::clone(&self).flush_results(job));
                }
            }
            if epoch.is_some() {
                let in_flight = self.table.borrow().in_flight();
                self.state.metrics.batch_in_flight.set(in_flight.cast_signed() as i64);
                let window = self.state.section.batch_window.saturating_sub(in_flight);
                self.handle(JobEvent::Ticked(self.batch_capacity().min(window)));
            }
        }
    }

    /// Returns the number of batch items that the eligible targets can accept now.
    fn batch_capacity(&self) -> usize {
        let now = self.state.clock.now();
        let table = self.state.targets.borrow();
        let eligible = table.rows().iter().filter(|row| row.is_eligible() && !row.is_ejected(now));
        eligible.map(|row| row.batch_capacity() as usize).sum()
    }

    /// Claims jobs that have no live owner; while the entry drains, stops all jobs instead.
    async fn run_claims(self: Rc<Self>, timers: TimerService) {
        let ticks = timers.subscribe(CLAIM_CHECK_INTERVAL);
        loop {
            ticks.next().await;
            if self.state.draining.get() {
                self.stop_all();
                continue;
            }
            for job in self.view.jobs() {
                if self.claimer.should_claim(&job) && !self.runs_job(&job.record.id) {
                    self.take_over(&job).await;
                }
            }
        }
    }

    /// Returns whether a job runs on this instance.
    fn runs_job(&self, id: &str) -> bool {
        self.owned_jobs.borrow().iter().any(|job| job.record.borrow().id == id)
    }

    /// Claims a job, recovers its progress and starts it.
    async fn take_over(self: &Rc<Self>, job: &StoredJob) {
        let Some(client) = &self.state.key_value else {
            return;
        };
        let Some(epoch) = self.lease.epoch() else {
            return;
        };
        if job.record.state == JobState::Cancelling {
            // The owner is gone, so no item of the job is running.
            let _ = self.end_job(&job.record, job.revision, JobState::Cancelled, None).await;
            return;
        }
        let claimed = match self.claimer.claim(client, job, epoch).await {
            Ok(Some(claimed)) => claimed,
            Ok(None) => return,
            Err(fault) => {
                return log::warn!(
                    "failed to claim job {}, will check it again: {fault}",
                    job.record.id
                );
            }
        };
        self.view.put_job(claimed.clone());
        self.state.events.record(
            EventKind::JobClaimed,
            &claimed.record.id,
            format!("epoch={epoch}"),
        );
        match self.claimer.recover(client, &claimed.record).await {
            Ok(Some(recovered)) => self.start_job(claimed, epoch, recovered).await,
            Ok(None) => log::error!(
                "job {} stays claimed without running: too few of its journals could be read",
                claimed.record.id
            ),
            Err(fault) => log::warn!(
                "job {} stays claimed without running, its recovery failed: {fault}",
                claimed.record.id
            ),
        }
    }

    /// Starts a claimed and recovered job.
    async fn start_job(self: &Rc<Self>, claimed: StoredJob, epoch: u64, recovered: RecoveredJob) {
        let id = JobId(self.next_job_id.replace(self.next_job_id.get() + 1));
        let StoredJob { record, revision } = claimed;
        let (attempts, weight) = {
            let active_config = self.state.config.borrow();
            let wall_millis = self.state.clock.wall_millis();
            let policy =
                active_config.config().request_policy("", &record.organisation, wall_millis);
            (active_config.config().defaults.item_attempts, policy.weight)
        };
        let plan = JobPlan::builder()
            .attempts(attempts.min(u32::from(u8::MAX)) as u8)
            .chunk_items(record.chunk_items)
            .due(self.monotonic_time(record.due_ms))
            .items(record.items)
            .organisation(self.organisations.borrow_mut().intern(&record.organisation))
            .priority(record.priority)
            .repeatable(record.repeatable)
            .weight(weight)
            .build();
        let RecoveredJob { chunk_pages, recovery, results } = recovered;
        let open_attempts = recovery.unfinished_attempts();
        let job = OwnedJob::new(id, record, revision, epoch, weight, chunk_pages, results);
        let job = Rc::new(job);
        // An unfinished attempt may be known from a single journal that could still be lost, so it
        // is written to all replicas again.
        if !open_attempts.is_empty() {
            let record = JournalRecord::Intent { epoch, items: open_attempts };
            let journal = job.record.borrow().id.clone();
            self.journals.append(&job.write_replicas(), &journal, &[record]).await;
        }
        // The job may have been cancelled, or the lease lost, during the recovery.
        if !self.may_start(&job.record.borrow(), epoch) {
            return;
        }
        self.owned_jobs.borrow_mut().push(Rc::clone(&job));
        self.state.metrics.jobs_owned.set(self.owned_jobs.borrow().len().cast_signed() as i64);
        self.handle(JobEvent::Added(id, plan, Box::new(recovery)));
    }

    /// Converts a wall-clock time in milliseconds since the Unix epoch to the monotonic clock; a
    /// time in the past becomes now.
    fn monotonic_time(&self, wall_ms: u64) -> MonotonicTime {
        let remaining_ms = wall_ms.saturating_sub(self.state.clock.wall_millis());
        self.state.clock.now() + Duration::from_millis(remaining_ms)
    }
}
