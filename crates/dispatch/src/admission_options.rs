//! Options with which a request enters the queue of an engine.

use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_policy::WorkClass;

use crate::ShareKey;

/// Class and time limits of an arriving request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionOptions {
    /// Class of the request: online or batch.
    pub class: WorkClass,
    /// Whether earlier runs of a batch request have produced output.
    pub has_begun: bool,
    /// When a batch request is due; ignored for online requests.
    pub due: MonotonicTime,
    /// Longest expected wait with which an online request is admitted.
    pub max_expected_wait: Duration,
    /// Time in which an online request has to start to meet its latency objective.
    pub objective_left: Duration,
    /// Expected run time of a batch request.
    pub expected_run: Duration,
    /// Number of queues in which an online request waits at once; it takes a slot in only one.
    pub queues: u32,
    /// Time after which an admitted online request leaves the queue without a slot.
    pub queue_timeout: Duration,
    /// Rank and customer of the request; the default if callers are not identified.
    pub share: ShareKey,
}
