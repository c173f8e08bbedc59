//! One job among owners, three journals, the key-value service and a target, in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::OrganisationId;
use cv_policy::SeededRandom;
use cv_policy::batch::ChunkCommit;
use cv_policy::batch::ItemEnd;
use cv_policy::batch::ItemResult;
use cv_policy::batch::JobCommand;
use cv_policy::batch::JobCounts;
use cv_policy::batch::JobEvent;
use cv_policy::batch::JobPlan;
use cv_policy::batch::JobRecovery;
use cv_policy::batch::JobTable;
use cv_policy::batch::JournalRecord;
use cv_policy::batch::ResultState;

use crate::batch_cases::BatchBug;
use crate::batch_cases::BatchFault;
use crate::batch_cases::BatchHistory;
use crate::batch_cases::BatchStep;
use crate::batch_cases::JOB;

/// Items of the job.
pub const ITEMS: u32 = 10;

/// Items in one chunk.
const CHUNK_ITEMS: u32 = 4;

/// Runs of an item before it ends as failed.
pub const ATTEMPTS: u8 = 3;

/// Number of journals, and how many of them have to hold a record.
const JOURNALS: usize = 3;
const QUORUM: usize = 2;

/// Time to live of a lease, in milliseconds.
const LEASE_MS: u64 = 1_000;

/// Time after which a bad disk is replaced, in milliseconds.
const REPAIR_MS: u64 = 20;

/// Time after which the world ends, in milliseconds.
const END_MS: u64 = 30_000;

/// What is to happen at some time.
#[derive(Clone, Debug)]
enum WorldAction {
    /// An owner hears an event.
    Event(usize, JobEvent),
    /// A command of an owner takes effect.
    Effect(usize, JobCommand, bool),
    /// An owner ticks.
    Tick(usize),
    /// Somebody takes the job over if nobody holds it.
    Claim,
    /// A run of an item has ended.
    RunEnded(usize, u32, ItemEnd),
    /// The caller's cancellation goes on.
    Cancel,
}

/// One owner.
#[derive(Clone, Debug)]
struct WorldOwner {
    dead: bool,
    epoch: u64,
    lease_until: u64,
    paused_until: u64,
    results: BTreeMap<u32, ItemResult>,
    revision: u64,
    stopped: bool,
    table: JobTable,
}

/// The world of one job.
pub struct BatchWorld {
    /// Since when each disk has been bad, in milliseconds; 0 if it is sound.
    bad_since: Vec<u64>,
    bug: Option<BatchBug>,
    cancel_revision: Option<u64>,
    commits: BTreeMap<u32, (u64, Vec<ItemResult>)>,
    counted: Vec<(BatchStep, u32)>,
    faults: Vec<(BatchStep, u32, BatchFault)>,
    full: Vec<bool>,
    history: BatchHistory,
    journals: Vec<Vec<JournalRecord>>,
    lost: Vec<bool>,
    now: u64,
    owners: Vec<WorldOwner>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    actions: BTreeMap<u64, WorldAction>,
    random: SeededRandom,
    repeatable: bool,
    revision: u64,
    sequence: u64,
    service_down_until: u64,
}

impl BatchWorld {
    /// Creates a world; each fault strikes at the given occurrence of its step.
    pub fn new(
        repeatable: bool,
        faults: Vec<(BatchStep, u32, BatchFault)>,
        bug: Option<BatchBug>,
        seed: u64,
    ) -> Self {
        let mut world = Self {
            actions: BTreeMap::new(),
            bad_since: vec![0; JOURNALS],
            bug,
            cancel_revision: None,
            commits: BTreeMap::new(),
            counted: Vec::new(),
            faults,
            full: vec![false; JOURNALS],
            history: BatchHistory::default(),
            journals: vec![Vec::new(); JOURNALS],
            lost: vec![false; JOURNALS],
            now: 0,
            owners: Vec::new(),
            queue: BinaryHeap::new(),
            random: SeededRandom::new(seed),
            repeatable,
            revision: 1,
            sequence: 0,
            service_down_until: 0,
        };
        world.at(0, WorldAction::Claim);
        world
    }

