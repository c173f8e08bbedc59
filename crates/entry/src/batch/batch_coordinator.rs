//! Owns jobs: claims them, runs them, lets them go.

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
use super::job_claim::JobClaims;
use super::job_claim::RecoveredJob;
use super::job_runtime::JobRuntime;
use super::job_view::JobView;
use super::job_view::OpenJob;
use super::journal_client::JournalClient;
use crate::entry_state::EntryState;

/// Time between two runs of the systems that depend on time.
const TICK: Duration = Duration::from_millis(10);

/// Time between two looks for jobs to claim.
const CLAIM_PERIOD: Duration = Duration::from_millis(200);

/// Cancelled jobs that are remembered, so that a claim under way does not start them.
const STOPPED_JOBS: usize = 4_096;

/// Longest time to settle the end of a job.
const END_PATIENCE: Duration = Duration::from_secs(3);

/// The jobs of an entry.
pub(crate) struct BatchCoordinator {
    claims: JobClaims,
    /// The lease under which jobs are owned.
    pub lease: Rc<InstanceLease>,
    /// Journals here and at peers.
    pub journals: JournalClient,
    next_job: Cell<u64>,
    organisations: RefCell<OrganisationTable>,
    runtimes: RefCell<Vec<Rc<JobRuntime>>>,
    /// The entry.
    pub state: Rc<EntryState>,
    /// Ids of cancelled jobs that must not be started any more, the latest last.
    stopped: RefCell<VecDeque<String>>,
    table: RefCell<JobTable>,
    /// Unfinished jobs and live instances.
    pub view: Rc<JobView>,
}

impl BatchCoordinator {
    /// Creates the coordinator of an entry.
    pub fn new(state: Rc<EntryState>, link: JournalClient) -> Self {
        let lease = Rc::new(InstanceLease::new(Rc::clone(&state)));
        let view: Rc<JobView> = Rc::default();
        let claims = JobClaims {
            lease: Rc::clone(&lease),
            link: link.clone(),
            state: Rc::clone(&state),
            view: Rc::clone(&view),
        };
        Self {
            claims,
            lease,
            journals: link,
            next_job: Cell::new(1),
            organisations: RefCell::default(),
            runtimes: RefCell::default(),
            state,
            stopped: RefCell::default(),
            table: RefCell::default(),
            view,
        }
    }

