//! One job among owners, three journals, the key-value service and a target, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::OrganisationId;
use cv_policy::SeededRandom;
use cv_policy::batch::AttemptOutcome;
use cv_policy::batch::ItemResult;
use cv_policy::batch::JobCommand;
use cv_policy::batch::JobEvent;
use cv_policy::batch::JobPlan;
use cv_policy::batch::JobRecovery;
use cv_policy::batch::JobTable;
use cv_policy::batch::JournalRecord;
use cv_policy::batch::ResultState;

use crate::action_queue::ActionQueue;
use crate::action_queue::ScheduledAction;
use crate::batch_cases::BatchBug;
use crate::batch_cases::BatchFault;
use crate::batch_cases::BatchHistory;
use crate::batch_cases::BatchStep;
use crate::batch_cases::JOB_ID;
use crate::fault_plan::FaultPlan;
use crate::replicated_journal::QUORUM;
use crate::replicated_journal::ReplicatedJournal;
use crate::simulated_store::SimulatedStore;

/// Items of the job.
pub const ITEM_COUNT: u32 = 10;

/// Items in one chunk.
const CHUNK_ITEMS: u32 = 4;

/// Runs of an item before it ends as failed.
pub const MAX_ATTEMPTS: u8 = 3;

/// Time to live of a lease, in milliseconds.
const LEASE_MS: u64 = 1_000;

/// Time after which the world ends, in milliseconds.
const SIMULATION_END_MS: u64 = 30_000;

/// One owner.
#[derive(Clone, Debug)]
struct JobOwner {
    crashed: bool,
    epoch: u64,
    lease_until: u64,
    paused_until: u64,
    results: BTreeMap<u32, ItemResult>,
    revision: u64,
    stopped: bool,
    table: JobTable,
}

/// The world of one job.
pub struct BatchSimulation {
    actions: ActionQueue,
    bug: Option<BatchBug>,
    journal: ReplicatedJournal,
    faults: FaultPlan,
    history: BatchHistory,
    now: u64,
    owners: Vec<JobOwner>,
    random: SeededRandom,
    repeatable: bool,
    store: SimulatedStore,
}

impl BatchSimulation {
    /// Creates a world; each fault strikes at the given occurrence of its step.
    pub fn new(
        repeatable: bool,
        faults: Vec<(BatchStep, u32, BatchFault)>,
        bug: Option<BatchBug>,
        seed: u64,
    ) -> Self {
        let mut world = Self {
            actions: ActionQueue::default(),
            bug,
            journal: ReplicatedJournal::new(bug),
            faults: FaultPlan::new(faults),
            history: BatchHistory::default(),
            now: 0,
            owners: Vec::new(),
            random: SeededRandom::new(seed),
            repeatable,
            store: SimulatedStore::new(bug),
        };
        world.schedule(0, ScheduledAction::Claim);
        world
    }

    /// Runs the world to its end and returns what happened.
    pub fn run(mut self) -> BatchHistory {
        while let Some((time, action)) = self.actions.pop() {
            if time > SIMULATION_END_MS || self.history.finished {
                break;
            }
            self.now = time;
            self.perform(action);
        }
        // What was sent before the end may still arrive after it.
        for (time, action) in self.actions.drain() {
            self.now = self.now.max(time);
            if let ScheduledAction::ApplyCommand(owner, command, held) = action {
                self.apply_command(owner, &command, held);
            }
        }
        self.read_committed_chunks();
        self.history
    }

    /// Plans an action.
    fn schedule(&mut self, time: u64, action: ScheduledAction) {
        self.actions.schedule(time, action);
    }

    /// Carries out an action.
    fn perform(&mut self, action: ScheduledAction) {
        match action {
            ScheduledAction::Claim => self.claim(),
            ScheduledAction::Tick(owner) => self.tick(owner),
            ScheduledAction::DeliverEvent(owner, event) => self.deliver_event(owner, event),
            ScheduledAction::ApplyCommand(owner, command, held) => {
                self.apply_command(owner, &command, held);
            }
            ScheduledAction::EndRun(owner, item, end) => self.end_run(owner, item, end),
            ScheduledAction::Cancel => self.cancel(),
        }
    }

