//! Actions that the queue of an engine asks for.

use cv_policy::TicketId;

/// An action that the queue asks its owner to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueCommand {
    /// Send a waiting request to the engine.
    Start(TicketId),
    /// Stop a batch run; its request waits in the queue again.
    Preempt(TicketId),
    /// Refuse an admitted request, because its queue timeout has passed or its engine or this
    /// process is draining; if it is a running batch request, stop its run.
    Evict(TicketId),
}
