//! Makes lost replicas again and removes what is past its retention.

use std::rc::Rc;
use std::time::Duration;

use cv_key_value::CallPurpose;
use cv_key_value::KeyRange;
use cv_key_value::KeyValueClient;
use cv_key_value::Transaction;
use cv_key_value::WriteOutcome;
use cv_policy::batch::ChunkCommit;
use cv_policy::batch::FileRecord;
use cv_policy::batch::JobRecord;
use cv_policy::stable_hash;
use cv_timer::TimerService;

use super::batch_coordinator::BatchCoordinator;
use super::job_runtime::JobRuntime;
use super::job_view::job_of;

/// Time between two looks for lost replicas.
const PERIOD: Duration = Duration::from_secs(2);

/// Looks in a row that have to miss a replica before it is replaced.
const MISSES: u32 = 5;

/// Looks for lost replicas between two sweeps for old jobs.
const SWEEP_EVERY: u32 = 150;

/// Longest time to settle the change of a job's replicas.
const CHANGE_PATIENCE: Duration = Duration::from_secs(3);

/// Finished jobs that one sweep looks at.
const SWEEP_JOBS: usize = 1_000;

/// Milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;

impl BatchCoordinator {
    /// Looks after replicas and retention for as long as the entry runs.
    pub(super) async fn run_repairs(self: Rc<Self>, timers: TimerService) {
        let ticks = timers.subscribe(PERIOD);
        let mut misses: Vec<(String, u32)> = Vec::new();
        let mut looks = 0;
        loop {
            ticks.next().await;
            looks += 1;
            if self.lease.epoch().is_none() || !self.view.is_current() {
                misses.clear();
                continue;
            }
            for job in self.runtimes() {
                self.repair_job(&job, &mut misses).await;
            }
            if looks % SWEEP_EVERY == 0 {
                self.sweep().await;
            }
        }
    }

    /// Replaces one lost replica of a job.
    async fn repair_job(self: &Rc<Self>, job: &Rc<JobRuntime>, misses: &mut Vec<(String, u32)>) {
        let record = job.record.borrow().clone();
        let lost = record
            .replicas
            .iter()
            .find(|name| self.is_lost(name, misses) || job.takes_no_records(name));
        let short = record.replicas.len() < self.state.section.replicas;
        if lost.is_none() && !short {
            return;
        }
        let replacement = self.journals.pick_replicas(&record.file, &record.replicas);
        let live = |name: &&String| self.view.epoch_of(name).is_some();
        let extra = self.journals.pick_replicas(&record.file, &[]);
        let mut candidates = replacement.iter().chain(&extra);
        let candidate = candidates.find(|name| live(name) && !record.replicas.contains(name));
        let Some(candidate) = candidate.cloned() else {
            return;
        };
        let lost = lost.cloned();
        self.replace_replica(job, lost.as_deref(), &candidate).await;
    }

    /// Fills a new replica and puts it in the place of a lost one.
    async fn replace_replica(
        self: &Rc<Self>,
        job: &Rc<JobRuntime>,
        lost: Option<&str>,
        candidate: &str,
    ) {
        let Some(client) = &self.state.key_value else {
            return;
        };
        let (file, id) = {
            let record = job.record.borrow();
            (record.file.clone(), record.id.clone())
        };
        // New records go there from now on, so the copy and they together are everything.
        job.joining.borrow_mut().push(candidate.to_owned());
        let copied = self.fill_replica(job, &file, candidate).await
            && self.fill_replica(job, &id, candidate).await;
        if copied && !job.ended.get() {
            let mut record = job.record.borrow().clone();
            record.replicas.retain(|name| Some(name.as_str()) != lost);
            record.replicas.push(candidate.to_owned());
            record.write_id = self.state.new_id();
            let value = serde_json::to_vec(&record).unwrap_or_default();
            let key = JobRecord::key_of(&record.id);
            let transaction = Transaction::for_key(&key)
                .if_revision(&key, job.revision.get())
                .if_revision(&self.lease.key(), job.epoch)
                .put(&key, &value);
            let purpose = CallPurpose::Commit;
            let answer =
                client.transact_with_retry(purpose, &transaction, &value, CHANGE_PATIENCE).await;
            if let Ok(WriteOutcome::Done(revision)) = answer {
                log::info!("job {}: replica {candidate} in place of {lost:?}", record.id);
                job.revision.set(revision);
                *job.record.borrow_mut() = record;
            }
        }
        job.joining.borrow_mut().retain(|name| name != candidate);
    }