    /// Starts the tasks that keep the lease, follow the jobs and run them.
    pub fn start(self: &Rc<Self>, timers: &TimerService) {
        if self.journals.local_store().is_none() || self.state.key_value.is_none() {
            return;
        }
        monoio::spawn(Rc::clone(&self.lease).keep(timers.clone()));
        let this = Rc::clone(self);
        monoio::spawn(async move {
            let Some(client) = &this.state.key_value else {
                return;
            };
            let view = Rc::clone(&this.view);
            view.watch_jobs(client, |id, job| this.take_change(id, job)).await;
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

    /// Lets all jobs go and gives the lease back.
    pub async fn shut_down(self: &Rc<Self>) {
        self.stop_all();
        self.lease.release().await;
    }

    /// Gives the table an event and carries its commands out.
    pub(super) fn handle(self: &Rc<Self>, event: JobEvent) {
        let mut commands: Vec<JobCommand> = Vec::new();
        self.table.borrow_mut().handle(self.state.clock.now(), event, &mut commands);
        for command in commands {
            self.carry_out(command);
        }
    }

    /// Finds the runtime of a job.
    pub(super) fn runtime(&self, id: JobId) -> Option<Rc<JobRuntime>> {
        let runtimes = self.runtimes.borrow();
        let position = runtimes.binary_search_by_key(&id, |job| job.id).ok()?;
        Some(Rc::clone(&runtimes[position]))
    }

    /// Returns the runtimes of all jobs.
    pub(super) fn runtimes(&self) -> Vec<Rc<JobRuntime>> {
        self.runtimes.borrow().clone()
    }

    /// Starts a task for a job that is run here.
    pub(super) fn with_runtime<F>(
        self: &Rc<Self>,
        id: JobId,
        task: impl FnOnce(Rc<Self>, Rc<JobRuntime>) -> F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        if let Some(job) = self.runtime(id) {
            monoio::spawn(task(Rc::clone(self), job));
        }
    }

    /// Returns the number of disks that have to hold a record.
    pub(super) fn min_replicas(&self) -> usize {
        self.state.section.min_replicas
    }

    /// Tells whether a record names this instance at an epoch as the owner of a running job.
    pub(super) fn is_owned(&self, record: &JobRecord, epoch: u64) -> bool {
        let owner = record.owner.as_ref();
        let own = owner.is_some_and(|owner| {
            owner.instance == self.state.settings.name && owner.epoch == epoch
        });
        own && record.state == JobState::InProgress
    }

    /// Stops running a job; nothing of it is handed over from now on.
    pub(super) fn stop(self: &Rc<Self>, job: &Rc<JobRuntime>) {
        if job.ended.replace(true) {
            return;
        }
        self.handle(JobEvent::Removed(job.id));
        self.runtimes.borrow_mut().retain(|known| known.id != job.id);
        self.state.metrics.jobs_owned.set(self.runtimes.borrow().len().cast_signed() as i64);
    }

    /// Stops a cancelled job, and keeps one that is being claimed just now from starting.
    pub fn stop_cancelled(self: &Rc<Self>, id: &str) {
        {
            let mut stopped = self.stopped.borrow_mut();
            stopped.push_back(id.to_owned());
            if stopped.len() > STOPPED_JOBS {
                stopped.pop_front();
            }
        }
        let job = self.runtimes().into_iter().find(|job| job.record.borrow().id == id);
        if let Some(job) = job {
            self.stop(&job);
        }
    }

    /// Tells whether a job that was claimed may start: it was not cancelled since, here or anywhere
    /// that the watch has shown, and the lease still holds.
    fn may_start(&self, record: &JobRecord, epoch: u64) -> bool {
        let cancelled = self.stopped.borrow().contains(&record.id);
        let shown = self.view.job(&record.id);
        let owned = shown.is_some_and(|shown| self.is_owned(&shown.record, epoch));
        !cancelled && owned && self.lease.epoch() == Some(epoch)
    }

    /// Moves a job to its last state; tells whether that took effect.
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
        let answer = client
            .transact_with_retry(CallPurpose::Commit, &transaction, &value, END_PATIENCE)
            .await?;
        let done = matches!(answer, WriteOutcome::Done(_));
        if done {
            let detail = format!("state={state:?}");
            self.state.events.record(EventKind::JobEnded, &record.id, detail);
            self.view.remove_job(&record.id);
        }
        Ok(done)
    }

    /// Adds up the items of a job's committed chunks.
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

    /// Takes a change of a job that the watch has shown.
    fn take_change(self: &Rc<Self>, id: &str, job: Option<&OpenJob>) {
        let runtime = self.runtimes().into_iter().find(|job| job.record.borrow().id == id);
        let Some(runtime) = runtime else { return };
        match job {
            Some(job) if self.is_owned(&job.record, runtime.epoch) => {
                if job.revision > runtime.revision.get() {
                    runtime.revision.set(job.revision);
                    *runtime.record.borrow_mut() = job.record.clone();
                }
            }
            // A change from before the claim may be shown late.
            Some(job) if job.revision <= runtime.revision.get() => {}
            _ => self.stop(&runtime),
        }
    }

    /// Stops running all jobs.
    fn stop_all(self: &Rc<Self>) {
        for job in self.runtimes() {
            self.stop(&job);
        }
    }

    /// Runs the systems that depend on time.
    async fn run_ticks(self: Rc<Self>, timers: TimerService) {
        let ticks = timers.subscribe(TICK);
        loop {
            ticks.next().await;
            let epoch = self.lease.epoch();
            for job in self.runtimes() {
                if epoch != Some(job.epoch) {
                    self.stop(&job);
                } else if !job.flushing.get() && !job.unflushed.borrow().is_empty() {
                    job.flushing.set(true);
                    monoio::spawn(Rc::clone(&self).flush_results(job));
                }
            }
            if epoch.is_some() {
                let in_flight = self.table.borrow().in_flight();
                self.state.metrics.batch_in_flight.set(in_flight.cast_signed() as i64);
                let window = self.state.section.batch_window.saturating_sub(in_flight);
                self.handle(JobEvent::Ticked(self.room().min(window)));
            }
        }
    }

    /// Returns the number of items that the targets have room for.
    fn room(&self) -> usize {
        let now = self.state.clock.now();
        let table = self.state.targets.borrow();
        let open = table.rows().iter().filter(|row| row.is_eligible() && !row.is_ejected(now));
        open.map(|row| row.batch_capacity() as usize).sum()
    }

    /// Claims jobs that nobody owns.
    async fn run_claims(self: Rc<Self>, timers: TimerService) {
        let ticks = timers.subscribe(CLAIM_PERIOD);
        loop {
            ticks.next().await;
            if self.state.draining.get() {
                self.stop_all();
                continue;
            }
            for job in self.view.jobs() {
                if self.claims.should_claim(&job) && !self.runs(&job.record.id) {
                    self.take_over(&job).await;
                }
            }
        }
    }

    /// Tells whether a job is run here.
    fn runs(&self, id: &str) -> bool {
        self.runtimes.borrow().iter().any(|job| job.record.borrow().id == id)
    }

    /// Claims one job and starts it.
    async fn take_over(self: &Rc<Self>, job: &OpenJob) {
        let Some(client) = &self.state.key_value else {
            return;
        };
        let Some(epoch) = self.lease.epoch() else {
            return;
        };
        if job.record.state == JobState::Cancelling {
            // Its owner is gone, so nothing of it runs any more.
            let _ = self.end_job(&job.record, job.revision, JobState::Cancelled, None).await;
            return;
        }
        let claimed = match self.claims.claim(client, job, epoch).await {
            Ok(Some(claimed)) => claimed,
            Ok(None) => return,
            Err(fault) => return log::warn!("claim of job {}: {fault}", job.record.id),
        };
        self.view.put_job(claimed.clone());
        self.state.events.record(
            EventKind::JobClaimed,
            &claimed.record.id,
            format!("epoch={epoch}"),
        );
        match self.claims.recover(client, &claimed.record).await {
            Ok(Some(recovered)) => self.start_job(claimed, epoch, recovered).await,
            Ok(None) => log::error!("job {}: too few journals to recover", claimed.record.id),
            Err(fault) => log::warn!("recovery of job {}: {fault}", claimed.record.id),
        }
    }

    /// Starts a job that was claimed and recovered.
    async fn start_job(self: &Rc<Self>, claimed: OpenJob, epoch: u64, recovered: RecoveredJob) {
        let id = JobId(self.next_job.replace(self.next_job.get() + 1));
        let OpenJob { record, revision } = claimed;
        let (attempts, weight) = {
            let register = self.state.config.borrow();
            let wall_millis = self.state.clock.wall_millis();
            let rules = register.config().request_policy("", &record.organisation, wall_millis);
            (register.config().defaults.item_attempts, rules.weight)
        };
        let plan = JobPlan::builder()
            .attempts(attempts.min(u32::from(u8::MAX)) as u8)
            .chunk_items(record.chunk_items)
            .due(self.monotonic(record.due_ms))
            .items(record.items)
            .organisation(self.organisations.borrow_mut().intern(&record.organisation))
            .priority(record.priority)
            .repeatable(record.repeatable)
            .weight(weight)
            .build();
        let RecoveredJob { chunk_pages, recovery, results } = recovered;
        let open_attempts = recovery.unfinished_attempts();
        let job = JobRuntime::new(id, record, revision, epoch, weight, chunk_pages, results);
        let job = Rc::new(job);
        // Attempts known from a journal that may be lost are written again on all.
        if !open_attempts.is_empty() {
            let record = JournalRecord::Intent { epoch, items: open_attempts };
            let journal = job.record.borrow().id.clone();
            self.journals.append(&job.write_set(), &journal, &[record]).await;
        }
        // The cancellation or the end of the lease may have come during the recovery.
        if !self.may_start(&job.record.borrow(), epoch) {
            return;
        }
        self.runtimes.borrow_mut().push(Rc::clone(&job));
        self.state.metrics.jobs_owned.set(self.runtimes.borrow().len().cast_signed() as i64);
        self.handle(JobEvent::Added(id, plan, Box::new(recovery)));
    }

    /// Translates a wall-clock time into the monotonic time of decisions.
    fn monotonic(&self, wall_ms: u64) -> MonotonicTime {
        let left = wall_ms.saturating_sub(self.state.clock.wall_millis());
        self.state.clock.now() + Duration::from_millis(left)
    }
}
