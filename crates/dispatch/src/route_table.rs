//! Which service a caller's request goes to, and under which terms.

use std::time::Duration;

/// How often a request of a route may be sent to targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Idempotent requests, which may run more than once.
    Safe,
    /// Requests that run at most once for each caller's attempt.
    Unsafe,
    /// Answers that are streams of numbered events.
    Streaming,
    /// Jobs of many items, which run later.
    Batch,
}

/// One route of the configuration.
#[derive(Clone, Debug)]
pub struct RouteRule {
    /// Time after the submission of a job at which its items may be abandoned.
    pub abandon_after: Duration,
    /// Time after the submission of a job within which all its results are due.
    pub due_after: Duration,
    /// The caller's `Host`.
    pub host: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Most targets that one caller's attempt may be sent to.
    pub max_attempts: u32,
    /// Name of the route.
    pub name: String,
    /// Time within which an answer earns its full worth.
    pub objective: Duration,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Whether a stream may go on at another target after a given event.
    pub resumable: bool,
    /// The services that share the route's requests.
    pub services: Vec<ServiceShare>,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Most tokens that may wait on the route over all nodes; 0 means no limit.
    pub max_queued_tokens: u64,
}

/// A service's share of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Its weight against the other shares.
    pub weight: u32,
}

/// What the configuration says of a service.
#[derive(Clone, Debug)]
pub struct ServiceRule {
    /// Whether its targets are model engines, which have a sidecar each.
    pub is_model: bool,
    /// Name of the service.
    pub name: String,
    /// Requests that one of its engines runs at once; 0 for plain services.
    pub slots: u32,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Routes, sorted by host, the longest prefix first.
    routes: Vec<RouteRule>,
    /// Services, sorted by name.
    services: Vec<ServiceRule>,
    /// Version; a higher one replaces a lower one.
    pub version: u64,
}

impl RouteRule {
    /// Tells whether a request that may have run may be sent again.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        self.kind == RouteKind::Safe || (self.kind == RouteKind::Streaming && self.resumable)
    }

    /// Picks a service by weight; `draw` is any number.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }

    /// Tells whether the route sends any of its requests to a service.
    #[must_use]
    pub fn uses_service(&self, service: &str) -> bool {
        self.services.iter().any(|share| share.weight > 0 && share.service == service)
    }
}

impl RouteTable {
    /// Creates a table from unsorted rows.
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
        Self { limits, routes, services, version }
    }

    /// Finds the route of the longest prefix that begins the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let first = self.routes.partition_point(|route| route.host.as_str() < host);
        let of_host = self.routes[first..].iter().take_while(|route| route.host == host);
        let path = path.split('?').next().unwrap_or(path);
        of_host.into_iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Tells whether any route has the host.
    #[must_use]
    pub fn has_host(&self, host: &str) -> bool {
        self.routes.binary_search_by(|route| route.host.as_str().cmp(host)).is_ok()
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        let position = self.services.binary_search_by(|service| service.name.as_str().cmp(name));
        position.ok().map(|position| &self.services[position])
    }

    /// Returns the routes, sorted by host, the longest prefix first.
    #[must_use]
    pub fn routes(&self) -> &[RouteRule] {
        &self.routes
    }
}
