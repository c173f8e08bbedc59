//! Scheduling of the jobs of one owner.

use std::time::Duration;

use super::AttemptOutcome;
use super::ItemState;
use super::JobPlan;
use super::JobRecovery;
use super::chunk_row::ChunkRow;
use super::chunk_row::ChunkStage;
use super::item_row::ItemRow;
use super::job_order::JobBacklog;
use super::job_order::sort_jobs;
use crate::MonotonicTime;
use crate::admission::ShareTable;

/// Maximum number of open chunks per job.
const MAX_OPEN_CHUNKS_PER_JOB: usize = 4;

/// Maximum number of open chunks of all jobs, whose lines are held in memory.
const MAX_OPEN_CHUNKS: usize = 64;

/// Number of jobs at the front of the order that may open one chunk beyond [`MAX_OPEN_CHUNKS`].
const FRONT_JOBS: usize = 8;

/// Maximum number of intents that are written together.
const MAX_INTENT_GROUP: usize = 256;

/// Delay before the next attempt of an item that did not run or was preempted.
const NOT_RUN_DELAY: Duration = Duration::from_millis(20);

/// Delay after the first failed attempt of an item; doubles with each further one.
const FAILURE_BACKOFF: Duration = Duration::from_millis(200);

/// Weight of a new sample in the moving average of an item's run time.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Assumed run time of an item before the first sample, in seconds.
const INITIAL_ITEM_SECONDS: f64 = 1.0;

/// Identifies a job within its owner.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

/// Input of a [`JobTable`].
#[derive(Clone, Debug)]
pub enum JobEvent {
    /// The owner has claimed a job and recovered its progress.
    Added(JobId, JobPlan, Box<JobRecovery>),
    /// The input lines of a chunk are in memory.
    ChunkLoaded(JobId, u32),
    /// The intents of these items are durable.
    IntentsDurable(JobId, Vec<u32>),
    /// The intents of these items could not be written.
    IntentsFailed(JobId, Vec<u32>),
    /// An attempt at an item has ended after the given run time.
    ItemEnded(JobId, u32, AttemptOutcome, Duration),
    /// The results of these items are durable.
    ResultsDurable(JobId, Vec<u32>),
    /// A chunk is committed.
    ChunkCommitted(JobId, u32),
    /// The commit of a chunk failed and may be retried.
    CommitFailed(JobId, u32),
    /// The job was cancelled, or has a new owner.
    Removed(JobId),
    /// Time has passed; carries the number of items that can be handed over now.
    Ticked(usize),
}

/// Output of a [`JobTable`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobCommand {
    /// Read the input lines of a chunk.
    LoadChunk(JobId, u32),
    /// Write the intents of these items, each with its attempt number.
    RecordIntents(JobId, Vec<(u32, u8)>),
    /// Hand an item over to a target.
    HandOver(JobId, u32),
    /// Write a failed result for an item that has used up its attempts.
    FailItem(JobId, u32),
    /// Write an unknown result for an item that may or may not have run.
    MarkUnknown(JobId, u32),
    /// Write the results of a chunk in item order and commit it.
    CommitChunk(JobId, u32),
    /// Finish a job whose chunks are all committed.
    FinishJob(JobId),
    /// Report that a job will probably miss its due time.
    ReportRisk(JobId),
    /// Cancel a running item.
    CancelItem(JobId, u32),
}

/// The state of one job.
#[derive(Clone, Debug)]
struct JobRow {
    /// Open chunks.
    chunks: Vec<ChunkRow>,
    /// Number of committed chunks.
    committed: u32,
    /// Whether `FinishJob` was issued.
    finishing: bool,
    id: JobId,
    /// Next chunk to open.
    next_chunk: u32,
    plan: JobPlan,
    recovery: Box<JobRecovery>,
    /// Whether `ReportRisk` was issued.
    risk_reported: bool,
}

/// Schedules the items and chunks of the jobs of one owner.
#[derive(Clone, Debug)]
pub struct JobTable {
    in_flight: usize,
    /// Moving average of the run time of an item, in seconds.
    item_seconds: f64,
    /// Sorted by id.
    rows: Vec<JobRow>,
    shares: ShareTable,
}

impl Default for JobTable {
    fn default() -> Self {
        Self {
            in_flight: 0,
            item_seconds: INITIAL_ITEM_SECONDS,
            rows: Vec::new(),
            shares: ShareTable::default(),
        }
    }
}

