//! A request that waits for a slot.

use cv_policy::MonotonicTime;
use cv_policy::TicketId;

use crate::ShareKey;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    /// What the start of the request costs its customer: 1 for an online request, the expected run
    /// time in seconds for a batch request.
    pub cost: f64,
    /// Batch: whether earlier runs have produced output.
    pub has_begun: bool,
    /// Rank and customer of the request.
    pub key: ShareKey,
    /// Batch: time after which it will probably be late if it starts.
    pub latest_start: MonotonicTime,
    /// Batch: when it is due. Online: when its queue timeout ends.
    pub deadline: MonotonicTime,
    /// Online: time until which it has to start to meet its latency objective.
    pub meets_objective_until: MonotonicTime,
    /// Probability that it takes a slot of this engine: below 1 if it waits in other queues, too.
    pub share: f64,
    /// The request's place in the queue.
    pub ticket: TicketId,
}
