//! The schema of the fleet configuration.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::RequestPolicy;

/// Weight of an organisation that is not configured or has no weight.
const DEFAULT_WEIGHT: u32 = 1;

/// Fleet-wide settings, used unless a service or an exception overrides them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct FleetDefaults {
    /// Deadline of a request without its own, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of attempts of a batch item, after which it fails.
    pub item_attempts: u32,
    /// Maximum number of attempts of an online request, the first included.
    pub request_attempts: u32,
    /// Time for which results stay available after a job has ended, in hours.
    pub retention_hours: u64,
}

impl Default for FleetDefaults {
    fn default() -> Self {
        Self { deadline_ms: 30_000, item_attempts: 3, request_attempts: 3, retention_hours: 168 }
    }
}

/// Kind of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Served by model engines.
    Model,
    /// Served by any other HTTP server.
    #[default]
    Plain,
}

/// Configuration of one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServicePolicy {
    /// Deadline of its requests, in milliseconds; overrides the fleet-wide one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Kind of the service.
    #[serde(default)]
    pub kind: ServiceKind,
    /// Name of the service.
    pub name: String,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub repeatable: bool,
}

/// Configuration of one organisation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrganisationPolicy {
    /// Name of the organisation.
    pub name: String,
    /// SHA-256 hashes of its callers' tokens, in hexadecimal.
    #[serde(default)]
    pub token_hashes: Vec<String>,
    /// Its weight in fair sharing.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// An override of the settings of a service or organisation, with its author and reason.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigException {
    /// Operator who added the exception.
    pub author: String,
    /// Time at which it was added, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub created_ms: u64,
    /// Deadline to set, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Organisation to which it applies; all if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
    /// Reason for the exception.
    pub reason: String,
    /// Service to which it applies; all if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Time at which it expires, in milliseconds since the Unix epoch; never if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until_ms: Option<u64>,
    /// Weight to set for the organisation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
}

/// The configuration of a fleet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct FleetConfig {
    /// Fleet-wide settings.
    pub defaults: FleetDefaults,
    /// Overrides, applied in order.
    pub exceptions: Vec<ConfigException>,
    /// SHA-256 hashes of the operators' tokens, in hexadecimal.
    pub operator_token_hashes: Vec<String>,
    /// Organisations, sorted by name.
    pub organisations: Vec<OrganisationPolicy>,
    /// Services, sorted by name.
    pub services: Vec<ServicePolicy>,
}

impl FleetConfig {
    /// Sorts organisations and services by name, which the lookups require.
    pub fn sort(&mut self) {
        self.organisations.sort_by(|left, right| left.name.cmp(&right.name));
        self.services.sort_by(|left, right| left.name.cmp(&right.name));
    }

    /// Returns the configuration of a service, if it has one.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServicePolicy> {
        let found = self.services.binary_search_by(|service| service.name.as_str().cmp(name));
        found.ok().map(|position| &self.services[position])
    }

    /// Returns the configuration of an organisation, if it has one.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&OrganisationPolicy> {
        let organisations = &self.organisations;
        let found = organisations.binary_search_by(|row| row.name.as_str().cmp(name));
        found.ok().map(|position| &organisations[position])
    }

    /// Returns the policy for a request of `organisation` to `service`, with the exceptions that
    /// apply at `wall_millis`, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn request_policy(
        &self,
        service: &str,
        organisation: &str,
        wall_millis: u64,
    ) -> RequestPolicy {
        let policy = self.service(service);
        let kind = policy.map_or(ServiceKind::Plain, |policy| policy.kind);
        let mut resolved = RequestPolicy {
            deadline: Duration::from_millis(
                policy.and_then(|policy| policy.deadline_ms).unwrap_or(self.defaults.deadline_ms),
            ),
            kind,
            request_attempts: self.defaults.request_attempts,
            // A service without a configuration is assumed not to be repeatable, which is safe.
            repeatable: policy.is_some_and(|policy| policy.repeatable),
            weight: self.organisation(organisation).map_or(DEFAULT_WEIGHT, |row| row.weight),
        };
        for exception in &self.exceptions {
            if exception.applies_to(service, organisation, wall_millis) {
                exception.apply(&mut resolved);
            }
        }
        resolved
    }
}

impl ConfigException {
    /// Returns whether the exception applies to this service and organisation at this time.
    fn applies_to(&self, service: &str, organisation: &str, wall_millis: u64) -> bool {
        self.service.as_deref().is_none_or(|name| name == service)
            && self.organisation.as_deref().is_none_or(|name| name == organisation)
            && self.until_ms.is_none_or(|until| wall_millis < until)
    }

    /// Overrides the settings that the exception sets.
    fn apply(&self, policy: &mut RequestPolicy) {
        if let Some(deadline_ms) = self.deadline_ms {
            policy.deadline = Duration::from_millis(deadline_ms);
        }
        if let Some(weight) = self.weight {
            policy.weight = weight;
        }
    }
}

/// Returns the weight of an organisation without one.
fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}