impl JobTable {
    /// Processes an event and appends the resulting commands to `commands`.
    pub fn handle(&mut self, now: MonotonicTime, event: JobEvent, commands: &mut Vec<JobCommand>) {
        match event {
            JobEvent::Added(id, plan, recovery) => self.add(id, plan, recovery, commands),
            JobEvent::ChunkLoaded(id, chunk) => self.chunk_loaded(id, chunk, commands),
            JobEvent::IntentsDurable(id, items) => {
                self.set_states(id, &items, ItemState::WritingIntent, ItemState::Ready);
            }
            JobEvent::IntentsFailed(id, items) => self.intents_failed(now, id, &items),
            JobEvent::ItemEnded(id, item, outcome, run_time) => {
                self.item_ended(now, id, item, outcome, run_time, commands);
            }
            JobEvent::ResultsDurable(id, items) => self.results_durable(id, &items, commands),
            JobEvent::ChunkCommitted(id, chunk) => self.chunk_committed(id, chunk, commands),
            JobEvent::CommitFailed(id, chunk) => {
                if let Some(open_chunk) = self.chunk_mut(id, chunk) {
                    open_chunk.stage = ChunkStage::Running;
                }
            }
            JobEvent::Removed(id) => self.remove(id, commands),
            JobEvent::Ticked(free) => self.tick(now, free, commands),
        }
    }

    /// Returns the number of items that were handed over and whose attempt has not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the ids of the jobs, in ascending order.
    #[must_use]
    pub fn jobs(&self) -> Vec<JobId> {
        self.rows.iter().map(|row| row.id).collect()
    }

    /// Adds a claimed job.
    fn add(
        &mut self,
        id: JobId,
        plan: JobPlan,
        recovery: Box<JobRecovery>,
        commands: &mut Vec<JobCommand>,
    ) {
        let Err(position) = self.rows.binary_search_by_key(&id, |row| row.id) else {
            return;
        };
        let committed = recovery.committed().len() as u32;
        let row = JobRow {
            chunks: Vec::new(),
            committed,
            finishing: false,
            id,
            next_chunk: 0,
            plan,
            recovery,
            risk_reported: false,
        };
        self.rows.insert(position, row);
        self.finish_if_done(position, commands);
    }

    /// Opens further chunks of a job; `rank` is its place in the order, counted from 0.
    fn open_chunks(&mut self, position: usize, rank: usize, commands: &mut Vec<JobCommand>) {
        let open_count: usize = self.rows.iter().map(|row| row.chunks.len()).sum();
        let row = &mut self.rows[position];
        let own = row.chunks.len();
        let may_exceed_limit = rank < FRONT_JOBS && own == 0;
        let room = if may_exceed_limit { 1 } else { MAX_OPEN_CHUNKS.saturating_sub(open_count) };
        let limit = MAX_OPEN_CHUNKS_PER_JOB.min(own + room);
        while row.chunks.len() < limit && row.next_chunk < row.plan.chunks() {
            let chunk = row.next_chunk;
            row.next_chunk += 1;
            if row.recovery.is_committed(chunk) {
                continue;
            }
            let range = row.plan.chunk_range(chunk);
            let rows = range.clone().map(|item| ItemRow::new(row.recovery.attempts_of(item)));
            let rows = rows.collect();
            let stage = ChunkStage::Loading;
            row.chunks.push(ChunkRow { chunk, first_item: range.start, rows, stage });
            commands.push(JobCommand::LoadChunk(row.id, chunk));
        }
    }

    /// Starts the items of a chunk, except those that an earlier owner finished.
    fn chunk_loaded(&mut self, id: JobId, chunk: u32, commands: &mut Vec<JobCommand>) {
        let Ok(position) = self.position(id) else {
            return;
        };
        let row = &mut self.rows[position];
        let (plan, recovery) = (row.plan, &row.recovery);
        let Some(open_chunk) = row.chunks.iter_mut().find(|open_chunk| open_chunk.chunk == chunk)
        else {
            return;
        };
        open_chunk.stage = ChunkStage::Running;
        for item in plan.chunk_range(chunk) {
            let index = (item - open_chunk.first_item) as usize;
            let item_row = &mut open_chunk.rows[index];
            if recovery.result_of(item).is_some() {
                item_row.state = ItemState::ResultDurable;
            } else if item_row.attempts > 0 && !plan.repeatable {
                // An earlier owner may have handed it over, and it must not run twice.
                item_row.state = ItemState::WritingResult;
                commands.push(JobCommand::MarkUnknown(id, item));
            } else if item_row.attempts >= plan.attempts {
                item_row.state = ItemState::WritingResult;
                commands.push(JobCommand::FailItem(id, item));
            }
        }
        commit_if_durable(id, open_chunk, commands);
    }

    /// Delays items whose intents could not be written until another attempt.
    fn intents_failed(&mut self, now: MonotonicTime, id: JobId, items: &[u32]) {
        for item in items {
            if let Some(row) = self.item_mut(id, *item)
                && row.state == ItemState::WritingIntent
            {
                // A replica may have stored the intent, so its attempt number counts as used.
                row.state = ItemState::Pending;
                row.not_before = now + FAILURE_BACKOFF;
            }
        }
    }

