//! Serves an entry's metrics, and its view to its peers.

use std::rc::Rc;

use bytes::Bytes;
use cv_http::HttpFault;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use http::HeaderMap;
use http::StatusCode;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::FleetView;
use crate::peer_sync::VIEW_PATH;
use crate::peer_sync::respond_view;
use crate::store_contact::STORE_CONTACT_PATH;
use crate::store_contact::respond_store_contact;

/// Path of the metrics.
pub(crate) const METRICS_PATH: &str = "/metrics";

/// Handles requests on an entry's internal port.
pub(crate) struct InternalHandler {
    /// The metrics to serve.
    pub registry: Registry,
    /// The view to share with peers.
    pub view: Rc<FleetView>,
}

impl RequestHandler for InternalHandler {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        match exchange.head().uri.path() {
            METRICS_PATH => respond_metrics(exchange, &self.registry).await,
            VIEW_PATH => respond_view(exchange, &self.view).await,
            STORE_CONTACT_PATH => {
                let has_contact = self.view.store_health.contact_time().is_some();
                respond_store_contact(exchange, &self.view, has_contact).await
            }
            _ => exchange.respond(StatusCode::NOT_FOUND, &HeaderMap::new(), &Bytes::new()).await,
        }
    }
}

/// Responds with all metrics of a registry in the Prometheus text format.
pub(crate) async fn respond_metrics(
    exchange: &mut ServerExchange<'_>,
    registry: &Registry,
) -> Result<(), HttpFault> {
    let mut text = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut text) {
        Ok(()) => exchange.respond(StatusCode::OK, &HeaderMap::new(), &Bytes::from(text)).await,
        Err(fault) => {
            log::error!("cannot encode the metrics, responding with status 500: {fault}");
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            exchange.respond(status, &HeaderMap::new(), &Bytes::new()).await
        }
    }
}
