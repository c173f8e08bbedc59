//! The scheduled actions of the batch simulation, ordered by virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use cv_policy::batch::AttemptOutcome;
use cv_policy::batch::JobCommand;
use cv_policy::batch::JobEvent;

/// An action of the batch simulation; owners are given by index.
#[derive(Clone, Debug)]
pub enum ScheduledAction {
    /// Delivers an event to an owner.
    DeliverEvent(usize, JobEvent),
    /// Applies an owner's command; the flag tells whether it held its lease when it issued it.
    ApplyCommand(usize, JobCommand, bool),
    /// Runs an owner's periodic tick.
    Tick(usize),
    /// Lets a new owner claim the job unless a lease is held.
    Claim,
    /// Ends a run of an item.
    EndRun(usize, u32, AttemptOutcome),
    /// Continues the caller's cancellation.
    Cancel,
}

/// Pending actions by time in milliseconds; those of the same time keep their insertion order.
#[derive(Debug, Default)]
pub struct ActionQueue {
    actions: BTreeMap<u64, ScheduledAction>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Sequence number of the latest scheduled action.
    sequence: u64,
}

impl ActionQueue {
    /// Schedules an action at a time in milliseconds.
    pub fn schedule(&mut self, time: u64, action: ScheduledAction) {
        self.sequence += 1;
        self.actions.insert(self.sequence, action);
        self.queue.push(Reverse((time, self.sequence)));
    }

    /// Removes and returns the next action with its time.
    pub fn pop(&mut self) -> Option<(u64, ScheduledAction)> {
        let Reverse((time, sequence)) = self.queue.pop()?;
        Some((time, self.take(sequence)))
    }

    /// Removes and returns all pending actions, in no particular order.
    pub fn drain(&mut self) -> Vec<(u64, ScheduledAction)> {
        let entries: Vec<Reverse<(u64, u64)>> = self.queue.drain().collect();
        entries.into_iter().map(|Reverse((time, sequence))| (time, self.take(sequence))).collect()
    }

    /// Removes and returns the action with this sequence number.
    fn take(&mut self, sequence: u64) -> ScheduledAction {
        self.actions.remove(&sequence).expect("every queued sequence number has an action")
    }
}
