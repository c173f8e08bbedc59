//! The customers of the configuration, and the keys by which their requests are known.

use std::fmt;

/// A customer of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRule {
    /// Requests that may follow each other at once beyond the rate; ignored without a rate.
    pub burst: f64,
    /// Keys that the customer's callers send.
    pub keys: Vec<String>,
    /// Name, by which targets know the customer.
    pub name: String,
    /// Priority, which goes before that of the route; 0 is the most urgent.
    pub priority: u32,
    /// Requests a second over all entries together; 0 means no limit.
    pub rate_per_s: f64,
}

/// Customers that cannot be told apart, or whose quota makes no sense.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CustomerFault {
    /// Two customers have this name.
    DuplicateName(String),
    /// Two customers have the same key; holds their names.
    SharedKey(String, String),
    /// The quota of the customer is negative or not a number.
    InvalidQuota(String),
}

/// All customers of one version of the configuration.
///
/// A table without customers is not the same as none: it knows no key, so that every request that
/// needs one is rejected.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerTable {
    /// Keys with the index of their customer in `rules`, sorted by key.
    keys: Vec<(String, usize)>,
    /// Sorted by name.
    rules: Vec<CustomerRule>,
}

impl CustomerRule {
    /// Returns whether the number of the customer's requests is limited.
    #[must_use]
    pub fn has_quota(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

impl CustomerTable {
    /// Creates a table from customers in any order.
    ///
    /// # Errors
    /// Two customers have the same name or key, or a quota is invalid.
    pub fn new(mut rules: Vec<CustomerRule>) -> Result<Self, CustomerFault> {
        rules.sort_by(|left, right| left.name.cmp(&right.name));
        if let Some(pair) = rules.windows(2).find(|pair| pair[0].name == pair[1].name) {
            return Err(CustomerFault::DuplicateName(pair[0].name.clone()));
        }
        let is_valid = |number: f64| number.is_finite() && number >= 0.0;
        if let Some(rule) =
            rules.iter().find(|rule| !is_valid(rule.rate_per_s) || !is_valid(rule.burst))
        {
            return Err(CustomerFault::InvalidQuota(rule.name.clone()));
        }
        let mut keys: Vec<(String, usize)> = rules
            .iter()
            .enumerate()
            .flat_map(|(index, rule)| rule.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        keys.sort_unstable();
        keys.dedup();
        if let Some(pair) = keys.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            let name = |position: usize| rules[pair[position].1].name.clone();
            return Err(CustomerFault::SharedKey(name(0), name(1)));
        }
        Ok(Self { keys, rules })
    }

    /// Returns the customer that holds a key.
    #[must_use]
    pub fn by_key(&self, key: &str) -> Option<&CustomerRule> {
        let position = self.keys.binary_search_by(|(other, _)| other.as_str().cmp(key)).ok()?;
        Some(&self.rules[self.keys[position].1])
    }

    /// Returns the customer of a name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&CustomerRule> {
        let position = self.rules.binary_search_by(|rule| rule.name.as_str().cmp(name)).ok()?;
        Some(&self.rules[position])
    }

    /// Returns all customers, sorted by name.
    #[must_use]
    pub fn rules(&self) -> &[CustomerRule] {
        &self.rules
    }
}

impl fmt::Display for CustomerFault {
    /// Names customers and never a key, since the text is logged.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateName(name) => write!(formatter, "two customers have the name {name:?}"),
            Self::SharedKey(one, other) => {
                write!(formatter, "the customers {one:?} and {other:?} share a key")
            }
            Self::InvalidQuota(name) => {
                write!(formatter, "the quota of customer {name:?} is negative or not a number")
            }
        }
    }
}

impl std::error::Error for CustomerFault {}
