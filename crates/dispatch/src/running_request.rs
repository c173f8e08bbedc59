//! A request that an engine runs.

use cv_policy::MonotonicTime;

use crate::waiting_request::WaitingRequest;

/// A request that the engine runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningRequest {
    /// The request as it waited before it started.
    pub request: WaitingRequest,
    /// When the run started.
    pub started: MonotonicTime,
}