    /// Runs the world to its end and returns what happened.
    pub fn run(mut self) -> BatchHistory {
        while let Some(Reverse((time, id))) = self.queue.pop() {
            if time > END_MS || self.history.ended {
                break;
            }
            self.now = time;
            if let Some(action) = self.actions.remove(&id) {
                self.act(action);
            }
        }
        // What was sent before the end may still arrive after it.
        let sent: Vec<Reverse<(u64, u64)>> = self.queue.drain().collect();
        for Reverse((time, id)) in sent {
            self.now = self.now.max(time);
            if let Some(WorldAction::Effect(owner, command, held)) = self.actions.remove(&id) {
                self.take_effect(owner, &command, held);
            }
        }
        self.read_all();
        self.history
    }

    /// Plans an action.
    fn at(&mut self, time: u64, action: WorldAction) {
        self.sequence += 1;
        self.actions.insert(self.sequence, action);
        self.queue.push(Reverse((time, self.sequence)));
    }

    /// Carries out an action.
    fn act(&mut self, action: WorldAction) {
        match action {
            WorldAction::Claim => self.claim(),
            WorldAction::Tick(owner) => self.tick(owner),
            WorldAction::Event(owner, event) => self.hear(owner, event),
            WorldAction::Effect(owner, command, held) => {
                self.take_effect(owner, &command, held);
            }
            WorldAction::RunEnded(owner, item, end) => self.run_ended(owner, item, end),
            WorldAction::Cancel => self.cancel(),
        }
    }

    /// Takes the job over if its last owner's lease is over.
    fn claim(&mut self) {
        let held = self.owners.iter().any(|owner| owner.lease_until > self.now);
        let down = self.now < self.service_down_until;
        if held || down {
            self.at(self.now + 50, WorldAction::Claim);
            return;
        }
        if self.cancel_revision.is_some() {
            self.confirm_cancel();
            return;
        }
        let Some(recovery) = self.recover() else {
            self.at(self.now + 50, WorldAction::Claim);
            return;
        };
        self.revision += 1;
        let index = self.owners.len();
        let mut results = BTreeMap::new();
        for item in 0..ITEMS {
            if let Some(result) = recovery.result_of(item) {
                results.insert(item, result.clone());
            }
        }
        self.owners.push(WorldOwner {
            dead: false,
            epoch: self.revision,
            lease_until: self.now + LEASE_MS,
            paused_until: 0,
            results,
            revision: self.revision,
            stopped: false,
            table: JobTable::default(),
        });
        let attempts = recovery.open_attempts();
        let epoch = self.revision;
        self.append(&JournalRecord::Intent { epoch, items: attempts });
        let plan = JobPlan::builder()
            .attempts(ATTEMPTS)
            .chunk_items(CHUNK_ITEMS)
            .due(MonotonicTime::from_millis(END_MS))
            .items(ITEMS)
            .organisation(OrganisationId(0))
            .repeatable(self.repeatable)
            .build();
        self.hear(index, JobEvent::Added(JOB, plan, Box::new(recovery)));
        self.at(self.now + 10, WorldAction::Tick(index));
    }

    /// Reads commits and enough journals; `None` if too few of them can be read.
    fn recover(&mut self) -> Option<JobRecovery> {
        let mut recovery = JobRecovery::new(CHUNK_ITEMS);
        for (chunk, (epoch, _)) in &self.commits {
            let commit = ChunkCommit {
                counts: JobCounts::default(),
                epoch: *epoch,
                write_id: String::new(),
            };
            recovery.take_commit(*chunk, &commit);
        }
        let needed = if self.bug == Some(BatchBug::RecoveryWithoutQuorum) {
            1
        } else {
            JOURNALS - QUORUM + 1
        };
        let mut readable: Vec<usize> = (0..JOURNALS).filter(|disk| !self.lost[*disk]).collect();
        if readable.len() < needed {
            return None;
        }
        // Any of the journals may be the ones that answer.
        while readable.len() > needed {
            let position = self.random.below(readable.len());
            readable.remove(position);
        }
        for disk in readable {
            for record in self.journals[disk].clone() {
                recovery.take_record(record);
            }
        }
        Some(recovery)
    }

    /// Lets an owner tick, and renew its lease if the service answers.
    fn tick(&mut self, owner: usize) {
        if self.owners[owner].dead {
            return;
        }
        if self.now < self.owners[owner].paused_until {
            let later = self.owners[owner].paused_until;
            self.at(later, WorldAction::Tick(owner));
            return;
        }
        let row = &mut self.owners[owner];
        let holds = self.now < row.lease_until;
        if !holds {
            // An owner that finds its lease over forgets the job.
            row.stopped = true;
            self.at(self.now, WorldAction::Claim);
            return;
        }
        if self.now >= self.service_down_until {
            row.lease_until = self.now + LEASE_MS;
            self.repair();
        }
        self.hear(owner, JobEvent::Ticked(4));
        self.at(self.now + 10, WorldAction::Tick(owner));
    }

