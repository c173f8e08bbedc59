//! Routes of the configuration, which map a request's host and path to services and limits.

use std::time::Duration;

use crate::AcceptedRoute;
use crate::CustomerRule;
use crate::CustomerTable;
use crate::JobRoute;

/// Kind of the requests of a route, which decides whether they may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Idempotent requests, which may run more than once.
    Safe,
    /// Requests that run at most once per attempt of the caller.
    Unsafe,
    /// Requests whose responses are streams of numbered events.
    Streaming,
    /// Batch jobs of many items, which run asynchronously.
    Batch,
}

/// One route of the configuration.
#[derive(Clone, Debug)]
pub struct RouteRule {
    /// Time after a job's submission from which unfinished items may be abandoned.
    pub abandon_after: Duration,
    /// Time after a job's submission by which all results are due.
    pub due_after: Duration,
    /// Host that requests name.
    pub host: String,
    /// Whether callers need no key although the configuration names customers.
    pub is_anonymous: bool,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Most targets that one attempt of a caller is sent to.
    pub max_attempts: u32,
    /// Name of the route.
    pub name: String,
    /// Latency objective of a response.
    pub objective: Duration,
    /// Path prefix that requests have, with a slash at both ends.
    pub prefix: String,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether another target can resume a stream after a given event.
    pub resumable: bool,
    /// Services among which requests are split.
    pub services: Vec<ServiceShare>,
    /// Longest time that a caller waits for a response.
    pub timeout: Duration,
    /// Most tokens that may be queued on the route over all nodes; 0 means no limit.
    pub max_queued_tokens: u64,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares.
    pub weight: u32,
}

/// A service of the configuration.
#[derive(Clone, Debug)]
pub struct ServiceRule {
    /// Whether its targets are model engines, each with a sidecar.
    pub is_model: bool,
    /// Name of the service.
    pub name: String,
    /// Requests that one of its engines runs concurrently; 0 for other services.
    pub slots: u32,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

/// Who sends a request, by the key that it carries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Identification<'a> {
    /// The configuration asks for no keys.
    NotAsked,
    /// The caller needs no key and has none that is known.
    Anonymous,
    /// The caller's key belongs to this customer.
    Customer(&'a CustomerRule),
    /// The caller's key is missing or unknown, so that its request is rejected.
    Rejected,
}

/// The routes, services and limits of one version of the configuration.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Customers by whose keys callers are identified; `None` if the configuration asks for no keys.
    pub customers: Option<CustomerTable>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
    /// Routes, sorted by host, then by descending length of the prefix.
    routes: Vec<RouteRule>,
    /// Services, sorted by name.
    services: Vec<ServiceRule>,
    /// Version number; a higher one replaces a lower one.
    pub version: u64,
}

impl RouteRule {
    /// Returns whether a request that may have run already may be sent to another target.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        self.kind == RouteKind::Safe || (self.kind == RouteKind::Streaming && self.resumable)
    }

    /// Picks a service with a probability in proportion to its weight.
    ///
    /// `random` is any uniformly distributed number. Returns `None` if all weights are 0.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = random.checked_rem(total)?;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }

    /// Returns whether the route sends a share of its requests to a service.
    #[must_use]
    pub fn uses_service(&self, service: &str) -> bool {
        self.services.iter().any(|share| share.weight > 0 && share.service == service)
    }
}

impl RouteTable {
    /// Creates a table from routes and services in any order.
    #[must_use]
    pub fn new(
        version: u64,
        limits: CallerLimits,
        mut routes: Vec<RouteRule>,
        mut services: Vec<ServiceRule>,
    ) -> Self {
        routes.sort_by(|left, right| {
            let by_length = right.prefix.len().cmp(&left.prefix.len());
            left.host.cmp(&right.host).then(by_length)
        });
        services.sort_by(|left, right| left.name.cmp(&right.name));
        Self { customers: None, limits, routes, services, version }
    }

    /// Sets the customers by whose keys callers are identified from now on.
    #[must_use]
    pub fn with_customers(self, customers: CustomerTable) -> Self {
        Self { customers: Some(customers), ..self }
    }

    /// Identifies the caller of a request by its key; `needs_no_key` if the request's route is
    /// anonymous.
    #[must_use]
    pub fn identify(&self, key: Option<&str>, needs_no_key: bool) -> Identification<'_> {
        let Some(customers) = &self.customers else {
            return Identification::NotAsked;
        };
        match key.and_then(|key| customers.by_key(key)) {
            Some(customer) => Identification::Customer(customer),
            None if needs_no_key => Identification::Anonymous,
            None => Identification::Rejected,
        }
    }

    /// Returns whether a host has an anonymous route for jobs, so that calls about its jobs, which
    /// name no route, need no key.
    #[must_use]
    pub fn has_anonymous_jobs(&self, host: &str) -> bool {
        let is_anonymous = |route: &RouteRule| route.kind == RouteKind::Batch && route.is_anonymous;
        self.routes.iter().any(|route| route.host == host && is_anonymous(route))
    }

    /// Finds the route of a host with the longest prefix of a path; a query string is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.matching(host, path).next()
    }

    /// Finds the batch route of a host with the longest prefix of a path, whether or not a route of
    /// another kind has a longer one.
    #[must_use]
    pub fn find_batch(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.matching(host, path).find(|route| route.kind == RouteKind::Batch)
    }

    /// Returns the route that accepts a job submitted to a host and path; `None` if it is no batch
    /// route.
    #[must_use]
    pub fn accepting_route(&self, host: &str, path: &str) -> Option<AcceptedRoute> {
        let route = self.find(host, path).filter(|route| route.kind == RouteKind::Batch)?;
        Some(AcceptedRoute::new(route, self.version))
    }

    /// Returns what this configuration says about the route that accepted a job.
    #[must_use]
    pub fn job_route(&self, accepted: &AcceptedRoute) -> JobRoute<'_> {
        let is_accepted =
            |route: &&RouteRule| route.kind == RouteKind::Batch && route.name == accepted.name;
        match self.routes.iter().find(is_accepted) {
            Some(route) => JobRoute::InForce(route),
            None if self.version < accepted.config_version => JobRoute::Unknown,
            None => JobRoute::Ended,
        }
    }

    /// Returns the routes of a host whose prefixes begin a path, in order of descending length.
    fn matching<'a>(&'a self, host: &str, path: &str) -> impl Iterator<Item = &'a RouteRule> {
        let first = self.routes.partition_point(|route| route.host.as_str() < host);
        let of_host = self.routes[first..].iter().take_while(move |route| route.host == host);
        let path = path.split('?').next().unwrap_or(path);
        of_host.filter(move |route| path.starts_with(&route.prefix))
    }

    /// Returns whether any route has the host.
    #[must_use]
    pub fn has_host(&self, host: &str) -> bool {
        self.routes.binary_search_by(|route| route.host.as_str().cmp(host)).is_ok()
    }

    /// Returns the service of a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        let position = self.services.binary_search_by(|service| service.name.as_str().cmp(name));
        position.ok().map(|position| &self.services[position])
    }

    /// Returns the routes, sorted by host, then by descending length of the prefix.
    #[must_use]
    pub fn routes(&self) -> &[RouteRule] {
        &self.routes
    }
}