    /// Copies a journal from every replica that can be read; tells whether those were enough.
    ///
    /// A record counts as kept on some of the replicas, so one of them alone may lack it. Records
    /// that come twice change nothing.
    async fn fill_replica(&self, job: &JobRuntime, journal: &str, candidate: &str) -> bool {
        let replicas = job.record.borrow().replicas.clone();
        let needed = (replicas.len() + 1).saturating_sub(self.min_replicas()).max(1);
        let mut copied = 0;
        for replica in &replicas {
            if self.journals.copy(replica, candidate, journal).await {
                copied += 1;
            }
        }
        copied >= needed
    }

    /// Tells whether an instance has been without a lease for several looks.
    fn is_lost(&self, name: &str, misses: &mut Vec<(String, u32)>) -> bool {
        let position = misses.iter().position(|row| row.0 == name);
        if self.view.epoch_of(name).is_some() {
            if let Some(position) = position {
                misses.remove(position);
            }
            return false;
        }
        if let Some(position) = position {
            misses[position].1 += 1;
            return misses[position].1 >= MISSES;
        }
        misses.push((name.to_owned(), 1));
        false
    }

    /// Removes finished jobs that are past their retention.
    async fn sweep(&self) {
        let Some(client) = &self.state.key_value else {
            return;
        };
        let range = KeyRange::Prefix(JobRecord::done_prefix().to_owned());
        let Ok(page) = client.range(CallPurpose::Job, &range, SWEEP_JOBS).await else {
            return;
        };
        let retention = self.state.config.borrow().config().defaults.retention_hours * HOUR_MS;
        let oldest_ms = self.state.clock.wall_millis().saturating_sub(retention);
        for entry in &page.entries {
            let Some(job) = job_of(entry) else { continue };
            let over = job.record.ended_ms < oldest_ms;
            if over && self.sweeps(&job.record.id, &job.record.replicas) {
                self.remove_job_data(&job.record, job.revision).await;
            }
        }
        self.sweep_files(client, oldest_ms).await;
    }

    /// Tells whether this instance is the one that removes what these replicas hold.
    fn sweeps(&self, id: &str, replicas: &[String]) -> bool {
        let own = &self.state.settings.name;
        let live =
            replicas.iter().filter(|name| *name == own || self.view.epoch_of(name).is_some());
        live.min_by_key(|name| stable_hash(&[id, name])) == Some(own)
    }

    /// Removes all that is kept of a job.
    async fn remove_job_data(&self, record: &JobRecord, revision: u64) {
        let Some(client) = &self.state.key_value else {
            return;
        };
        let done_key = JobRecord::done_key_of(&record.id);
        let transaction = Transaction::for_key(&done_key)
            .if_revision(&done_key, revision)
            .delete(&KeyRange::Single(done_key.clone()))
            .delete(&KeyRange::Prefix(ChunkCommit::prefix_of(&record.id)));
        let answer = client.transact(CallPurpose::Job, &transaction).await;
        if let Ok(WriteOutcome::Done(_)) = answer {
            for replica in &record.replicas {
                self.journals.remove_at(replica, &record.id).await;
            }
        }
    }

    /// Removes files that are past their retention and that no unfinished job reads.
    async fn sweep_files(&self, client: &KeyValueClient, oldest_ms: u64) {
        let range = KeyRange::Prefix(FileRecord::prefix().to_owned());
        let Ok(page) = client.range(CallPurpose::Job, &range, SWEEP_JOBS).await else {
            return;
        };
        let jobs = self.view.jobs();
        for entry in &page.entries {
            let Ok(file) = serde_json::from_slice::<FileRecord>(&entry.value) else {
                continue;
            };
            let used = jobs.iter().any(|job| job.record.file == file.id);
            if used || file.created_ms >= oldest_ms || !self.sweeps(&file.id, &file.replicas) {
                continue;
            }
            let key = FileRecord::key_of(&file.id);
            let transaction = Transaction::for_key(&key)
                .if_revision(&key, entry.revision)
                .delete(&KeyRange::Single(key.clone()));
            let answer = client.transact(CallPurpose::Job, &transaction).await;
            if let Ok(WriteOutcome::Done(_)) = answer {
                for replica in &file.replicas {
                    self.journals.remove_at(replica, &file.id).await;
                }
            }
        }
    }
}