    /// Takes the job over if its last owner's lease is over.
    fn claim(&mut self) {
        let held = self.owners.iter().any(|owner| owner.lease_until > self.now);
        let down = self.store.is_down(self.now);
        if held || down {
            self.schedule(self.now + 50, ScheduledAction::Claim);
            return;
        }
        if self.store.is_cancelled() {
            self.confirm_cancel();
            return;
        }
        let Some(recovery) = self.recover() else {
            self.schedule(self.now + 50, ScheduledAction::Claim);
            return;
        };
        self.store.revision += 1;
        let index = self.owners.len();
        let mut results = BTreeMap::new();
        for item in 0..ITEM_COUNT {
            if let Some(result) = recovery.result_of(item) {
                results.insert(item, result.clone());
            }
        }
        self.owners.push(JobOwner {
            crashed: false,
            epoch: self.store.revision,
            lease_until: self.now + LEASE_MS,
            paused_until: 0,
            results,
            revision: self.store.revision,
            stopped: false,
            table: JobTable::default(),
        });
        let attempts = recovery.unfinished_attempts();
        let epoch = self.store.revision;
        self.journal.append(&JournalRecord::Intent { epoch, items: attempts }, &mut self.random);
        let plan = JobPlan::builder()
            .attempts(MAX_ATTEMPTS)
            .chunk_items(CHUNK_ITEMS)
            .due(MonotonicTime::from_millis(SIMULATION_END_MS))
            .items(ITEM_COUNT)
            .organisation(OrganisationId(0))
            .repeatable(self.repeatable)
            .build();
        self.deliver_event(index, JobEvent::Added(JOB_ID, plan, Box::new(recovery)));
        self.schedule(self.now + 10, ScheduledAction::Tick(index));
    }

    /// Reads commits and enough journals; `None` if too few of them can be read.
    fn recover(&mut self) -> Option<JobRecovery> {
        let mut recovery = JobRecovery::new(CHUNK_ITEMS);
        for (chunk, commit) in self.store.chunk_commits() {
            recovery.add_commit(chunk, &commit);
        }
        for record in self.journal.read_for_recovery(&mut self.random)? {
            recovery.add_record(record);
        }
        Some(recovery)
    }

    /// Lets an owner tick, and renew its lease if the service answers.
    fn tick(&mut self, owner: usize) {
        if self.owners[owner].crashed {
            return;
        }
        if self.now < self.owners[owner].paused_until {
            let later = self.owners[owner].paused_until;
            self.schedule(later, ScheduledAction::Tick(owner));
            return;
        }
        let row = &mut self.owners[owner];
        let holds = self.now < row.lease_until;
        if !holds {
            // An owner that finds its lease over forgets the job.
            row.stopped = true;
            self.schedule(self.now, ScheduledAction::Claim);
            return;
        }
        if !self.store.is_down(self.now) {
            row.lease_until = self.now + LEASE_MS;
            self.journal.repair_replica(self.now);
        }
        self.deliver_event(owner, JobEvent::Ticked(4));
        self.schedule(self.now + 10, ScheduledAction::Tick(owner));
    }

    /// Gives an owner's table an event and plans what its commands do.
    fn deliver_event(&mut self, owner: usize, event: JobEvent) {
        if self.owners[owner].crashed || self.owners[owner].stopped {
            return;
        }
        if self.now < self.owners[owner].paused_until {
            let later = self.owners[owner].paused_until;
            self.schedule(later, ScheduledAction::DeliverEvent(owner, event));
            return;
        }
        let mut commands = Vec::new();
        let now = MonotonicTime::from_millis(self.now);
        self.owners[owner].table.handle(now, event, &mut commands);
        for command in commands {
            self.start_command(owner, command);
        }
    }

    /// Starts a command of an owner, with the faults that strike at its step.
    fn start_command(&mut self, owner: usize, command: JobCommand) {
        let step = BatchStep::of(&command);
        if matches!(step, BatchStep::ReportRisk | BatchStep::CancelItem) {
            return;
        }
        let held = self.now < self.owners[owner].lease_until;
        let mut time = self.now + 1 + self.random.below(8) as u64;
        for fault in self.faults.next_faults(step) {
            match fault {
                BatchFault::OwnerCrashed => {
                    // What it had just sent may or may not be on its way.
                    self.owners[owner].crashed = true;
                    self.schedule(self.now + LEASE_MS, ScheduledAction::Claim);
                    if self.random.below(2) == 0 {
                        return;
                    }
                }
                BatchFault::OwnerPaused => {
                    time = self.now + LEASE_MS * 2;
                    self.owners[owner].paused_until = time;
                    self.schedule(self.now + LEASE_MS, ScheduledAction::Claim);
                }
                BatchFault::StoreDown => self.store.set_down_until(self.now + LEASE_MS * 3),
                BatchFault::DiskFull => self.journal.fill_disk(0, self.now),
                BatchFault::DiskLost => self.journal.lose_disk(1, self.now),
                BatchFault::Cancelled => self.schedule(self.now, ScheduledAction::Cancel),
                BatchFault::ResponseLost | BatchFault::WorkerCrashed => {
                    self.lose_response(owner, &command, time);
                    return;
                }
            }
        }
        self.schedule(time, ScheduledAction::ApplyCommand(owner, command, held));
    }

