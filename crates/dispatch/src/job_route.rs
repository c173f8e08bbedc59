//! What a configuration says about the route of a job.

use crate::RouteRule;

/// What a configuration says about the route that accepted a job.
#[derive(Clone, Copy, Debug)]
pub enum JobRoute<'a> {
    /// The route is in force.
    InForce(&'a RouteRule),
    /// The operator has removed the route, or made it one of another kind.
    Ended,
    /// The configuration lacks the route, but is older than the one that accepted the job, or none has
    /// been received yet.
    Unknown,
}

impl<'a> JobRoute<'a> {
    /// Returns the route if it is in force.
    #[must_use]
    pub fn in_force(self) -> Option<&'a RouteRule> {
        match self {
            Self::InForce(rule) => Some(rule),
            Self::Ended | Self::Unknown => None,
        }
    }
}
