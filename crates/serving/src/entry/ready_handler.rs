//! Tells the platform whether the entry takes requests.

use std::rc::Rc;

use bytes::Bytes;
use cv_http::DrainGate;
use cv_http::HttpFault;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use http::HeaderMap;
use http::StatusCode;

use crate::FleetView;

/// Answers questions about readiness.
pub(crate) struct ReadyHandler {
    /// The gate of the callers' server.
    pub gate: DrainGate,
    /// What the entry knows.
    pub view: Rc<FleetView>,
}

impl RequestHandler for ReadyHandler {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let is_ready = self.view.is_ready() && !self.gate.is_closing();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        exchange.respond(status, &HeaderMap::new(), &Bytes::new()).await
    }
}
