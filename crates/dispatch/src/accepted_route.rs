//! The route that accepted a job.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::RouteRule;

/// The route that accepted a job. The job belongs to it for good, whatever other routes have a prefix
/// of its path later.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedRoute {
    /// Time after the job's submission from which the route allowed to give its items up.
    pub abandon_after: Duration,
    /// Version of the configuration by which the job was accepted.
    pub config_version: u64,
    /// Name of the route, by which other versions of the configuration know it.
    pub name: String,
}

impl AcceptedRoute {
    /// Creates the record of a route that accepts a job by the configuration of a version.
    #[must_use]
    pub fn new(rule: &RouteRule, config_version: u64) -> Self {
        let (abandon_after, name) = (rule.abandon_after, rule.name.clone());
        Self { abandon_after, config_version, name }
    }

    /// Returns the time after the job's submission from which its items may be given up: the longer
    /// one of what the job was accepted with and what the route has now.
    #[must_use]
    pub fn abandon_limit(&self, rule: &RouteRule) -> Duration {
        self.abandon_after.max(rule.abandon_after)
    }
}
