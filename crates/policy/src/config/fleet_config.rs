//! The shape of the fleet's configuration.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::RequestPolicy;

/// Weight of an organisation that the configuration does not name.
const DEFAULT_WEIGHT: u32 = 1;

/// Settings that hold for the whole fleet unless an exception says otherwise.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct FleetDefaults {
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Runs of a batch item before it ends as failed.
    pub item_attempts: u32,
    /// Sends of an online request, the first included.
    pub request_attempts: u32,
    /// Time for which results stay readable after a job's end, in hours.
    pub retention_hours: u64,
}

impl Default for FleetDefaults {
    fn default() -> Self {
        Self { deadline_ms: 30_000, item_attempts: 3, request_attempts: 3, retention_hours: 168 }
    }
}

/// What stands behind a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A model engine.
    Model,
    /// A plain service.
    #[default]
    Plain,
}

/// One service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServicePolicy {
    /// Deadline of its requests, in milliseconds, instead of the fleet's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// What stands behind it.
    #[serde(default)]
    pub kind: ServiceKind,
    /// Its name.
    pub name: String,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub repeatable: bool,
}

/// One organisation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrganisationPolicy {
    /// Its name.
    pub name: String,
    /// SHA-256 hashes of its callers' tokens, in hexadecimal.
    #[serde(default)]
    pub token_hashes: Vec<String>,
    /// Its weight in the shares.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A deviation from the defaults, with the reason why it exists.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigException {
    /// Who made it.
    pub author: String,
    /// When it was made, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub created_ms: u64,
    /// The deadline that it sets, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The organisation that it is for; all, if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
    /// Why it exists.
    pub reason: String,
    /// The service that it is for; all, if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// When it ends, in milliseconds since the Unix epoch; never, if there is no time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until_ms: Option<u64>,
    /// The organisation's weight that it sets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
}

/// The whole configuration of a fleet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct FleetConfig {
    /// What holds for the whole fleet.
    pub defaults: FleetDefaults,
    /// The short list of deviations.
    pub exceptions: Vec<ConfigException>,
    /// SHA-256 hashes of the operators' tokens, in hexadecimal.
    pub operator_token_hashes: Vec<String>,
    /// Organisations, sorted by name.
    pub organisations: Vec<OrganisationPolicy>,
    /// Services, sorted by name.
    pub services: Vec<ServicePolicy>,
}

impl FleetConfig {
    /// Sorts the tables for binary search.
    pub fn sort(&mut self) {
        self.organisations.sort_by(|left, right| left.name.cmp(&right.name));
        self.services.sort_by(|left, right| left.name.cmp(&right.name));
    }

    /// Finds a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServicePolicy> {
        let found = self.services.binary_search_by(|service| service.name.as_str().cmp(name));
        found.ok().map(|position| &self.services[position])
    }

    /// Finds an organisation.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&OrganisationPolicy> {
        let organisations = &self.organisations;
        let found = organisations.binary_search_by(|row| row.name.as_str().cmp(name));
        found.ok().map(|position| &organisations[position])
    }

    /// Returns the rules for one service and organisation at a wall-clock time.
    #[must_use]
    pub fn request_policy(
        &self,
        service: &str,
        organisation: &str,
        wall_millis: u64,
    ) -> RequestPolicy {
        let policy = self.service(service);
        let kind = policy.map_or(ServiceKind::Plain, |policy| policy.kind);
        let mut rules = RequestPolicy {
            deadline: Duration::from_millis(
                policy.and_then(|policy| policy.deadline_ms).unwrap_or(self.defaults.deadline_ms),
            ),
            kind,
            request_attempts: self.defaults.request_attempts,
            // A call that may not be repeated is the safe assumption for what nobody described.
            repeatable: policy.is_some_and(|policy| policy.repeatable),
            weight: self.organisation(organisation).map_or(DEFAULT_WEIGHT, |row| row.weight),
        };
        for exception in &self.exceptions {
            if exception.applies(service, organisation, wall_millis) {
                exception.change(&mut rules);
            }
        }
        rules
    }
}

impl ConfigException {
    /// Tells whether the exception is for this service and organisation at this time.
    fn applies(&self, service: &str, organisation: &str, wall_millis: u64) -> bool {
        self.service.as_deref().is_none_or(|name| name == service)
            && self.organisation.as_deref().is_none_or(|name| name == organisation)
            && self.until_ms.is_none_or(|until| wall_millis < until)
    }

    /// Puts the exception's values into the rules.
    fn change(&self, rules: &mut RequestPolicy) {
        if let Some(deadline_ms) = self.deadline_ms {
            rules.deadline = Duration::from_millis(deadline_ms);
        }
        if let Some(weight) = self.weight {
            rules.weight = weight;
        }
    }
}

/// Returns the weight of an organisation whose entry names none.
fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}