    /// Processes the outcome of an attempt at an item.
    fn item_ended(
        &mut self,
        now: MonotonicTime,
        id: JobId,
        item: u32,
        outcome: AttemptOutcome,
        run_time: Duration,
        commands: &mut Vec<JobCommand>,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if outcome == AttemptOutcome::Final {
            self.item_seconds += SAMPLE_WEIGHT * (run_time.as_secs_f64() - self.item_seconds);
        }
        let Ok(position) = self.position(id) else {
            return;
        };
        let plan = self.rows[position].plan;
        let Some(row) = self.item_mut(id, item) else {
            return;
        };
        if row.state != ItemState::InFlight {
            return;
        }
        match outcome {
            AttemptOutcome::Final => row.state = ItemState::WritingResult,
            AttemptOutcome::NotRun | AttemptOutcome::Preempted => {
                row.state = ItemState::Ready;
                row.not_before = now + NOT_RUN_DELAY;
            }
            AttemptOutcome::Lost if !plan.repeatable => {
                row.state = ItemState::WritingResult;
                commands.push(JobCommand::MarkUnknown(id, item));
            }
            AttemptOutcome::Failed | AttemptOutcome::Lost => {
                if row.attempts >= plan.attempts || !plan.repeatable {
                    row.state = ItemState::WritingResult;
                    commands.push(JobCommand::FailItem(id, item));
                } else {
                    row.state = ItemState::Pending;
                    let doublings = u32::from(row.attempts.min(8)).saturating_sub(1);
                    row.not_before = now + FAILURE_BACKOFF * 2_u32.pow(doublings);
                }
            }
        }
    }

    /// Marks results as durable and commits the chunks that they complete.
    fn results_durable(&mut self, id: JobId, items: &[u32], commands: &mut Vec<JobCommand>) {
        self.set_states(id, items, ItemState::WritingResult, ItemState::ResultDurable);
        let Ok(position) = self.position(id) else {
            return;
        };
        for open_chunk in &mut self.rows[position].chunks {
            commit_if_durable(id, open_chunk, commands);
        }
    }

    /// Closes a committed chunk and finishes the job if it was the last.
    fn chunk_committed(&mut self, id: JobId, chunk: u32, commands: &mut Vec<JobCommand>) {
        let Ok(position) = self.position(id) else {
            return;
        };
        let row = &mut self.rows[position];
        let before = row.chunks.len();
        row.chunks.retain(|open_chunk| open_chunk.chunk != chunk);
        if row.chunks.len() == before {
            return;
        }
        row.committed += 1;
        self.finish_if_done(position, commands);
    }

    /// Removes a job and cancels its running items.
    fn remove(&mut self, id: JobId, commands: &mut Vec<JobCommand>) {
        let Ok(position) = self.position(id) else {
            return;
        };
        let row = self.rows.remove(position);
        for open_chunk in &row.chunks {
            let items = open_chunk.rows.iter().enumerate();
            for (index, _) in items.filter(|(_, row)| row.state == ItemState::InFlight) {
                commands.push(JobCommand::CancelItem(id, open_chunk.first_item + index as u32));
            }
        }
    }

    /// Runs the time-dependent steps and fills `free` slots in the order of the jobs.
    fn tick(&mut self, now: MonotonicTime, free: usize, commands: &mut Vec<JobCommand>) {
        self.retry_commits(commands);
        self.report_risks(now, commands);
        let mut free_slots = free;
        for (rank, position) in self.ordered_positions(now).into_iter().enumerate() {
            self.open_chunks(position, rank, commands);
            if free_slots == 0 {
                continue;
            }
            free_slots = self.hand_over(now, position, free_slots, commands);
            self.record_intents(now, position, free, commands);
        }
        self.shares.expire();
    }

    /// Retries failed commits of chunks.
    fn retry_commits(&mut self, commands: &mut Vec<JobCommand>) {
        for row in &mut self.rows {
            for open_chunk in &mut row.chunks {
                commit_if_durable(row.id, open_chunk, commands);
            }
        }
    }

    /// Reports each job once when it will probably miss its due time.
    fn report_risks(&mut self, now: MonotonicTime, commands: &mut Vec<JobCommand>) {
        let seconds = self.seconds_per_item();
        for row in &mut self.rows {
            if !row.risk_reported && row.backlog().is_at_risk(now, seconds) {
                row.risk_reported = true;
                commands.push(JobCommand::ReportRisk(row.id));
            }
        }
    }

