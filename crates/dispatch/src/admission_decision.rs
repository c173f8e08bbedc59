//! What the queue of an engine does with an arriving request.

use std::time::Duration;

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It starts at once.
    Start,
    /// It waits for a slot.
    Wait,
    /// It is refused; holds the expected wait for a slot, or zero if this queue is draining.
    Refuse(Duration),
}
