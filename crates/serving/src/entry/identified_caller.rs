//! Identifies the caller of a request by the active configuration.

use cv_dispatch::Identification;
use cv_dispatch::RequestCaller;
use cv_dispatch::RequestRank;
use cv_dispatch::RouteRule;
use cv_dispatch::RouteTable;
use http::HeaderMap;

use crate::PlatformAdapter;

/// The caller of a request, with the rank that it gives the request.
#[derive(Clone, Debug)]
pub(crate) struct IdentifiedCaller {
    /// Who sends the request.
    pub caller: RequestCaller,
    /// Rank of the request.
    pub rank: RequestRank,
}

impl IdentifiedCaller {
    /// Identifies the caller of a request on a route; `None` if its key is missing or unknown.
    pub fn on_route<P: PlatformAdapter>(
        routes: &RouteTable,
        route: &RouteRule,
        headers: &HeaderMap,
    ) -> Option<Self> {
        let identification = routes.identify(P::caller_key(headers), route.is_anonymous);
        Self::new(identification, route.priority)
    }

    /// Identifies the caller of a call about a job, which names a host but no route; `None` if its
    /// key is missing or unknown.
    pub fn of_job<P: PlatformAdapter>(
        routes: &RouteTable,
        host: &str,
        headers: &HeaderMap,
    ) -> Option<Self> {
        let needs_no_key = routes.has_anonymous_jobs(host);
        Self::new(routes.identify(P::caller_key(headers), needs_no_key), 0)
    }

    /// Returns the caller with its rank; `None` if it is rejected.
    fn new(identification: Identification<'_>, route_priority: u32) -> Option<Self> {
        let (caller, customer) = match identification {
            Identification::NotAsked => (RequestCaller::Unidentified, None),
            Identification::Anonymous => (RequestCaller::Anonymous, None),
            Identification::Customer(rule) => {
                (RequestCaller::Customer(rule.name.clone()), Some(rule))
            }
            Identification::Rejected => return None,
        };
        Some(Self { caller, rank: RequestRank::new(customer, route_priority) })
    }
}
