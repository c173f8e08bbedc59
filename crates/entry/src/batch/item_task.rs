//! Carries out what the job table asks for.

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
use super::job_runtime::JobRuntime;
use super::job_runtime::count_results;
use super::journal_client::decode_record;

/// Longest time to settle a commit before it is tried anew.
const COMMIT_PATIENCE: Duration = Duration::from_secs(3);

/// Pause before a write that too few disks took is tried again.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

impl BatchCoordinator {
    /// Carries out one command of the table.
    pub(super) fn carry_out(self: &Rc<Self>, command: JobCommand) {
        match command {
            JobCommand::LoadChunk(id, chunk) => {
                self.with_runtime(id, |this, job| async move { this.load_chunk(job, chunk).await });
            }
            JobCommand::RecordIntents(id, items) => {
                self.with_runtime(id, |this, job| async move {
                    this.record_intents(job, items).await;
                });
            }
            JobCommand::HandOver(id, item) => {
                self.with_runtime(id, |this, job| async move { this.run_item(job, item).await });
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
                self.with_runtime(id, |this, job| async move {
                    this.commit_chunk(job, chunk).await;
                });
            }
            JobCommand::FinishJob(id) => {
                self.with_runtime(id, |this, job| async move { this.finish_job(job).await });
            }
            JobCommand::ReportRisk(id) => {
                if let Some(job) = self.runtime(id) {
                    log::warn!("job {} will probably be late", job.record.borrow().id);
                    self.state.metrics.jobs_at_risk.inc();
                }
            }
            // The table has forgotten the job, so its runtime is found among those that end.
            JobCommand::CancelItem(id, item) => {
                if let Some(job) = self.runtime(id) {
                    job.cancel(item);
                }
            }
        }
    }

    /// Reads the lines of a chunk into memory.
    async fn load_chunk(self: Rc<Self>, job: Rc<JobRuntime>, chunk: u32) {
        while !job.ended.get() {
            if let Some(lines) = self.find_lines(&job, chunk).await {
                job.put_lines(chunk, lines);
                self.handle(JobEvent::ChunkLoaded(job.id, chunk));
                return;
            }
            log::error!("chunk {chunk} of job {} cannot be read now", job.record.borrow().id);
            monoio::time::sleep(WRITE_PAUSE).await;
        }
    }

    /// Finds the lines of a chunk, at the known place or on any replica.
    async fn find_lines(&self, job: &JobRuntime, chunk: u32) -> Option<Vec<String>> {
        let record = job.record.borrow().clone();
        let known = job.chunk_pages.binary_search_by_key(&chunk, |row| row.0);
        if let Ok(place) = known {
            let position = job.chunk_pages[place].1;
            let own = &self.state.settings.name;
            let page = self.journals.read_at(own, &record.file, position).await;
            if let Some(lines) = page.and_then(|page| lines_in(&page.records, &record, chunk)) {
                return Some(lines);
            }
        }
        for replica in &record.replicas {
            let mut position = 0;
            while let Some(page) = self.journals.read_at(replica, &record.file, position).await {
                if page.records.is_empty() {
                    break;
                }
                if let Some(lines) = lines_in(&page.records, &record, chunk) {
                    return Some(lines);
                }
                position = page.next_position;
            }
        }
        None
    }

    /// Makes the intents of items durable.
    async fn record_intents(self: Rc<Self>, job: Rc<JobRuntime>, intents: Vec<(u32, u8)>) {
        let items: Vec<u32> = intents.iter().map(|(item, _)| *item).collect();
        let record = JournalRecord::Intent { epoch: job.epoch, items: intents };
        let event = if self.write(&job, &record).await {
            JobEvent::IntentsDurable(job.id, items)
        } else {
            JobEvent::IntentsFailed(job.id, items)
        };
        self.handle(event);
    }

    /// Runs an item once.
    async fn run_item(self: Rc<Self>, job: Rc<JobRuntime>, item: u32) {
        let begin = Instant::now();
        let line = job.line(item);
        let not_after_ms = self.lease.valid_until_ms();
        // The lease may have ended since the table decided, and nothing may be handed over then.
        let line = line.filter(|_| self.lease.epoch() == Some(job.epoch) && !job.ended.get());
        let Some(line) = line else {
            self.handle(JobEvent::ItemEnded(job.id, item, AttemptOutcome::NotRun, Duration::ZERO));
            return;
        };
        let stopped = job.register(item);
        let (organisation, repeatable, request_id) = {
            let record = job.record.borrow();
            (record.organisation.clone(), record.repeatable, format!("{}-{item}", record.id))
        };
        let run = ItemRun {
            item,
            line: &line,
            not_after_ms,
            organisation: &organisation,
            partial: job.take_partial(item),
            repeatable,
            request_id,
            state: &self.state,
            weight: job.weight,
        };
        let report = monoio::select! {
            report = run.run() => report,
            _ = stopped => {
                self.handle(JobEvent::ItemEnded(job.id, item, AttemptOutcome::Lost, begin.elapsed()));
                return;
            }
        };
        job.cancel(item);
        job.put_partial(item, report.partial);
        if let Some(result) = report.result {
            job.unflushed.borrow_mut().push(result);
        }
        self.handle(JobEvent::ItemEnded(job.id, item, report.end, begin.elapsed()));
    }

