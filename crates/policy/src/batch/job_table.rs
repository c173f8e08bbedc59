//! The jobs of one owner.

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

/// Chunks of one job that may be open at once.
const OPEN_CHUNKS: usize = 4;

/// Chunks of all jobs that may be open at once, since their lines are in memory.
const ALL_OPEN_CHUNKS: usize = 64;

/// Jobs at the front of the order that may open a chunk beyond that bound.
const FRONT_JOBS: usize = 8;

/// Items whose intents are written together at the most.
const INTENT_GROUP: usize = 256;

/// Pause of an item that was proved not to have run.
const NOT_RUN_PAUSE: Duration = Duration::from_millis(20);

/// Pause of an item after its first failed attempt; doubles with each.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Weight of a new sample in the mean time of an item.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Time of an item before the first sample, in seconds.
const FIRST_ITEM_SECONDS: f64 = 1.0;

/// Identifies a job within its owner.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

/// What the table is told.
#[derive(Clone, Debug)]
pub enum JobEvent {
    /// The owner has claimed a job and read how far it had got.
    Added(JobId, JobPlan, Box<JobRecovery>),
    /// The lines of a chunk are in memory.
    ChunkLoaded(JobId, u32),
    /// The intents of these items are durable.
    IntentsDurable(JobId, Vec<u32>),
    /// The intents of these items could not be written.
    IntentsFailed(JobId, Vec<u32>),
    /// A run of an item has ended after so long.
    ItemEnded(JobId, u32, AttemptOutcome, Duration),
    /// The results of these items are durable.
    ResultsDurable(JobId, Vec<u32>),
    /// A chunk is committed.
    ChunkCommitted(JobId, u32),
    /// A chunk's commit did not succeed and may be tried again.
    CommitFailed(JobId, u32),
    /// The job is cancelled, or belongs to somebody else now.
    Removed(JobId),
    /// Time has passed, and so many items could be handed over now.
    Ticked(usize),
}

/// What the table asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobCommand {
    /// Read the lines of a chunk.
    LoadChunk(JobId, u32),
    /// Write the intents of these items, each with the number of its attempt.
    RecordIntents(JobId, Vec<(u32, u8)>),
    /// Hand an item over.
    HandOver(JobId, u32),
    /// Write that an item has used up its attempts.
    FailItem(JobId, u32),
    /// Write that nobody knows what became of an item.
    MarkUnknown(JobId, u32),
    /// Write the chunk's results in order and commit them.
    CommitChunk(JobId, u32),
    /// All chunks are committed.
    FinishJob(JobId),
    /// The job will probably be late.
    ReportRisk(JobId),
    /// Cancel a running item.
    CancelItem(JobId, u32),
}

/// A job that is being run.
#[derive(Clone, Debug)]
struct JobRow {
    chunks: Vec<ChunkRow>,
    committed: u32,
    finishing: bool,
    id: JobId,
    next_chunk: u32,
    plan: JobPlan,
    recovery: Box<JobRecovery>,
    reported: bool,
}

/// Decides what the owner of jobs does next.
#[derive(Clone, Debug)]
pub struct JobTable {
    in_flight: usize,
    item_seconds: f64,
    rows: Vec<JobRow>,
    shares: ShareTable,
}

impl Default for JobTable {
    fn default() -> Self {
        Self {
            in_flight: 0,
            item_seconds: FIRST_ITEM_SECONDS,
            rows: Vec::new(),
            shares: ShareTable::default(),
        }
    }
}

