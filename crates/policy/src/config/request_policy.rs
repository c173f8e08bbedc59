//! The rules in effect for one request.

use std::time::Duration;

use super::ServiceKind;

/// What the configuration says about a request to a service by an organisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestPolicy {
    /// Time for the whole answer, unless the caller names a shorter one.
    pub deadline: Duration,
    /// What stands behind the service.
    pub kind: ServiceKind,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Sends of an online request, the first included.
    pub request_attempts: u32,
    /// The organisation's weight in the shares.
    pub weight: u32,
}
