//! Checks the quota of the customer of an online request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_dispatch::RequestCaller;
use cv_dispatch::RouteTable;
use cv_dispatch::quota_retry_delay;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_timeline::EventKind;
use cv_timeline::LinePriority;
use http::HeaderMap;
use http::StatusCode;
use prometheus::IntCounter;

use crate::FleetView;
use crate::PlatformAdapter;
use crate::entry::quota_client::QuotaClient;
use crate::entry::quota_client::QuotaCredit;
use crate::entry::quota_client::QuotaDecision;
use crate::entry::retry_headers::retry_headers;

/// Lets online requests pass that are within the quota of their customer.
pub(crate) struct QuotaStage {
    /// Obtains credit from the keepers.
    pub client: Rc<QuotaClient>,
    /// Requests that were over their customer's limit.
    pub over_quota: IntCounter,
    /// Requests that no keeper granted or denied credit.
    pub unknown: IntCounter,
    /// The entry's view.
    pub view: Rc<FleetView>,
}

/// Why a request gets no credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum QuotaRefusal {
    /// Its customer is over the limit; holds the time until there is credit again.
    OverLimit(Duration),
    /// No keeper of the customer replies.
    Unknown,
}

impl QuotaStage {
    /// Obtains credit for a request; `None` if its caller is no customer or has no quota.
    ///
    /// # Errors
    /// The request gets no credit.
    pub async fn admit(
        &self,
        routes: &RouteTable,
        caller: &RequestCaller,
    ) -> Result<Option<QuotaCredit>, QuotaRefusal> {
        let (Some(name), Some(customers)) = (caller.customer(), &routes.customers) else {
            return Ok(None);
        };
        let Some(rule) = customers.by_name(name).filter(|rule| rule.has_quota()) else {
            return Ok(None);
        };
        let keepers: Vec<SocketAddr> =
            self.view.keepers().keepers().iter().map(|keeper| keeper.address).collect();
        match self.client.admit(rule, routes.version, &keepers).await {
            QuotaDecision::Granted(credit) => Ok(Some(credit)),
            QuotaDecision::Uncredited => Ok(None),
            QuotaDecision::OverLimit(wait) => {
                self.over_quota.inc();
                Err(QuotaRefusal::OverLimit(wait))
            }
            QuotaDecision::Unknown => {
                self.unknown.inc();
                Err(QuotaRefusal::Unknown)
            }
        }
    }

    /// Responds with status 429 to a request that is over its customer's limit; it has not run.
    /// `wait` is the time until there is credit again, `left` that until the caller's deadline.
    pub async fn respond_over_limit<P: PlatformAdapter>(
        &self,
        exchange: &mut ServerExchange<'_>,
        caller: &RequestCaller,
        wait: Duration,
        left: Duration,
    ) -> Result<(), HttpFault> {
        let retry_after = quota_retry_delay(wait, left, self.view.random_fraction());
        let subject = P::request_options(&exchange.head().headers).request_id.unwrap_or_default();
        // A customer far above its limit must not displace other lines.
        self.view.log.record(LinePriority::Routine, EventKind::Refused, &subject, || {
            let customer = caller.customer().unwrap_or_default();
            let (retry_ms, wait_ms) = (retry_after.as_millis(), wait.as_millis());
            format!("reason=quota customer={customer} retry_after_ms={retry_ms} wait_ms={wait_ms}")
        });
        let headers: HeaderMap = retry_headers(retry_after);
        exchange.respond(StatusCode::TOO_MANY_REQUESTS, &headers, &Bytes::new()).await
    }
}
