//! Replaces lost replicas and removes jobs and files whose retention has expired.

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
use super::job_view::decode_job;
use super::owned_job::OwnedJob;

/// Interval between checks for lost replicas.
const REPAIR_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Consecutive checks without a lease after which a replica counts as lost.
const MISSED_CHECK_LIMIT: u32 = 5;

/// Checks for lost replicas between two sweeps for expired data.
const CHECKS_PER_SWEEP: u32 = 150;

/// Timeout for the transaction that changes a job's replicas.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of finished jobs, and of files, that one sweep checks.
const MAX_SWEPT_ENTRIES: usize = 1_000;

/// Milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;

impl BatchCoordinator {
    /// Repairs replicas and sweeps expired data for as long as the entry runs.
    pub(super) async fn run_repairs(self: Rc<Self>, timers: TimerService) {
        let ticks = timers.subscribe(REPAIR_CHECK_INTERVAL);
        let mut missed_checks: Vec<(String, u32)> = Vec::new();
        let mut checks = 0;
        loop {
            ticks.next().await;
            checks += 1;
            if self.lease.epoch().is_none() || !self.view.is_current() {
                missed_checks.clear();
                continue;
            }
            for job in self.owned_jobs() {
                self.repair_replicas(&job, &mut missed_checks).await;
            }
            if checks % CHECKS_PER_SWEEP == 0 {
                self.sweep().await;
            }
        }
    }

    /// Replaces one lost replica of a job, or adds one if the job has too few.
    async fn repair_replicas(
        self: &Rc<Self>,
        job: &Rc<OwnedJob>,
        missed_checks: &mut Vec<(String, u32)>,
    ) {
        let record = job.record.borrow().clone();
        let lost = record.replicas.iter().find(|name| {
            self.is_lost(name, missed_checks) || job.has_reached_missed_write_limit(name)
        });
        let under_replicated = record.replicas.len() < self.state.section.replicas;
        if lost.is_none() && !under_replicated {
            return;
        }
        let replacement = self.journals.choose_replicas(&record.file, &record.replicas);
        let live = |name: &&String| self.view.epoch_of(name).is_some();
        let extra = self.journals.choose_replicas(&record.file, &[]);
        let mut candidates = replacement.iter().chain(&extra);
        let candidate = candidates.find(|name| live(name) && !record.replicas.contains(name));
        let Some(candidate) = candidate.cloned() else {
            return;
        };
        let lost = lost.cloned();
        self.replace_replica(job, lost.as_deref(), &candidate).await;
    }

    /// Copies the journals to a new replica, then stores it in the job record in place of the lost
    /// one.
    async fn replace_replica(
        self: &Rc<Self>,
        job: &Rc<OwnedJob>,
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
        // New records go to the candidate from now on, so the copy and these together are complete.
        job.joining_replicas.borrow_mut().push(candidate.to_owned());
        let copied = self.fill_replica(job, &file, candidate).await
            && self.fill_replica(job, &id, candidate).await;
        if copied && !job.stopped.get() {
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
            let outcome =
                client.transact_with_retry(purpose, &transaction, &value, REPLACE_TIMEOUT).await;
            if let Ok(WriteOutcome::Done(revision)) = outcome {
                log::info!("job {}: added replica {candidate}, removed {lost:?}", record.id);
                job.revision.set(revision);
                *job.record.borrow_mut() = record;
            }
        }
        job.joining_replicas.borrow_mut().retain(|name| name != candidate);
    }

    /// Copies a journal from every readable replica; returns whether enough replicas were copied.
    ///
    /// A durable record need not be on every replica, so one copy may lack it. Duplicate records
    /// have no effect.
    async fn fill_replica(&self, job: &OwnedJob, journal: &str, candidate: &str) -> bool {
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

    /// Returns whether an instance has had no lease for several consecutive checks; the checks of
    /// all owned jobs count together.
    fn is_lost(&self, name: &str, missed_checks: &mut Vec<(String, u32)>) -> bool {
        let position = missed_checks.iter().position(|row| row.0 == name);
        if self.view.epoch_of(name).is_some() {
            if let Some(position) = position {
                missed_checks.remove(position);
            }
            return false;
        }
        if let Some(position) = position {
            missed_checks[position].1 += 1;
            return missed_checks[position].1 >= MISSED_CHECK_LIMIT;
        }
        missed_checks.push((name.to_owned(), 1));
        false
    }

    /// Removes finished jobs and unused files whose retention has expired.
    async fn sweep(&self) {
        let Some(client) = &self.state.key_value else {
            return;
        };
        let range = KeyRange::Prefix(JobRecord::done_prefix().to_owned());
        let Ok(page) = client.range(CallPurpose::Job, &range, MAX_SWEPT_ENTRIES).await else {
            return;
        };
        let retention = self.state.config.borrow().config().defaults.retention_hours * HOUR_MS;
        let oldest_ms = self.state.clock.wall_millis().saturating_sub(retention);
        for entry in &page.entries {
            let Some(job) = decode_job(entry) else { continue };
            let expired = job.record.ended_ms < oldest_ms;
            if expired && self.is_sweeper(&job.record.id, &job.record.replicas) {
                self.remove_job_data(&job.record, job.revision).await;
            }
        }
        self.sweep_files(client, oldest_ms).await;
    }

    /// Returns whether this instance is the live replica that removes the data of a job or file.
    fn is_sweeper(&self, id: &str, replicas: &[String]) -> bool {
        let own = &self.state.settings.name;
        let live =
            replicas.iter().filter(|name| *name == own || self.view.epoch_of(name).is_some());
        live.min_by_key(|name| stable_hash(&[id, name])) == Some(own)
    }

    /// Removes the stored keys of a finished job, then its journal.
    async fn remove_job_data(&self, record: &JobRecord, revision: u64) {
        let Some(client) = &self.state.key_value else {
            return;
        };
        let done_key = JobRecord::done_key_of(&record.id);
        let transaction = Transaction::for_key(&done_key)
            .if_revision(&done_key, revision)
            .delete(&KeyRange::Single(done_key.clone()))
            .delete(&KeyRange::Prefix(ChunkCommit::prefix_of(&record.id)));
        let outcome = client.transact(CallPurpose::Job, &transaction).await;
        if let Ok(WriteOutcome::Done(_)) = outcome {
            for replica in &record.replicas {
                self.journals.remove_from(replica, &record.id).await;
            }
        }
    }

    /// Removes files whose retention has expired and that no unfinished job uses.
    async fn sweep_files(&self, client: &KeyValueClient, oldest_ms: u64) {
        let range = KeyRange::Prefix(FileRecord::prefix().to_owned());
        let Ok(page) = client.range(CallPurpose::Job, &range, MAX_SWEPT_ENTRIES).await else {
            return;
        };
        let jobs = self.view.jobs();
        for entry in &page.entries {
            let Ok(file) = serde_json::from_slice::<FileRecord>(&entry.value) else {
                continue;
            };
            let used = jobs.iter().any(|job| job.record.file == file.id);
            if used || file.created_ms >= oldest_ms || !self.is_sweeper(&file.id, &file.replicas) {
                continue;
            }
            let key = FileRecord::key_of(&file.id);
            let transaction = Transaction::for_key(&key)
                .if_revision(&key, entry.revision)
                .delete(&KeyRange::Single(key.clone()));
            let outcome = client.transact(CallPurpose::Job, &transaction).await;
            if let Ok(WriteOutcome::Done(_)) = outcome {
                for replica in &file.replicas {
                    self.journals.remove_from(replica, &file.id).await;
                }
            }
        }
    }
}
