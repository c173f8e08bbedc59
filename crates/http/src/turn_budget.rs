//! Turns of the tasks and timers that share a thread.

use std::time::Duration;

use monoio::time::sleep;

/// Steps after which a task that has not waited for anything sleeps.
const STEPS_PER_TURN: u32 = 4;

/// Time for which it sleeps, the resolution of the runtime's timers.
const TURN_DELAY: Duration = Duration::from_millis(1);

/// Counts the steps of a task that it takes without waiting, and makes it sleep after a few.
///
/// A peer that sends faster than its bytes are handled keeps every read ready. The runtime checks its
/// timers only when no task is ready, so a task that merely yields would keep all timeouts of the
/// thread from running.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnBudget {
    /// Steps since the task last waited.
    steps: u32,
}

impl TurnBudget {
    /// Records that the task has waited, which gave all others a turn.
    pub fn record_wait(&mut self) {
        self.steps = 0;
    }

    /// Takes one step, such as a read or the decoding of a message; sleeps before it if too many have
    /// been taken.
    pub async fn take_step(&mut self) {
        if self.steps >= STEPS_PER_TURN {
            sleep(TURN_DELAY).await;
            self.steps = 0;
        }
        self.steps += 1;
    }
}
