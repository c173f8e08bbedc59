//! What a keeper has granted to a customer in the last window.

use std::collections::VecDeque;
use std::time::Duration;

use cv_policy::MonotonicTime;

/// Time within which grants are counted together; a window counts up to this much longer.
const STEP: Duration = Duration::from_millis(100);

/// Counts of the grants of the last window, in steps of 100 ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantWindow {
    /// When each step began, with its grants; the oldest first.
    steps: VecDeque<(MonotonicTime, u32)>,
}

impl GrantWindow {
    /// Length of a window: the 5 s in which the quota bounds the requests, and some of the time for
    /// which an entry may hold credit. Credit is held only while the window is less than half full.
    pub const LENGTH: Duration = Duration::from_millis(5_100);

    /// Returns the grants of the window that ends now.
    pub fn granted(&self, now: MonotonicTime) -> u32 {
        let current = self.steps.iter().filter(|(began, _)| is_in_window(now, *began));
        current.map(|(_, granted)| granted).sum()
    }

    /// Records grants.
    pub fn record(&mut self, now: MonotonicTime, granted: u32) {
        while self.steps.front().is_some_and(|(began, _)| !is_in_window(now, *began)) {
            self.steps.pop_front();
        }
        match self.steps.back_mut() {
            Some((began, count)) if now.since(*began) < STEP => *count += granted,
            _ => self.steps.push_back((now, granted)),
        }
    }

    /// Takes back grants that were not used, the newest first.
    pub fn take_back(&mut self, mut returned: u32) {
        for (_, granted) in self.steps.iter_mut().rev() {
            let taken = returned.min(*granted);
            *granted -= taken;
            returned -= taken;
        }
    }

    /// Returns the time until the oldest grants leave the window.
    pub fn next_release(&self, now: MonotonicTime) -> Duration {
        let oldest =
            self.steps.iter().find(|(began, granted)| *granted > 0 && is_in_window(now, *began));
        oldest.map_or(STEP, |(began, _)| now.until(*began + Self::LENGTH + STEP))
    }
}

/// Returns whether grants of the step that began at a time may lie in the window that ends now.
fn is_in_window(now: MonotonicTime, began: MonotonicTime) -> bool {
    now.since(began) < GrantWindow::LENGTH + STEP
}