impl JobTable {
    /// Takes one event and appends what it asks for to `commands`.
    pub fn handle(&mut self, now: MonotonicTime, event: JobEvent, commands: &mut Vec<JobCommand>) {
        match event {
            JobEvent::Added(id, plan, recovery) => self.add(id, plan, recovery, commands),
            JobEvent::ChunkLoaded(id, chunk) => self.chunk_loaded(id, chunk, commands),
            JobEvent::IntentsDurable(id, items) => {
                self.set_states(id, &items, ItemState::WritingIntent, ItemState::Ready);
            }
            JobEvent::IntentsFailed(id, items) => self.intents_failed(now, id, &items),
            JobEvent::ItemEnded(id, item, end, time) => {
                self.item_ended(now, id, item, end, time, commands);
            }
            JobEvent::ResultsDurable(id, items) => self.results_durable(id, &items, commands),
            JobEvent::ChunkCommitted(id, chunk) => self.chunk_committed(id, chunk, commands),
            JobEvent::CommitFailed(id, chunk) => {
                if let Some(row) = self.chunk_mut(id, chunk) {
                    row.stage = ChunkStage::Running;
                }
            }
            JobEvent::Removed(id) => self.remove(id, commands),
            JobEvent::Ticked(free) => self.tick(now, free, commands),
        }
    }

    /// Returns the number of items that were handed over and have not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the jobs that are run.
    #[must_use]
    pub fn jobs(&self) -> Vec<JobId> {
        self.rows.iter().map(|row| row.id).collect()
    }

