//! What is to happen in the batch world, in the order of its time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use cv_policy::batch::AttemptOutcome;
use cv_policy::batch::JobCommand;
use cv_policy::batch::JobEvent;

/// What is to happen at some time.
#[derive(Clone, Debug)]
pub enum ScheduledAction {
    /// An owner hears an event.
    DeliverEvent(usize, JobEvent),
    /// A command of an owner takes effect.
    ApplyCommand(usize, JobCommand, bool),
    /// An owner ticks.
    Tick(usize),
    /// Somebody takes the job over if nobody holds it.
    Claim,
    /// A run of an item has ended.
    EndRun(usize, u32, AttemptOutcome),
    /// The caller's cancellation goes on.
    Cancel,
}

/// All actions to come; those of one time stay in the order in which they were planned.
#[derive(Debug, Default)]
pub struct ActionQueue {
    actions: BTreeMap<u64, ScheduledAction>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    sequence: u64,
}

impl ActionQueue {
    /// Plans an action.
    pub fn schedule(&mut self, time: u64, action: ScheduledAction) {
        self.sequence += 1;
        self.actions.insert(self.sequence, action);
        self.queue.push(Reverse((time, self.sequence)));
    }

    /// Takes the next action, with its time.
    pub fn pop(&mut self) -> Option<(u64, ScheduledAction)> {
        let Reverse((time, id)) = self.queue.pop()?;
        Some((time, self.take(id)))
    }

    /// Takes all actions to come, in no order.
    pub fn drain(&mut self) -> Vec<(u64, ScheduledAction)> {
        let rows: Vec<Reverse<(u64, u64)>> = self.queue.drain().collect();
        rows.into_iter().map(|Reverse((time, id))| (time, self.take(id))).collect()
    }

    /// Takes an action out.
    fn take(&mut self, id: u64) -> ScheduledAction {
        self.actions.remove(&id).expect("every planned action is there")
    }
}
