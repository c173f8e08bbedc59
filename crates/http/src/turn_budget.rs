//! Turns of the tasks and timers that share a thread.

use std::future::Future;
use std::future::poll_fn;
use std::pin::pin;
use std::time::Duration;

use monoio::time::sleep;

/// Steps after which a task that has not waited for anything sleeps, unless it sets another number.
const STEPS_PER_TURN: u32 = 4;

/// Time for which it sleeps, the resolution of the runtime's timers.
const TURN_DELAY: Duration = Duration::from_millis(1);

/// Counts the steps of a task that it takes without waiting, and makes it sleep after a few.
///
/// A peer that sends faster than its bytes are handled keeps every read ready. The runtime checks its
/// timers only when no task is ready, so a task that merely yields would keep all timeouts of the
/// thread from running.
#[derive(Clone, Copy, Debug)]
pub struct TurnBudget {
    /// Steps since the task last waited.
    steps: u32,
    steps_per_turn: u32,
}

impl TurnBudget {
    /// Creates the budget of a task that takes at most this number of steps in a turn.
    #[must_use]
    pub fn with_steps(steps_per_turn: u32) -> Self {
        Self { steps: 0, steps_per_turn }
    }

    /// Takes one step, such as a read or the decoding of a message; sleeps before it if too many have
    /// been taken.
    pub async fn take_step(&mut self) {
        if self.steps >= self.steps_per_turn {
            sleep(TURN_DELAY).await;
            self.steps = 0;
        }
        self.steps += 1;
    }

    /// Runs an operation; if it has to wait, all other tasks and timers have had a turn.
    pub async fn track<F: Future>(&mut self, operation: F) -> F::Output {
        let mut operation = pin!(operation);
        poll_fn(|context| {
            let polled = operation.as_mut().poll(context);
            if polled.is_pending() {
                self.steps = 0;
            }
            polled
        })
        .await
    }
}

impl Default for TurnBudget {
    fn default() -> Self {
        Self::with_steps(STEPS_PER_TURN)
    }
}
