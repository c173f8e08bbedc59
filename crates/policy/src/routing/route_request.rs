//! What a routing decision depends on.

use crate::TargetId;
use crate::WorkClass;

/// How an entry picks among the targets of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoutingPolicy {
    /// Prefix affinity with bounded load, then the better of two random choices.
    #[default]
    BoundedAffinity,
    /// The better of two random choices.
    TwoChoices,
    /// Each target in turn, whatever its load; a baseline for measurements.
    RoundRobin,
}

/// One request, as far as routing is concerned.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Hash of what targets may have cached, or of the key that binds repeated requests.
    pub affinity: Option<u64>,
    /// Whether the affinity outranks load, as it does for keys that bind repeated requests.
    pub strict_affinity: bool,
    /// The kind of work.
    pub class: WorkClass,
    /// Targets that have refused or lost this request already.
    pub excluded: &'a [TargetId],
    /// Hash of the service's name.
    pub service: u64,
}
