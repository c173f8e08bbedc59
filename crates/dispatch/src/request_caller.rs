//! Who sends a request, and how urgent that makes it.

use cv_policy::stable_hash;
use serde::Deserialize;
use serde::Serialize;

use crate::CustomerRule;
use crate::ShareKey;

/// Who sends a request, as far as the configuration asks for it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestCaller {
    /// The configuration names no customers, so no caller is identified.
    #[default]
    Unidentified,
    /// The route accepts callers without a key, and this one has none that is known.
    Anonymous,
    /// The customer with this name.
    Customer(String),
}

/// Urgency of a request; the smallest rank goes first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestRank {
    /// Priority of the customer, or of the route for a caller that is no customer.
    pub customer: u32,
    /// Priority of the route.
    pub route: u32,
}

/// Identifies a customer to sidecars, without its name.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CustomerId(pub u64);

impl RequestCaller {
    /// Returns the customer's name; `None` for other callers.
    #[must_use]
    pub fn customer(&self) -> Option<&str> {
        match self {
            Self::Customer(name) => Some(name),
            Self::Unidentified | Self::Anonymous => None,
        }
    }

    /// Returns the id by which the queues of sidecars know the customer; `None` for other callers.
    #[must_use]
    pub fn customer_id(&self) -> Option<CustomerId> {
        self.customer().map(CustomerId::of)
    }

    /// Returns the key by which queues share slots between callers, for requests of a rank.
    ///
    /// All requests have the same key if the configuration names no customers, so that the priorities
    /// of routes do not change the order of the queues there.
    #[must_use]
    pub fn share_key(&self, rank: RequestRank) -> ShareKey {
        match self {
            Self::Unidentified => ShareKey::default(),
            Self::Anonymous | Self::Customer(_) => ShareKey { rank, customer: self.customer_id() },
        }
    }

    /// Returns whether this caller may act on a job that `submitter` has submitted.
    ///
    /// A job that was submitted before the configuration named customers belongs to nobody.
    #[must_use]
    pub fn may_access_job_of(&self, submitter: &Self) -> bool {
        match (self, submitter) {
            (Self::Unidentified, _) | (_, Self::Unidentified | Self::Anonymous) => true,
            (Self::Anonymous, Self::Customer(_)) => false,
            (Self::Customer(caller), Self::Customer(submitter)) => caller == submitter,
        }
    }
}

impl RequestRank {
    /// Returns the rank of a request of a customer, if there is one, on a route with a priority.
    #[must_use]
    pub fn new(customer: Option<&CustomerRule>, route_priority: u32) -> Self {
        let customer = customer.map_or(route_priority, |rule| rule.priority);
        Self { customer, route: route_priority }
    }
}

impl CustomerId {
    /// Returns the id of the customer with a name, the same in all processes.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(stable_hash(&[name]))
    }
}