    /// Ends an item without an answer.
    fn end_item(&self, id: JobId, item: u32, state: ResultState, reason: &str) {
        let Some(job) = self.runtime(id) else { return };
        let line = job.line(item).unwrap_or_default();
        job.unflushed.borrow_mut().push(failed_result(&line, item, state, reason));
    }

    /// Makes the results that have come since the last time durable.
    pub(super) async fn flush_results(self: Rc<Self>, job: Rc<JobRuntime>) {
        let results: Vec<ItemResult> = std::mem::take(&mut *job.unflushed.borrow_mut());
        let record = JournalRecord::Results { epoch: job.epoch, results };
        let written = self.write(&job, &record).await;
        let JournalRecord::Results { results, .. } = record else {
            return;
        };
        if written {
            let items = results.iter().map(|result| result.item).collect();
            for result in results {
                job.put_result(result);
            }
            job.flushing.set(false);
            self.handle(JobEvent::ResultsDurable(job.id, items));
        } else {
            job.unflushed.borrow_mut().extend(results);
            monoio::time::sleep(WRITE_PAUSE).await;
            job.flushing.set(false);
        }
    }

    /// Writes a chunk's results in order and commits them.
    async fn commit_chunk(self: Rc<Self>, job: Rc<JobRuntime>, chunk: u32) {
        let committed = self.try_commit(&job, chunk).await;
        if committed {
            job.close_chunk(chunk);
            let detail = format!("chunk={chunk} epoch={}", job.epoch);
            let id = job.record.borrow().id.clone();
            self.state.events.record(EventKind::ChunkCommitted, &id, detail);
            self.handle(JobEvent::ChunkCommitted(job.id, chunk));
        } else {
            monoio::time::sleep(WRITE_PAUSE).await;
            self.handle(JobEvent::CommitFailed(job.id, chunk));
        }
    }

    /// Tries to commit a chunk.
    async fn try_commit(self: &Rc<Self>, job: &Rc<JobRuntime>, chunk: u32) -> bool {
        let Some(client) = &self.state.key_value else {
            return false;
        };
        let Some(results) = job.chunk_results(chunk) else {
            return false;
        };
        let counts = count_results(&results);
        if !job.chunks_written.borrow().contains(&chunk) {
            let record = JournalRecord::Chunk { chunk, epoch: job.epoch, results };
            if !self.write(job, &record).await {
                return false;
            }
            job.chunks_written.borrow_mut().push(chunk);
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
        let patience = COMMIT_PATIENCE;
        let answer =
            client.transact_with_retry(CallPurpose::Commit, &transaction, &value, patience).await;
        match answer {
            Ok(WriteOutcome::Done(_)) => true,
            Ok(WriteOutcome::Conflict(Some(entry))) => {
                let known = serde_json::from_slice::<ChunkCommit>(&entry.value);
                if known.is_ok_and(|known| known.epoch == job.epoch) {
                    return true;
                }
                self.stop(job);
                false
            }
            Ok(WriteOutcome::Conflict(None)) => {
                self.review_ownership(job).await;
                false
            }
            Err(fault) => {
                log::warn!("commit of chunk {chunk} of job {id}: {fault}");
                false
            }
        }
    }

    /// Ends a job whose chunks are all committed.
    async fn finish_job(self: Rc<Self>, job: Rc<JobRuntime>) {
        while !job.ended.get() {
            let record = job.record.borrow().clone();
            let revision = job.revision.get();
            let lease = Some((self.lease.key(), job.epoch));
            match self.end_job(&record, revision, JobState::Completed, lease).await {
                Ok(true) => {
                    self.stop(&job);
                    return;
                }
                Ok(false) => self.review_ownership(&job).await,
                Err(fault) => log::warn!("end of job {}: {fault}", record.id),
            }
            monoio::time::sleep(WRITE_PAUSE).await;
        }
    }

    /// Reads a job's record again after a conflict, and stops if it belongs to somebody else.
    async fn review_ownership(self: &Rc<Self>, job: &Rc<JobRuntime>) {
        let Some(client) = &self.state.key_value else {
            return;
        };
        let key = JobRecord::key_of(&job.record.borrow().id);
        let Ok(entry) = client.get(CallPurpose::Commit, &key).await else {
            return;
        };
        match entry.as_ref().and_then(super::job_view::job_of) {
            Some(found) if self.is_owned(&found.record, job.epoch) => {
                job.revision.set(found.revision);
                *job.record.borrow_mut() = found.record;
            }
            _ => self.stop(job),
        }
    }

    /// Writes a record on the job's replicas; tells whether enough have synced it.
    async fn write(&self, job: &JobRuntime, record: &JournalRecord) -> bool {
        let (journal, counted) = {
            let record = job.record.borrow();
            (record.id.clone(), record.replicas.clone())
        };
        let kept =
            self.journals.append(&job.write_set(), &journal, std::slice::from_ref(record)).await;
        job.note_kept(&kept);
        kept.iter().filter(|name| counted.contains(name)).count() >= self.min_replicas()
    }
}

/// Finds the lines of a chunk among records.
fn lines_in(records: &[Vec<u8>], record: &JobRecord, chunk: u32) -> Option<Vec<String>> {
    let first = chunk * record.chunk_items;
    records.iter().find_map(|bytes| match decode_record(bytes) {
        Some(JournalRecord::Items { first: found, lines }) if found == first => Some(lines),
        _ => None,
    })
}