    /// Adds a job that was claimed.
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
            reported: false,
        };
        self.rows.insert(position, row);
        self.finish_if_done(position, commands);
    }

    /// Opens further chunks of a job that stands at this place in the order.
    fn open_chunks(&mut self, position: usize, place: usize, commands: &mut Vec<JobCommand>) {
        let open: usize = self.rows.iter().map(|row| row.chunks.len()).sum();
        let row = &mut self.rows[position];
        let own = row.chunks.len();
        let first_of_front = place < FRONT_JOBS && own == 0;
        let room = if first_of_front { 1 } else { ALL_OPEN_CHUNKS.saturating_sub(open) };
        let most = OPEN_CHUNKS.min(own + room);
        while row.chunks.len() < most && row.next_chunk < row.plan.chunks() {
            let chunk = row.next_chunk;
            row.next_chunk += 1;
            if row.recovery.is_committed(chunk) {
                continue;
            }
            let range = row.plan.chunk_range(chunk);
            let rows = range.clone().map(|item| ItemRow::new(row.recovery.attempts_of(item)));
            let rows = rows.collect();
            let stage = ChunkStage::Loading;
            row.chunks.push(ChunkRow { chunk, first: range.start, rows, stage });
            commands.push(JobCommand::LoadChunk(row.id, chunk));
        }
    }

    /// Lets the items of a chunk run, apart from those that have ended under an earlier owner.
    fn chunk_loaded(&mut self, id: JobId, chunk: u32, commands: &mut Vec<JobCommand>) {
        let Ok(position) = self.position(id) else {
            return;
        };
        let row = &mut self.rows[position];
        let (plan, recovery) = (row.plan, &row.recovery);
        let Some(open) = row.chunks.iter_mut().find(|open| open.chunk == chunk) else {
            return;
        };
        open.stage = ChunkStage::Running;
        for item in plan.chunk_range(chunk) {
            let index = (item - open.first) as usize;
            let item_row = &mut open.rows[index];
            if recovery.result_of(item).is_some() {
                item_row.state = ItemState::ResultDurable;
            } else if item_row.attempts > 0 && !plan.repeatable {
                // Its earlier owner may have handed it over, and it must not run twice.
                item_row.state = ItemState::WritingResult;
                commands.push(JobCommand::MarkUnknown(id, item));
            } else if item_row.attempts >= plan.attempts {
                item_row.state = ItemState::WritingResult;
                commands.push(JobCommand::FailItem(id, item));
            }
        }
        commit_if_recorded(id, open, commands);
    }

    /// Lets items whose intents could not be written wait for another try.
    fn intents_failed(&mut self, now: MonotonicTime, id: JobId, items: &[u32]) {
        for item in items {
            if let Some(row) = self.item_mut(id, *item)
                && row.state == ItemState::WritingIntent
            {
                // The intent may be on some disk, so its number is used up all the same.
                row.state = ItemState::Pending;
                row.not_before = now + FAILURE_PAUSE;
            }
        }
    }

    /// Takes the end of an item's run.
    fn item_ended(
        &mut self,
        now: MonotonicTime,
        id: JobId,
        item: u32,
        end: AttemptOutcome,
        time: Duration,
        commands: &mut Vec<JobCommand>,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if end == AttemptOutcome::Final {
            self.item_seconds += SAMPLE_WEIGHT * (time.as_secs_f64() - self.item_seconds);
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
        match end {
            AttemptOutcome::Final => row.state = ItemState::WritingResult,
            AttemptOutcome::NotRun | AttemptOutcome::Preempted => {
                row.state = ItemState::Ready;
                row.not_before = now + NOT_RUN_PAUSE;
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
                    row.not_before = now + FAILURE_PAUSE * 2_u32.pow(doublings);
                }
            }
        }
    }

    /// Takes durable results, and commits the chunks that they complete.
    fn results_durable(&mut self, id: JobId, items: &[u32], commands: &mut Vec<JobCommand>) {
        self.set_states(id, items, ItemState::WritingResult, ItemState::ResultDurable);
        let Ok(position) = self.position(id) else {
            return;
        };
        for open in &mut self.rows[position].chunks {
            commit_if_recorded(id, open, commands);
        }
    }

    /// Closes a chunk and opens the next one.
    fn chunk_committed(&mut self, id: JobId, chunk: u32, commands: &mut Vec<JobCommand>) {
        let Ok(position) = self.position(id) else {
            return;
        };
        let row = &mut self.rows[position];
        let before = row.chunks.len();
        row.chunks.retain(|open| open.chunk != chunk);
        if row.chunks.len() == before {
            return;
        }
        row.committed += 1;
        self.finish_if_done(position, commands);
    }

    /// Forgets a job and cancels what runs of it.
    fn remove(&mut self, id: JobId, commands: &mut Vec<JobCommand>) {
        let Ok(position) = self.position(id) else {
            return;
        };
        let row = self.rows.remove(position);
        for open in &row.chunks {
            let items = open.rows.iter().enumerate();
            for (index, _) in items.filter(|(_, row)| row.state == ItemState::InFlight) {
                commands.push(JobCommand::CancelItem(id, open.first + index as u32));
            }
        }
    }

    /// Runs the systems that depend on time.
    fn tick(&mut self, now: MonotonicTime, free: usize, commands: &mut Vec<JobCommand>) {
        self.retry_commits(commands);
        self.report_risks(now, commands);
        let mut left = free;
        for (place, position) in self.ordered(now).into_iter().enumerate() {
            self.open_chunks(position, place, commands);
            if left == 0 {
                continue;
            }
            left = self.hand_over(now, position, left, commands);
            self.prepare(now, position, free, commands);
        }
        self.shares.expire();
    }

    /// Commits chunks again whose commit did not succeed.
    fn retry_commits(&mut self, commands: &mut Vec<JobCommand>) {
        for row in &mut self.rows {
            for open in &mut row.chunks {
                commit_if_recorded(row.id, open, commands);
            }
        }
    }

    /// Reports jobs that will probably be late, each once.
    fn report_risks(&mut self, now: MonotonicTime, commands: &mut Vec<JobCommand>) {
        let seconds = self.seconds_per_item();
        for row in &mut self.rows {
            if !row.reported && row.backlog().is_at_risk(now, seconds) {
                row.reported = true;
                commands.push(JobCommand::ReportRisk(row.id));
            }
        }
    }

    /// Returns the positions of the jobs, the next one first.
    fn ordered(&self, now: MonotonicTime) -> Vec<usize> {
        let rows = self.rows.iter().enumerate();
        let mut jobs: Vec<(JobBacklog, usize)> =
            rows.map(|(position, row)| (row.backlog(), position)).collect();
        sort_jobs(now, self.seconds_per_item(), &self.shares, &mut jobs);
        jobs.into_iter().map(|(_, position)| position).collect()
    }

    /// Hands over ready items of a job and returns how many more there is room for.
    fn hand_over(
        &mut self,
        now: MonotonicTime,
        position: usize,
        room: usize,
        commands: &mut Vec<JobCommand>,
    ) -> usize {
        let row = &mut self.rows[position];
        let mut left = room;
        for open in &mut row.chunks {
            for item in open.due_items(now, ItemState::Ready, left) {
                open.rows[(item - open.first) as usize].state = ItemState::InFlight;
                commands.push(JobCommand::HandOver(row.id, item));
                left -= 1;
            }
        }
        let handed = room - left;
        self.in_flight += handed;
        if handed > 0 {
            self.shares.charge(row.plan.organisation, handed as u32, row.plan.weight);
        }
        left
    }

    /// Has intents written for as many items as could be handed over soon.
    fn prepare(
        &mut self,
        now: MonotonicTime,
        position: usize,
        free: usize,
        commands: &mut Vec<JobCommand>,
    ) {
        let row = &mut self.rows[position];
        let wanted = (free * 2).min(INTENT_GROUP);
        let count = |state| row.chunks.iter().map(|open| open.count(state)).sum::<usize>();
        let prepared = count(ItemState::Ready) + count(ItemState::WritingIntent);
        let mut room = wanted.saturating_sub(prepared);
        let mut intents = Vec::new();
        for open in row.chunks.iter_mut().filter(|open| open.stage == ChunkStage::Running) {
            for item in open.due_items(now, ItemState::Pending, room) {
                let item_row = &mut open.rows[(item - open.first) as usize];
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

    /// Returns the time that one more item adds to a job, given how many run at once.
    fn seconds_per_item(&self) -> f64 {
        self.item_seconds / self.in_flight.max(1) as f64
    }

    /// Moves items from one state to another.
    fn set_states(&mut self, id: JobId, items: &[u32], from: ItemState, to: ItemState) {
        for item in items {
            if let Some(row) = self.item_mut(id, *item)
                && row.state == from
            {
                row.state = to;
            }
        }
    }

    /// Ends a job whose chunks are all committed.
    fn finish_if_done(&mut self, position: usize, commands: &mut Vec<JobCommand>) {
        let row = &mut self.rows[position];
        if row.committed == row.plan.chunks() && !row.finishing {
            row.finishing = true;
            commands.push(JobCommand::FinishJob(row.id));
        }
    }

    /// Finds an item of an open chunk for change.
    fn item_mut(&mut self, id: JobId, item: u32) -> Option<&mut ItemRow> {
        let position = self.position(id).ok()?;
        let row = &mut self.rows[position];
        let chunk = item / row.plan.chunk_items.max(1);
        row.chunks.iter_mut().find(|open| open.chunk == chunk)?.item_mut(item)
    }

    /// Finds an open chunk for change.
    fn chunk_mut(&mut self, id: JobId, chunk: u32) -> Option<&mut ChunkRow> {
        let position = self.position(id).ok()?;
        self.rows[position].chunks.iter_mut().find(|open| open.chunk == chunk)
    }

    /// Finds a job's row, or the place where it belongs.
    fn position(&self, id: JobId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&id, |row| row.id)
    }
}

impl JobRow {
    /// Returns what the job's place in the order depends on.
    fn backlog(&self) -> JobBacklog {
        let left = self.plan.chunks() - self.committed;
        let remaining = (left * self.plan.chunk_items).min(self.plan.items);
        JobBacklog { plan: self.plan, remaining }
    }
}

/// Commits a chunk if all its results are durable.
fn commit_if_recorded(id: JobId, open: &mut ChunkRow, commands: &mut Vec<JobCommand>) {
    if open.stage == ChunkStage::Running && open.is_recorded() {
        open.stage = ChunkStage::Committing;
        commands.push(JobCommand::CommitChunk(id, open.chunk));
    }
}