    /// Replaces one disk that has been bad for a while with a copy of all others together.
    fn repair(&mut self) {
        let due = |since: u64| since > 0 && self.now >= since + REPAIR_MS;
        let Some(disk) = (0..JOURNALS).find(|disk| due(self.bad_since[*disk])) else { return };
        let sources: Vec<usize> = (0..JOURNALS).filter(|source| !self.lost[*source]).collect();
        if sources.len() < JOURNALS - QUORUM + 1 {
            return;
        }
        let taken =
            if self.bug == Some(BatchBug::RepairFromOne) { &sources[..1] } else { &sources[..] };
        let copies = taken.iter().flat_map(|source| self.journals[*source].clone()).collect();
        self.journals[disk] = copies;
        self.full[disk] = false;
        self.lost[disk] = false;
        self.bad_since[disk] = 0;
    }

    /// Gives an owner's table an event and plans what its commands do.
    fn hear(&mut self, owner: usize, event: JobEvent) {
        if self.owners[owner].dead || self.owners[owner].stopped {
            return;
        }
        if self.now < self.owners[owner].paused_until {
            let later = self.owners[owner].paused_until;
            self.at(later, WorldAction::Event(owner, event));
            return;
        }
        let mut commands = Vec::new();
        let now = MonotonicTime::from_millis(self.now);
        self.owners[owner].table.handle(now, event, &mut commands);
        for command in commands {
            self.carry_out(owner, command);
        }
    }

    /// Starts a command of an owner, with the faults that strike at its step.
    fn carry_out(&mut self, owner: usize, command: JobCommand) {
        let step = BatchStep::of(&command);
        if matches!(step, BatchStep::Risk | BatchStep::CancelItem) {
            return;
        }
        let held = self.now < self.owners[owner].lease_until;
        let mut time = self.now + 1 + self.random.below(8) as u64;
        for fault in self.strikes(step) {
            match fault {
                BatchFault::OwnerDies => {
                    // What it had just sent may or may not be on its way.
                    self.owners[owner].dead = true;
                    self.at(self.now + LEASE_MS, WorldAction::Claim);
                    if self.random.below(2) == 0 {
                        return;
                    }
                }
                BatchFault::OwnerPaused => {
                    time = self.now + LEASE_MS * 2;
                    self.owners[owner].paused_until = time;
                    self.at(self.now + LEASE_MS, WorldAction::Claim);
                }
                BatchFault::ServiceDown => self.service_down_until = self.now + LEASE_MS * 3,
                BatchFault::DiskFull => {
                    self.full[0] = true;
                    self.bad_since[0] = self.now.max(1);
                }
                BatchFault::DiskLost => {
                    self.journals[1].clear();
                    self.lost[1] = true;
                    self.bad_since[1] = self.now.max(1);
                }
                BatchFault::Cancelled => self.at(self.now, WorldAction::Cancel),
                BatchFault::AnswerLost | BatchFault::WorkerDies => {
                    self.lose_answer(owner, &command, time);
                    return;
                }
            }
        }
        self.at(time, WorldAction::Effect(owner, command, held));
    }

    /// Lets a command take effect while its owner hears nothing good of it.
    fn lose_answer(&mut self, owner: usize, command: &JobCommand, time: u64) {
        match command {
            JobCommand::RecordIntents(_, items) => {
                let epoch = self.owners[owner].epoch;
                self.append(&JournalRecord::Intent { epoch, items: items.clone() });
                let failed = items.iter().map(|(item, _)| *item).collect();
                self.at(time, WorldAction::Event(owner, JobEvent::IntentsFailed(JOB, failed)));
            }
            JobCommand::HandOver(_, item) => {
                self.execute(*item);
                self.at(time, WorldAction::RunEnded(owner, *item, ItemEnd::Lost));
            }
            JobCommand::CommitChunk(_, chunk) => {
                self.commit(owner, *chunk);
                let event = JobEvent::CommitFailed(JOB, *chunk);
                self.at(time, WorldAction::Event(owner, event));
            }
            other => self.at(time, WorldAction::Effect(owner, other.clone(), true)),
        }
    }

