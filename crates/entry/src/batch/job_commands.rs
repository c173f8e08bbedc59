//! Executes the commands of the job table.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use cv_key_value::CallPurpose;
use cv_key_value::Transaction;
use cv_key_value::WriteOutcome;
use cv_policy::batch::AttemptOutcome;
use cv_policy::batch::ChunkCommit;
use cv_policy::batch::ItemResult;
use cv_policy::batch::JobCommand;
use cv_policy::batch::JobEvent;
use cv_policy::batch::JobId;
use cv_policy::batch::JobRecord;
use cv_policy::batch::JobState;
use cv_policy::batch::JournalRecord;
use cv_policy::batch::ResultState;
use cv_timeline::EventKind;

use super::batch_coordinator::BatchCoordinator;
use super::item_run::ItemRun;
use super::item_run::failed_result;
use super::journal_client::decode_record;
use super::owned_job::OwnedJob;
use super::owned_job::count_results;

/// Timeout for the transaction that commits a chunk; the commit is attempted again afterwards.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before a failed read, write or commit is attempted again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl BatchCoordinator {
    /// Executes one command of the job table.
    pub(super) fn execute(self: &Rc<Self>, command: JobCommand) {
        match command {
            JobCommand::LoadChunk(id, chunk) => {
                self.spawn_for_job(
                    id,
                    |this, job| async move { this.load_chunk(job, chunk).await },
                );
            }
            JobCommand::RecordIntents(id, items) => {
                self.spawn_for_job(id, |this, job| async move {
                    this.record_intents(job, items).await;
                });
            }
            JobCommand::HandOver(id, item) => {
                self.spawn_for_job(id, |this, job| async move { this.run_item(job, item).await });
            }
            JobCommand::FailItem(id, item) => {
                let reason = "the item's attempts are used up";
                self.end_item(id, item, ResultState::Failed, reason);
            }
            JobCommand::MarkUnknown(id, item) => {
                let reason = "the item was handed over, its answer was lost, and it may not be \
                              repeated";
                self.end_item(id, item, ResultState::Unknown, reason);
            }
            JobCommand::CommitChunk(id, chunk) => {
                self.spawn_for_job(id, |this, job| async move {
                    this.commit_chunk(job, chunk).await;
                });
            }
            JobCommand::FinishJob(id) => {
                self.spawn_for_job(id, |this, job| async move { this.finish_job(job).await });
            }
            JobCommand::ReportRisk(id) => {
                if let Some(job) = self.owned_job(id) {
                    log::warn!("job {} will probably miss its due time", job.record.borrow().id);
                    self.state.metrics.jobs_at_risk.inc();
                }
            }
            // The table removes a job before it cancels the items, while `owned_jobs` still has it.
            JobCommand::CancelItem(id, item) => {
                if let Some(job) = self.owned_job(id) {
                    job.cancel_item(item);
                }
            }
        }
    }

    /// Loads a chunk's input lines; retries until that succeeds or the job stops.
    async fn load_chunk(self: Rc<Self>, job: Rc<OwnedJob>, chunk: u32) {
        while !job.stopped.get() {
            if let Some(lines) = self.read_chunk_lines(&job, chunk).await {
                job.add_chunk_lines(chunk, lines);
                self.handle(JobEvent::ChunkLoaded(job.id, chunk));
                return;
            }
            log::error!(
                "failed to read chunk {chunk} of job {} from any replica, will try again",
                job.record.borrow().id
            );
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the input lines of a chunk, from the known page of the local journal or any replica.
    async fn read_chunk_lines(&self, job: &OwnedJob, chunk: u32) -> Option<Vec<String>> {
        let record = job.record.borrow().clone();
        let found = job.chunk_pages.binary_search_by_key(&chunk, |row| row.0);
        if let Ok(index) = found {
            let position = job.chunk_pages[index].1;
            let own = &self.state.settings.name;
            let page = self.journals.read_from(own, &record.file, position).await;
            if let Some(lines) =
                page.and_then(|page| find_chunk_lines(&page.records, &record, chunk))
            {
                return Some(lines);
            }
        }
        for replica in &record.replicas {
            let mut position = 0;
            while let Some(page) = self.journals.read_from(replica, &record.file, position).await {
                if page.records.is_empty() {
                    break;
                }
                if let Some(lines) = find_chunk_lines(&page.records, &record, chunk) {
                    return Some(lines);
                }
                position = page.next_position;
            }
        }
        None
    }

    /// Writes the intents of items, each with its attempt number, to the journal.
    async fn record_intents(self: Rc<Self>, job: Rc<OwnedJob>, intents: Vec<(u32, u8)>) {
        let items: Vec<u32> = intents.iter().map(|(item, _)| *item).collect();
        let record = JournalRecord::Intent { epoch: job.epoch, items: intents };
        let event = if self.write_record(&job, &record).await {
            JobEvent::IntentsDurable(job.id, items)
        } else {
            JobEvent::IntentsFailed(job.id, items)
        };
        self.handle(event);
    }

    /// Runs an item once and passes the outcome to the job table.
    async fn run_item(self: Rc<Self>, job: Rc<OwnedJob>, item: u32) {
        let start = Instant::now();
        let line = job.line(item);
        let not_after_ms = self.lease.valid_until_ms();
        // The lease may have ended since the table decided; without it nothing may be handed over.
        let line = line.filter(|_| self.lease.epoch() == Some(job.epoch) && !job.stopped.get());
        let Some(line) = line else {
            self.handle(JobEvent::ItemEnded(job.id, item, AttemptOutcome::NotRun, Duration::ZERO));
            return;
        };
        let cancelled = job.register_item(item);
        let (organisation, repeatable, request_id) = {
            let record = job.record.borrow();
            (record.organisation.clone(), record.repeatable, format!("{}-{item}", record.id))
        };
        let run = ItemRun {
            item,
            line: &line,
            not_after_ms,
            organisation: &organisation,
            partial_output: job.take_partial_output(item),
            repeatable,
            request_id,
            state: &self.state,
            weight: job.weight,
        };
        let report = monoio::select! {
            report = run.run() => report,
            _ = cancelled => {
                self.handle(JobEvent::ItemEnded(job.id, item, AttemptOutcome::Lost, start.elapsed()));
                return;
            }
        };
        job.cancel_item(item);
        job.put_partial_output(item, report.partial_output);
        if let Some(result) = report.result {
            job.unflushed_results.borrow_mut().push(result);
        }
        self.handle(JobEvent::ItemEnded(job.id, item, report.outcome, start.elapsed()));
    }

    /// Adds the result of an item that has no response.
    fn end_item(&self, id: JobId, item: u32, state: ResultState, reason: &str) {
        let Some(job) = self.owned_job(id) else { return };
        let line = job.line(item).unwrap_or_default();
        job.unflushed_results.borrow_mut().push(failed_result(&line, item, state, reason));
    }

    /// Writes the results since the last flush to the journal.
    pub(super) async fn flush_results(self: Rc<Self>, job: Rc<OwnedJob>) {
        let results: Vec<ItemResult> = std::mem::take(&mut *job.unflushed_results.borrow_mut());
        let record = JournalRecord::Results { epoch: job.epoch, results };
        let written = self.write_record(&job, &record).await;
        let JournalRecord::Results { results, .. } = record else {
            return;
        };
        if written {
            let items = results.iter().map(|result| result.item).collect();
            for result in results {
                job.add_result(result);
            }
            job.flushing.set(false);
            self.handle(JobEvent::ResultsDurable(job.id, items));
        } else {
            job.unflushed_results.borrow_mut().extend(results);
            monoio::time::sleep(RETRY_DELAY).await;
            job.flushing.set(false);
        }
    }

    /// Commits a chunk and passes the outcome to the job table.
    async fn commit_chunk(self: Rc<Self>, job: Rc<OwnedJob>, chunk: u32) {
        let committed = self.try_commit(&job, chunk).await;
        if committed {
            job.remove_chunk(chunk);
            let detail = format!("chunk={chunk} epoch={}", job.epoch);
            let id = job.record.borrow().id.clone();
            self.state.events.record(EventKind::ChunkCommitted, &id, detail);
            self.handle(JobEvent::ChunkCommitted(job.id, chunk));
        } else {
            monoio::time::sleep(RETRY_DELAY).await;
            self.handle(JobEvent::CommitFailed(job.id, chunk));
        }
    }

    /// Writes a chunk's results in item order and commits them; returns whether that succeeded.
    ///
    /// Stops the job if another owner has committed the chunk.
    async fn try_commit(self: &Rc<Self>, job: &Rc<OwnedJob>, chunk: u32) -> bool {
        let Some(client) = &self.state.key_value else {
            return false;
        };
        let Some(results) = job.chunk_results(chunk) else {
            return false;
        };
        let counts = count_results(&results);
        if !job.written_chunks.borrow().contains(&chunk) {
            let record = JournalRecord::Chunk { chunk, epoch: job.epoch, results };
            if !self.write_record(job, &record).await {
                return false;
            }
            job.written_chunks.borrow_mut().push(chunk);
        }
        let id = job.record.borrow().id.clone();
        let commit = ChunkCommit { counts, epoch: job.epoch, write_id: self.state.new_id() };
        let value = serde_json::to_vec(&commit).unwrap_or_default();
        let (key, job_key) = (ChunkCommit::key_of(&id, chunk), JobRecord::key_of(&id));
        let transaction = Transaction::for_key(&key)
            .if_revision(&key, 0)
            .if_revision(&job_key, job.revision.get())
            .if_revision(&self.lease.key(), job.epoch)
            .put(&key, &value);
        let timeout = COMMIT_TIMEOUT;
        let outcome =
            client.transact_with_retry(CallPurpose::Commit, &transaction, &value, timeout).await;
        match outcome {
            Ok(WriteOutcome::Done(_)) => true,
            Ok(WriteOutcome::Conflict(Some(entry))) => {
                let commit = serde_json::from_slice::<ChunkCommit>(&entry.value);
                if commit.is_ok_and(|commit| commit.epoch == job.epoch) {
                    return true;
                }
                self.stop_job(job);
                false
            }
            Ok(WriteOutcome::Conflict(None)) => {
                self.recheck_ownership(job).await;
                false
            }
            Err(fault) => {
                log::warn!("failed to commit chunk {chunk} of job {id}, will try again: {fault}");
                false
            }
        }
    }

    /// Moves a job whose chunks are all committed to its final state.
    async fn finish_job(self: Rc<Self>, job: Rc<OwnedJob>) {
        while !job.stopped.get() {
            let record = job.record.borrow().clone();
            let revision = job.revision.get();
            let lease = Some((self.lease.key(), job.epoch));
            match self.end_job(&record, revision, JobState::Completed, lease).await {
                Ok(true) => {
                    self.stop_job(&job);
                    return;
                }
                Ok(false) => self.recheck_ownership(&job).await,
                Err(fault) => {
                    log::warn!("failed to finish job {}, will try again: {fault}", record.id);
                }
            }
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Reads a job's record again after a conflict, and stops the job if this instance no longer
    /// owns it.
    async fn recheck_ownership(self: &Rc<Self>, job: &Rc<OwnedJob>) {
        let Some(client) = &self.state.key_value else {
            return;
        };
        let key = JobRecord::key_of(&job.record.borrow().id);
        let Ok(entry) = client.get(CallPurpose::Commit, &key).await else {
            return;
        };
        match entry.as_ref().and_then(super::job_view::decode_job) {
            Some(found) if self.is_owned(&found.record, job.epoch) => {
                job.revision.set(found.revision);
                *job.record.borrow_mut() = found.record;
            }
            _ => self.stop_job(job),
        }
    }

    /// Writes a record to the job's replicas; returns whether enough of them have synced it.
    ///
    /// Replicas that are still joining get the record but do not count.
    async fn write_record(&self, job: &OwnedJob, record: &JournalRecord) -> bool {
        let (journal, replicas) = {
            let record = job.record.borrow();
            (record.id.clone(), record.replicas.clone())
        };
        let synced = self
            .journals
            .append(&job.write_replicas(), &journal, std::slice::from_ref(record))
            .await;
        job.update_missed_writes(&synced);
        synced.iter().filter(|name| replicas.contains(name)).count() >= self.min_replicas()
    }
}

/// Returns the input lines of a chunk if one of the records contains them.
fn find_chunk_lines(records: &[Vec<u8>], record: &JobRecord, chunk: u32) -> Option<Vec<String>> {
    let first = chunk * record.chunk_items;
    records.iter().find_map(|bytes| match decode_record(bytes) {
        Some(JournalRecord::Items { first: start, lines }) if start == first => Some(lines),
        _ => None,
    })
}
