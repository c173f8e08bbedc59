//! Responds to the platform's readiness probes.

use std::rc::Rc;

use bytes::Bytes;
use cv_http::DrainGate;
use cv_http::HttpFault;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use http::HeaderMap;
use http::StatusCode;

use crate::FleetView;
use crate::entry::quota_client::QuotaClient;

/// Handles readiness probes.
pub(crate) struct ReadyHandler {
    /// The drain gate of the server for callers.
    pub gate: DrainGate,
    /// Asks keepers for the credit of customers with a quota.
    pub quotas: Rc<QuotaClient>,
    /// The entry's view.
    pub view: Rc<FleetView>,
}

impl RequestHandler for ReadyHandler {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        // Without the keepers most requests of customers with a quota are refused here.
        let can_serve = self.view.is_ready() && !self.quotas.is_cut_off();
        let is_ready = can_serve && !self.gate.is_closing();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        exchange.respond(status, &HeaderMap::new(), &Bytes::new()).await
    }
}
