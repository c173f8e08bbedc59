//! Simulation of one job with its owners, a replicated journal, a store and a target.

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

/// Number of items in the job.
pub const ITEM_COUNT: u32 = 10;

/// Number of items in one chunk.
const CHUNK_ITEMS: u32 = 4;

/// Runs of an item before it is recorded as failed.
pub const MAX_ATTEMPTS: u8 = 3;

/// Time to live of a lease, in milliseconds.
const LEASE_MS: u64 = 1_000;

/// Time at which the simulation ends and the job is due, in milliseconds.
const SIMULATION_END_MS: u64 = 30_000;

/// A process that owns or has owned the job.
#[derive(Clone, Debug)]
struct JobOwner {
    crashed: bool,
    epoch: u64,
    /// Expiry of the lease.
    lease_until: u64,
    /// Time until which the process makes no progress; 0 if it was never paused.
    paused_until: u64,
    /// Durable results by item.
    results: BTreeMap<u32, ItemResult>,
    /// Revision of the job's record at the claim.
    revision: u64,
    /// Whether the owner has stopped running the job.
    stopped: bool,
    table: JobTable,
}

/// The simulation of one job; times are in milliseconds of virtual time.
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
    /// Creates a simulation that injects each fault at the given occurrence of its step.
    pub fn new(
        repeatable: bool,
        faults: Vec<(BatchStep, u32, BatchFault)>,
        bug: Option<BatchBug>,
        seed: u64,
    ) -> Self {
        let mut simulation = Self {
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
        simulation.schedule(0, ScheduledAction::Claim);
        simulation
    }

    /// Runs the simulation to its end and returns the history.
    pub fn run(mut self) -> BatchHistory {
        while let Some((time, action)) = self.actions.pop() {
            if time > SIMULATION_END_MS || self.history.finished {
                break;
            }
            self.now = time;
            self.perform(action);
        }
        // Commands in flight at the end may still take effect.
        for (time, action) in self.actions.drain() {
            self.now = self.now.max(time);
            if let ScheduledAction::ApplyCommand(owner, command, lease_held) = action {
                self.apply_command(owner, &command, lease_held);
            }
        }
        self.read_committed_chunks();
        self.history
    }

    /// Schedules an action.
    fn schedule(&mut self, time: u64, action: ScheduledAction) {
        self.actions.schedule(time, action);
    }

    /// Performs a scheduled action.
    fn perform(&mut self, action: ScheduledAction) {
        match action {
            ScheduledAction::Claim => self.claim(),
            ScheduledAction::Tick(owner) => self.tick(owner),
            ScheduledAction::DeliverEvent(owner, event) => self.deliver_event(owner, event),
            ScheduledAction::ApplyCommand(owner, command, lease_held) => {
                self.apply_command(owner, &command, lease_held);
            }
            ScheduledAction::EndRun(owner, item, end) => self.end_run(owner, item, end),
            ScheduledAction::Cancel => self.cancel(),
        }
    }

    /// Lets a new owner claim the job once no lease is held and the store responds.
    fn claim(&mut self) {
        let is_held = self.owners.iter().any(|owner| owner.lease_until > self.now);
        let is_down = self.store.is_down(self.now);
        if is_held || is_down {
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

    /// Reads the commits and the journal; `None` if too few replicas are readable.
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

    /// Runs an owner's periodic tick, which renews its lease if the store responds.
    fn tick(&mut self, owner: usize) {
        if self.owners[owner].crashed {
            return;
        }
        if self.now < self.owners[owner].paused_until {
            let resume_at = self.owners[owner].paused_until;
            self.schedule(resume_at, ScheduledAction::Tick(owner));
            return;
        }
        let owner_state = &mut self.owners[owner];
        let lease_held = self.now < owner_state.lease_until;
        if !lease_held {
            // An owner whose lease has expired stops running the job.
            owner_state.stopped = true;
            self.schedule(self.now, ScheduledAction::Claim);
            return;
        }
        if !self.store.is_down(self.now) {
            owner_state.lease_until = self.now + LEASE_MS;
            self.journal.repair_replica(self.now);
        }
        self.deliver_event(owner, JobEvent::Ticked(4));
        self.schedule(self.now + 10, ScheduledAction::Tick(owner));
    }

    /// Passes an event to an owner's table and starts the commands that result.
    fn deliver_event(&mut self, owner: usize, event: JobEvent) {
        if self.owners[owner].crashed || self.owners[owner].stopped {
            return;
        }
        if self.now < self.owners[owner].paused_until {
            let resume_at = self.owners[owner].paused_until;
            self.schedule(resume_at, ScheduledAction::DeliverEvent(owner, event));
            return;
        }
        let mut commands = Vec::new();
        let now = MonotonicTime::from_millis(self.now);
        self.owners[owner].table.handle(now, event, &mut commands);
        for command in commands {
            self.start_command(owner, command);
        }
    }

    /// Starts a command of an owner, with the faults injected at its step.
    fn start_command(&mut self, owner: usize, command: JobCommand) {
        let step = BatchStep::of(&command);
        if matches!(step, BatchStep::ReportRisk | BatchStep::CancelItem) {
            return;
        }
        let lease_held = self.now < self.owners[owner].lease_until;
        let mut time = self.now + 1 + self.random.below(8) as u64;
        for fault in self.faults.next_faults(step) {
            match fault {
                BatchFault::OwnerCrashed => {
                    // The crash may come before or after the command is sent.
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
        self.schedule(time, ScheduledAction::ApplyCommand(owner, command, lease_held));
    }

    /// Applies a command whose response is lost: its owner sees failed intents, a lost run or a
    /// failed commit. Other commands take effect as usual.
    fn lose_response(&mut self, owner: usize, command: &JobCommand, time: u64) {
        match command {
            JobCommand::RecordIntents(_, items) => {
                let epoch = self.owners[owner].epoch;
                self.journal.append(
                    &JournalRecord::Intent { epoch, items: items.clone() },
                    &mut self.random,
                );
                let item_numbers = items.iter().map(|(item, _)| *item).collect();
                self.schedule(
                    time,
                    ScheduledAction::DeliverEvent(
                        owner,
                        JobEvent::IntentsFailed(JOB_ID, item_numbers),
                    ),
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

    /// Applies a command that has arrived.
    fn apply_command(&mut self, owner: usize, command: &JobCommand, lease_held: bool) {
        match command {
            JobCommand::LoadChunk(_, chunk) => {
                self.deliver_event(owner, JobEvent::ChunkLoaded(JOB_ID, *chunk));
            }
            JobCommand::RecordIntents(_, items) => self.record_intents(owner, items),
            JobCommand::HandOver(_, item) => self.hand_over(owner, *item, lease_held),
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

    /// Writes the intents of items with their attempt numbers to the journal.
    fn record_intents(&mut self, owner: usize, items: &[(u32, u8)]) {
        let item_numbers: Vec<u32> = items.iter().map(|(item, _)| *item).collect();
        let epoch = self.owners[owner].epoch;
        let record = JournalRecord::Intent { epoch, items: items.to_vec() };
        let is_durable = self.bug == Some(BatchBug::IntentNotDurable)
            || self.journal.append(&record, &mut self.random) >= QUORUM;
        let event = if is_durable {
            JobEvent::IntentsDurable(JOB_ID, item_numbers)
        } else {
            JobEvent::IntentsFailed(JOB_ID, item_numbers)
        };
        self.deliver_event(owner, event);
    }

    /// Hands an item over to the target; its sidecar refuses it once the owner's lease has expired.
    fn hand_over(&mut self, owner: usize, item: u32, lease_held: bool) {
        let lease_until = self.owners[owner].lease_until;
        let is_stale = self.now >= lease_until || !lease_held || self.owners[owner].stopped;
        if is_stale && self.bug != Some(BatchBug::ExpiredLeaseAccepted) {
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

    /// Runs an item at the target; the sidecar rejects no duplicates, as after a restart.
    fn execute(&mut self, item: u32) {
        self.history.executions.push((item, self.now));
    }

    /// Reports the end of an item's run to its owner, and records the result of a final one.
    fn end_run(&mut self, owner: usize, item: u32, outcome: AttemptOutcome) {
        if self.owners[owner].crashed {
            return;
        }
        if self.now < self.owners[owner].paused_until {
            let resume_at = self.owners[owner].paused_until;
            self.schedule(resume_at, ScheduledAction::EndRun(owner, item, outcome));
            return;
        }
        self.deliver_event(
            owner,
            JobEvent::ItemEnded(JOB_ID, item, outcome, Duration::from_millis(20)),
        );
        if outcome == AttemptOutcome::Final && !self.owners[owner].stopped {
            self.record_result(owner, item, ResultState::Completed);
        }
    }

    /// Writes a result to the journal; without a quorum, writes it again after 100 ms, then with
    /// the state unknown unless it had failed.
    fn record_result(&mut self, owner: usize, item: u32, state: ResultState) {
        if self.owners[owner].crashed || self.owners[owner].stopped {
            return;
        }
        // The body names the epoch and the time, so that two results of one item differ.
        let epoch = self.owners[owner].epoch;
        let body = format!("{item} by {epoch} at {}", self.now);
        let result = ItemResult { body, item, state, status: 200 };
        let record = JournalRecord::Results { epoch, results: vec![result.clone()] };
        let acknowledged = self.journal.append(&record, &mut self.random);
        if acknowledged >= QUORUM {
            self.owners[owner].results.entry(item).or_insert(result);
            self.deliver_event(owner, JobEvent::ResultsDurable(JOB_ID, vec![item]));
        } else {
            let retry = if state == ResultState::Failed {
                JobCommand::FailItem(JOB_ID, item)
            } else {
                JobCommand::MarkUnknown(JOB_ID, item)
            };
            self.schedule(self.now + 100, ScheduledAction::ApplyCommand(owner, retry, true));
        }
    }

    /// Commits a chunk if the owner still owns the job; returns whether its epoch committed it.
    fn commit(&mut self, owner: usize, chunk: u32) -> bool {
        if self.store.is_down(self.now) {
            return false;
        }
        let owner_state = &self.owners[owner];
        let (epoch, revision) = (owner_state.epoch, owner_state.revision);
        let first = chunk * CHUNK_ITEMS;
        let items = first..(first + CHUNK_ITEMS).min(ITEM_COUNT);
        let results: Vec<ItemResult> =
            items.clone().filter_map(|item| owner_state.results.get(&item).cloned()).collect();
        if results.len() < items.len() {
            return false;
        }
        let record = JournalRecord::Chunk { chunk, epoch, results: results.clone() };
        let acknowledged = self.journal.append(&record, &mut self.random);
        if acknowledged < QUORUM {
            return false;
        }
        if let Some(committed_epoch) = self.store.commit_epoch(chunk) {
            return committed_epoch == epoch;
        }
        let is_fenced =
            revision != self.store.revision || self.now >= self.owners[owner].lease_until;
        if !self.store.commit(chunk, epoch, results.clone(), is_fenced) {
            return false;
        }
        self.history.chunk_reads.entry(chunk).or_default().push(results);
        true
    }

    /// Finishes the job if the owner still owns it; retries while the store is unavailable.
    fn finish_job(&mut self, owner: usize) {
        if self.store.is_down(self.now) {
            let retry = ScheduledAction::ApplyCommand(owner, JobCommand::FinishJob(JOB_ID), true);
            self.schedule(self.now + 100, retry);
        } else if self.owners[owner].revision == self.store.revision {
            self.history.finished = true;
        }
    }

    /// Records the caller's cancellation, stops a responsive owner and confirms the cancellation.
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
        let owner_state = &mut self.owners[owner];
        if self.now >= owner_state.paused_until && !owner_state.crashed {
            owner_state.stopped = true;
            self.confirm_cancel();
        }
        // Otherwise the next claim confirms it, once the owner's lease has expired.
    }

    /// Confirms to the caller that the job has stopped.
    fn confirm_cancel(&mut self) {
        if self.history.cancel_confirmed_at.is_none() {
            self.history.cancel_confirmed_at = Some(self.now);
        }
    }

    /// Reads every committed chunk as a caller would, from any journal replica that holds it.
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