    /// Lets a command take effect.
    fn take_effect(&mut self, owner: usize, command: &JobCommand, held: bool) {
        match command {
            JobCommand::LoadChunk(_, chunk) => {
                self.hear(owner, JobEvent::ChunkLoaded(JOB, *chunk));
            }
            JobCommand::RecordIntents(_, items) => self.record_intents(owner, items),
            JobCommand::HandOver(_, item) => self.hand_over(owner, *item, held),
            JobCommand::FailItem(_, item) => {
                self.record_result(owner, *item, ResultState::Failed);
            }
            JobCommand::MarkUnknown(_, item) => {
                self.record_result(owner, *item, ResultState::Unknown);
            }
            JobCommand::CommitChunk(_, chunk) => {
                let event = if self.commit(owner, *chunk) {
                    JobEvent::ChunkCommitted(JOB, *chunk)
                } else {
                    JobEvent::CommitFailed(JOB, *chunk)
                };
                self.at(self.now + 20, WorldAction::Event(owner, event));
            }
            JobCommand::FinishJob(_) => self.finish(owner),
            JobCommand::ReportRisk(_) | JobCommand::CancelItem(..) => {}
        }
    }

    /// Writes intents.
    fn record_intents(&mut self, owner: usize, items: &[(u32, u8)]) {
        let plain: Vec<u32> = items.iter().map(|(item, _)| *item).collect();
        let epoch = self.owners[owner].epoch;
        let record = JournalRecord::Intent { epoch, items: items.to_vec() };
        let kept = self.bug == Some(BatchBug::IntentNotDurable) || self.append(&record) >= QUORUM;
        let event = if kept {
            JobEvent::IntentsDurable(JOB, plain)
        } else {
            JobEvent::IntentsFailed(JOB, plain)
        };
        self.hear(owner, event);
    }

    /// Hands an item to the target, whose sidecar refuses it after the owner's lease.
    fn hand_over(&mut self, owner: usize, item: u32, held: bool) {
        let lease_until = self.owners[owner].lease_until;
        let late = self.now >= lease_until || !held || self.owners[owner].stopped;
        if late && self.bug != Some(BatchBug::LateHandOver) {
            self.at(self.now + 1, WorldAction::RunEnded(owner, item, ItemEnd::NotRun));
            return;
        }
        self.execute(item);
        let time = self.now + 5 + self.random.below(40) as u64;
        self.at(time, WorldAction::RunEnded(owner, item, ItemEnd::Final));
    }

    /// Runs an item at the target; its sidecar remembers nothing, as after a restart.
    fn execute(&mut self, item: u32) {
        self.history.executions.push((item, self.now));
    }

    /// Takes the end of an item's run.
    fn run_ended(&mut self, owner: usize, item: u32, end: ItemEnd) {
        if self.owners[owner].dead {
            return;
        }
        if self.now < self.owners[owner].paused_until {
            let later = self.owners[owner].paused_until;
            self.at(later, WorldAction::RunEnded(owner, item, end));
            return;
        }
        self.hear(owner, JobEvent::ItemEnded(JOB, item, end, Duration::from_millis(20)));
        if end == ItemEnd::Final && !self.owners[owner].stopped {
            self.record_result(owner, item, ResultState::Completed);
        }
    }

    /// Writes a result; one that too few disks take is written again.
    fn record_result(&mut self, owner: usize, item: u32, state: ResultState) {
        if self.owners[owner].dead || self.owners[owner].stopped {
            return;
        }
        // The text names its writer, so that two results of one item differ.
        let epoch = self.owners[owner].epoch;
        let body = format!("{item} by {epoch} at {}", self.now);
        let result = ItemResult { body, item, state, status: 200 };
        let record = JournalRecord::Results { epoch, results: vec![result.clone()] };
        let kept = self.append(&record);
        if kept >= QUORUM {
            self.owners[owner].results.entry(item).or_insert(result);
            self.hear(owner, JobEvent::ResultsDurable(JOB, vec![item]));
        } else {
            let again = if state == ResultState::Failed {
                JobCommand::FailItem(JOB, item)
            } else {
                JobCommand::MarkUnknown(JOB, item)
            };
            self.at(self.now + 100, WorldAction::Effect(owner, again, true));
        }
    }