    /// Lets a command take effect while its owner hears nothing good of it.
    fn lose_response(&mut self, owner: usize, command: &JobCommand, time: u64) {
        match command {
            JobCommand::RecordIntents(_, items) => {
                let epoch = self.owners[owner].epoch;
                self.journal.append(
                    &JournalRecord::Intent { epoch, items: items.clone() },
                    &mut self.random,
                );
                let failed = items.iter().map(|(item, _)| *item).collect();
                self.schedule(
                    time,
                    ScheduledAction::DeliverEvent(owner, JobEvent::IntentsFailed(JOB_ID, failed)),
                );
            }
            JobCommand::HandOver(_, item) => {
                self.execute(*item);
                self.schedule(time, ScheduledAction::EndRun(owner, *item, AttemptOutcome::Lost));
            }
            JobCommand::CommitChunk(_, chunk) => {
                self.commit(owner, *chunk);
                let event = JobEvent::CommitFailed(JOB_ID, *chunk);
                self.schedule(time, ScheduledAction::DeliverEvent(owner, event));
            }
            other => self.schedule(time, ScheduledAction::ApplyCommand(owner, other.clone(), true)),
        }
    }

    /// Lets a command take effect.
    fn apply_command(&mut self, owner: usize, command: &JobCommand, held: bool) {
        match command {
            JobCommand::LoadChunk(_, chunk) => {
                self.deliver_event(owner, JobEvent::ChunkLoaded(JOB_ID, *chunk));
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
                    JobEvent::ChunkCommitted(JOB_ID, *chunk)
                } else {
                    JobEvent::CommitFailed(JOB_ID, *chunk)
                };
                self.schedule(self.now + 20, ScheduledAction::DeliverEvent(owner, event));
            }
            JobCommand::FinishJob(_) => self.finish_job(owner),
            JobCommand::ReportRisk(_) | JobCommand::CancelItem(..) => {}
        }
    }

    /// Writes intents.
    fn record_intents(&mut self, owner: usize, items: &[(u32, u8)]) {
        let plain: Vec<u32> = items.iter().map(|(item, _)| *item).collect();
        let epoch = self.owners[owner].epoch;
        let record = JournalRecord::Intent { epoch, items: items.to_vec() };
        let kept = self.bug == Some(BatchBug::IntentNotDurable)
            || self.journal.append(&record, &mut self.random) >= QUORUM;
        let event = if kept {
            JobEvent::IntentsDurable(JOB_ID, plain)
        } else {
            JobEvent::IntentsFailed(JOB_ID, plain)
        };
        self.deliver_event(owner, event);
    }

    /// Hands an item to the target, whose sidecar refuses it after the owner's lease.
    fn hand_over(&mut self, owner: usize, item: u32, held: bool) {
        let lease_until = self.owners[owner].lease_until;
        let late = self.now >= lease_until || !held || self.owners[owner].stopped;
        if late && self.bug != Some(BatchBug::ExpiredLeaseAccepted) {
            self.schedule(
                self.now + 1,
                ScheduledAction::EndRun(owner, item, AttemptOutcome::NotRun),
            );
            return;
        }
        self.execute(item);
        let time = self.now + 5 + self.random.below(40) as u64;
        self.schedule(time, ScheduledAction::EndRun(owner, item, AttemptOutcome::Final));
    }

    /// Runs an item at the target; its sidecar remembers nothing, as after a restart.
    fn execute(&mut self, item: u32) {
        self.history.executions.push((item, self.now));
    }

    /// Takes the end of an item's run.
    fn end_run(&mut self, owner: usize, item: u32, end: AttemptOutcome) {
        if self.owners[owner].crashed {
            return;
        }
        if self.now < self.owners[owner].paused_until {
            let later = self.owners[owner].paused_until;
            self.schedule(later, ScheduledAction::EndRun(owner, item, end));
            return;
        }
        self.deliver_event(
            owner,
            JobEvent::ItemEnded(JOB_ID, item, end, Duration::from_millis(20)),
        );
        if end == AttemptOutcome::Final && !self.owners[owner].stopped {
            self.record_result(owner, item, ResultState::Completed);
        }
    }

    /// Writes a result; one that too few disks take is written again.
    fn record_result(&mut self, owner: usize, item: u32, state: ResultState) {
        if self.owners[owner].crashed || self.owners[owner].stopped {
            return;
        }
        // The text names its writer, so that two results of one item differ.
        let epoch = self.owners[owner].epoch;
        let body = format!("{item} by {epoch} at {}", self.now);
        let result = ItemResult { body, item, state, status: 200 };
        let record = JournalRecord::Results { epoch, results: vec![result.clone()] };
        let kept = self.journal.append(&record, &mut self.random);
        if kept >= QUORUM {
            self.owners[owner].results.entry(item).or_insert(result);
            self.deliver_event(owner, JobEvent::ResultsDurable(JOB_ID, vec![item]));
        } else {
            let again = if state == ResultState::Failed {
                JobCommand::FailItem(JOB_ID, item)
            } else {
                JobCommand::MarkUnknown(JOB_ID, item)
            };
            self.schedule(self.now + 100, ScheduledAction::ApplyCommand(owner, again, true));
        }
    }

    /// Commits a chunk, if the owner still owns the job; tells whether it is committed by it.
    fn commit(&mut self, owner: usize, chunk: u32) -> bool {
        if self.store.is_down(self.now) {
            return false;
        }
        let row = &self.owners[owner];
        let (epoch, revision) = (row.epoch, row.revision);
        let first = chunk * CHUNK_ITEMS;
        let items = first..(first + CHUNK_ITEMS).min(ITEM_COUNT);
        let results: Vec<ItemResult> =
            items.clone().filter_map(|item| row.results.get(&item).cloned()).collect();
        if results.len() < items.len() {
            return false;
        }
        let record = JournalRecord::Chunk { chunk, epoch, results: results.clone() };
        let kept = self.journal.append(&record, &mut self.random);
        if kept < QUORUM {
            return false;
        }
        if let Some(known) = self.store.commit_epoch(chunk) {
            return known == epoch;
        }
        let is_fenced =
            revision != self.store.revision || self.now >= self.owners[owner].lease_until;
        if !self.store.commit(chunk, epoch, results.clone(), is_fenced) {
            return false;
        }
        self.history.chunk_reads.entry(chunk).or_default().push(results);
        true
    }

    /// Ends the job, if the owner still owns it.
    fn finish_job(&mut self, owner: usize) {
        if self.store.is_down(self.now) {
            let again = ScheduledAction::ApplyCommand(owner, JobCommand::FinishJob(JOB_ID), true);
            self.schedule(self.now + 100, again);
        } else if self.owners[owner].revision == self.store.revision {
            self.history.finished = true;
        }
    }

    /// Takes the next step of a cancellation.
    fn cancel(&mut self) {
        if self.store.is_down(self.now) {
            self.schedule(self.now + 50, ScheduledAction::Cancel);
            return;
        }
        self.store.cancel();
        if self.bug == Some(BatchBug::CancelConfirmedEarly) {
            self.confirm_cancel();
            return;
        }
        let Some(owner) = self.owners.len().checked_sub(1) else { return };
        let row = &mut self.owners[owner];
        if self.now >= row.paused_until && !row.crashed {
            row.stopped = true;
            self.confirm_cancel();
        }
        // An owner that does not answer is waited out by whoever takes the job over.
    }

    /// Tells the caller that the job has stopped.
    fn confirm_cancel(&mut self) {
        if self.history.cancel_confirmed_at.is_none() {
            self.history.cancel_confirmed_at = Some(self.now);
        }
    }

    /// Reads every committed chunk as a caller would, from any journals that hold it.
    fn read_committed_chunks(&mut self) {
        for (chunk, epoch) in self.store.committed_chunks() {
            let found = self.journal.find_chunk(chunk, epoch);
            match found {
                Some(results) => self.history.chunk_reads.entry(chunk).or_default().push(results),
                None => self.history.unreadable_chunks.push(chunk),
            }
        }
    }
}
