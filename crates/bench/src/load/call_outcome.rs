//! The outcome of one call, as its caller sees it.

use std::time::Duration;

/// How a call ended, as far as its caller can tell.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallOutcome {
    /// The response was complete and correct.
    Completed,
    /// The response belongs to another request.
    Crossed,
    /// The response was short but ended like a complete one.
    Truncated,
    /// The connection broke within the response, so the caller can tell that it is incomplete.
    CutOff,
    /// The system reported that the request did not run.
    NotRun,
    /// The system reported that the request failed.
    Failed,
    /// The system reported that it does not know, or sent no response.
    Unknown,
}

/// The outcome and latencies of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallRecord {
    /// Time to the first token or byte of the response.
    pub first_response: Duration,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Time to the end of the response.
    pub total: Duration,
}

impl CallRecord {
    /// Returns whether the complete response arrived within the deadline.
    #[must_use]
    pub fn is_in_time(&self, deadline: Duration) -> bool {
        self.outcome == CallOutcome::Completed && self.total <= deadline
    }
}