    /// Commits a chunk, if the owner still owns the job; tells whether it is committed by it.
    fn commit(&mut self, owner: usize, chunk: u32) -> bool {
        if self.now < self.service_down_until {
            return false;
        }
        let row = &self.owners[owner];
        let (epoch, revision) = (row.epoch, row.revision);
        let first = chunk * CHUNK_ITEMS;
        let items = first..(first + CHUNK_ITEMS).min(ITEMS);
        let results: Vec<ItemResult> =
            items.clone().filter_map(|item| row.results.get(&item).cloned()).collect();
        if results.len() < items.len() {
            return false;
        }
        let record = JournalRecord::Chunk { chunk, epoch, results: results.clone() };
        let kept = self.append(&record);
        if kept < QUORUM {
            return false;
        }
        if let Some((known, _)) = self.commits.get(&chunk)
            && self.bug != Some(BatchBug::CommitNotFenced)
        {
            return *known == epoch;
        }
        let fenced = revision != self.revision || self.now >= self.owners[owner].lease_until;
        if fenced && self.bug != Some(BatchBug::CommitNotFenced) {
            return false;
        }
        self.commits.insert(chunk, (epoch, results.clone()));
        self.history.commits.entry(chunk).or_default().push(results);
        true
    }

    /// Ends the job, if the owner still owns it.
    fn finish(&mut self, owner: usize) {
        if self.now < self.service_down_until {
            let again = WorldAction::Effect(owner, JobCommand::FinishJob(JOB), true);
            self.at(self.now + 100, again);
        } else if self.owners[owner].revision == self.revision {
            self.history.ended = true;
        }
    }

    /// Takes the next step of a cancellation.
    fn cancel(&mut self) {
        if self.now < self.service_down_until {
            self.at(self.now + 50, WorldAction::Cancel);
            return;
        }
        if self.cancel_revision.is_none() {
            self.revision += 1;
            self.cancel_revision = Some(self.revision);
        }
        if self.bug == Some(BatchBug::CancelNotWaited) {
            self.confirm_cancel();
            return;
        }
        let Some(owner) = self.owners.len().checked_sub(1) else { return };
        let row = &mut self.owners[owner];
        if self.now >= row.paused_until && !row.dead {
            row.stopped = true;
            self.confirm_cancel();
        }
        // An owner that does not answer is waited out by whoever takes the job over.
    }

    /// Tells the caller that the job has stopped.
    fn confirm_cancel(&mut self) {
        if self.history.cancel_confirmed.is_none() {
            self.history.cancel_confirmed = Some(self.now);
        }
    }

    /// Appends a record on every disk that takes it; returns on how many it is.
    fn append(&mut self, record: &JournalRecord) -> usize {
        if self.bug == Some(BatchBug::ResultNotKept) {
            let disk = self.random.below(JOURNALS);
            self.journals[disk].push(record.clone());
            return QUORUM;
        }
        let mut kept = 0;
        for disk in 0..JOURNALS {
            if !self.full[disk] && !self.lost[disk] {
                self.journals[disk].push(record.clone());
                kept += 1;
            }
        }
        // One disk may be slow to answer, so that its record is there and does not count, or is
        // not there and was not waited for.
        if kept == JOURNALS && self.random.below(3) == 0 {
            let disk = self.random.below(JOURNALS);
            self.journals[disk].pop();
            kept -= 1;
        }
        kept
    }

    /// Reads every committed chunk as a caller would, from any journals that hold it.
    fn read_all(&mut self) {
        for (chunk, (epoch, _)) in &self.commits {
            let found = self.journals.iter().flatten().find_map(|record| match record {
                JournalRecord::Chunk { chunk: known, epoch: by, results }
                    if known == chunk && by == epoch =>
                {
                    Some(results.clone())
                }
                _ => None,
            });
            match found {
                Some(results) => self.history.commits.entry(*chunk).or_default().push(results),
                None => self.history.unreadable.push(*chunk),
            }
        }
    }

    /// Returns the faults that strike at this occurrence of a step.
    fn strikes(&mut self, step: BatchStep) -> Vec<BatchFault> {
        let position = self.counted.iter().position(|row| row.0 == step);
        let occurrence = if let Some(position) = position {
            self.counted[position].1 += 1;
            self.counted[position].1
        } else {
            self.counted.push((step, 0));
            0
        };
        let due = |fault: &&(BatchStep, u32, BatchFault)| fault.0 == step && fault.1 == occurrence;
        self.faults.iter().filter(due).map(|fault| fault.2).collect()
    }
}