    /// Returns the positions of the jobs in the order in which they receive slots.
    fn ordered_positions(&self, now: MonotonicTime) -> Vec<usize> {
        let rows = self.rows.iter().enumerate();
        let mut jobs: Vec<(JobBacklog, usize)> =
            rows.map(|(position, row)| (row.backlog(), position)).collect();
        sort_jobs(now, self.seconds_per_item(), &self.shares, &mut jobs);
        jobs.into_iter().map(|(_, position)| position).collect()
    }

    /// Hands over up to `slots` ready items of a job. Returns the number of slots left.
    fn hand_over(
        &mut self,
        now: MonotonicTime,
        position: usize,
        slots: usize,
        commands: &mut Vec<JobCommand>,
    ) -> usize {
        let row = &mut self.rows[position];
        let mut left = slots;
        for open_chunk in &mut row.chunks {
            for item in open_chunk.due_items(now, ItemState::Ready, left) {
                open_chunk.rows[(item - open_chunk.first_item) as usize].state =
                    ItemState::InFlight;
                commands.push(JobCommand::HandOver(row.id, item));
                left -= 1;
            }
        }
        let handed_over = slots - left;
        self.in_flight += handed_over;
        if handed_over > 0 {
            self.shares.charge(row.plan.organisation, handed_over as u32, row.plan.weight);
        }
        left
    }

    /// Requests intents for as many items of a job as could be handed over soon.
    fn record_intents(
        &mut self,
        now: MonotonicTime,
        position: usize,
        free: usize,
        commands: &mut Vec<JobCommand>,
    ) {
        let row = &mut self.rows[position];
        let wanted = (free * 2).min(MAX_INTENT_GROUP);
        let count =
            |state| row.chunks.iter().map(|open_chunk| open_chunk.count(state)).sum::<usize>();
        let prepared = count(ItemState::Ready) + count(ItemState::WritingIntent);
        let mut room = wanted.saturating_sub(prepared);
        let mut intents = Vec::new();
        for open_chunk in
            row.chunks.iter_mut().filter(|open_chunk| open_chunk.stage == ChunkStage::Running)
        {
            for item in open_chunk.due_items(now, ItemState::Pending, room) {
                let item_row = &mut open_chunk.rows[(item - open_chunk.first_item) as usize];
                item_row.attempts = item_row.attempts.saturating_add(1);
                item_row.state = ItemState::WritingIntent;
                intents.push((item, item_row.attempts));
                room -= 1;
            }
        }
        if !intents.is_empty() {
            commands.push(JobCommand::RecordIntents(row.id, intents));
        }
    }

    /// Returns the mean time between item completions at the present concurrency, in seconds.
    fn seconds_per_item(&self) -> f64 {
        self.item_seconds / self.in_flight.max(1) as f64
    }

    /// Moves those of the items that are in state `from` to state `to`.
    fn set_states(&mut self, id: JobId, items: &[u32], from: ItemState, to: ItemState) {
        for item in items {
            if let Some(row) = self.item_mut(id, *item)
                && row.state == from
            {
                row.state = to;
            }
        }
    }

    /// Finishes a job whose chunks are all committed.
    fn finish_if_done(&mut self, position: usize, commands: &mut Vec<JobCommand>) {
        let row = &mut self.rows[position];
        if row.committed == row.plan.chunks() && !row.finishing {
            row.finishing = true;
            commands.push(JobCommand::FinishJob(row.id));
        }
    }

    /// Returns an item of an open chunk for modification.
    fn item_mut(&mut self, id: JobId, item: u32) -> Option<&mut ItemRow> {
        let position = self.position(id).ok()?;
        let row = &mut self.rows[position];
        let chunk = item / row.plan.chunk_items.max(1);
        row.chunks.iter_mut().find(|open_chunk| open_chunk.chunk == chunk)?.item_mut(item)
    }

    /// Returns an open chunk for modification.
    fn chunk_mut(&mut self, id: JobId, chunk: u32) -> Option<&mut ChunkRow> {
        let position = self.position(id).ok()?;
        self.rows[position].chunks.iter_mut().find(|open_chunk| open_chunk.chunk == chunk)
    }

    /// Returns the index of a job's row, or the index at which to insert it.
    fn position(&self, id: JobId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&id, |row| row.id)
    }
}

impl JobRow {
    /// Returns the remaining work of the job.
    fn backlog(&self) -> JobBacklog {
        let chunks = self.plan.chunks() - self.committed;
        let remaining_items = (chunks * self.plan.chunk_items).min(self.plan.items);
        JobBacklog { plan: self.plan, remaining_items }
    }
}

/// Commits a running chunk if all its results are durable.
fn commit_if_durable(id: JobId, open_chunk: &mut ChunkRow, commands: &mut Vec<JobCommand>) {
    if open_chunk.stage == ChunkStage::Running && open_chunk.is_durable() {
        open_chunk.stage = ChunkStage::Committing;
        commands.push(JobCommand::CommitChunk(id, open_chunk.chunk));
    }
}
