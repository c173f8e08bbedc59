//! The input of a routing decision.

use crate::TargetId;
use crate::WorkClass;

/// Load-balancing policy of an entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoutingPolicy {
    /// Prefix affinity with bounded load, else the less loaded of two random targets.
    #[default]
    BoundedAffinity,
    /// The less loaded of two random targets.
    TwoChoices,
    /// Each ready target in turn, regardless of load and ejections; a baseline for benchmarks.
    RoundRobin,
}

/// The properties of a request that routing depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Hash of the prompt prefix that targets may have cached, or of the request key whose retries
    /// must reach the same target.
    pub affinity: Option<u64>,
    /// Whether affinity overrides load and ejections, as it does for request keys.
    pub strict_affinity: bool,
    /// Work class of the request.
    pub class: WorkClass,
    /// Targets that already refused or lost this request.
    pub excluded: &'a [TargetId],
    /// Hash of the service's name.
    pub service: u64,
}
