//! What a caller saw of one call.

use std::time::Duration;

/// How a call ended, as far as its caller can tell.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallOutcome {
    /// The whole and right answer came.
    Completed,
    /// An answer to something else came.
    Crossed,
    /// A short answer came that looked whole.
    Truncated,
    /// The connection was cut inside the answer, which shows that it is not whole.
    CutOff,
    /// The system said that the request was not run.
    NotRun,
    /// The system said that the request failed.
    Failed,
    /// The system said that it does not know, or nothing at all.
    Unknown,
}

/// One call.
#[derive(Clone, Copy, Debug)]
pub struct CallRecord {
    /// Time to the first token or byte of the answer.
    pub first: Duration,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Time to the end.
    pub total: Duration,
}

impl CallRecord {
    /// Tells whether the whole answer came within the deadline.
    #[must_use]
    pub fn is_in_time(&self, deadline: Duration) -> bool {
        self.outcome == CallOutcome::Completed && self.total <= deadline
    }
}
