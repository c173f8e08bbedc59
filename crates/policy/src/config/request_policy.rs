//! The policy in effect for one request.

use std::time::Duration;

use super::ServiceKind;

/// Settings that apply to a request of an organisation to a service, after all exceptions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestPolicy {
    /// Time for the whole response, unless the caller sets a shorter deadline.
    pub deadline: Duration,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Maximum number of attempts of an online request, the first included.
    pub request_attempts: u32,
    /// Weight of the organisation in fair sharing.
    pub weight: u32,
}
