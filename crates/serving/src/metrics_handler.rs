//! Serves a process's metrics.

use bytes::Bytes;
use cv_http::HttpFault;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use http::HeaderMap;
use http::StatusCode;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Path at which the metrics are served.
pub(crate) const METRICS_PATH: &str = "/metrics";

/// Answers requests for metrics.
pub(crate) struct MetricsHandler {
    /// The metrics.
    pub registry: Registry,
}

impl RequestHandler for MetricsHandler {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        if exchange.head().uri.path() != METRICS_PATH {
            return exchange.respond(StatusCode::NOT_FOUND, &HeaderMap::new(), &Bytes::new()).await;
        }
        respond_metrics(exchange, &self.registry).await
    }
}

/// Answers with all metrics of a registry as text.
pub(crate) async fn respond_metrics(
    exchange: &mut ServerExchange<'_>,
    registry: &Registry,
) -> Result<(), HttpFault> {
    let mut text = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut text) {
        Ok(()) => exchange.respond(StatusCode::OK, &HeaderMap::new(), &Bytes::from(text)).await,
        Err(fault) => {
            log::error!("metrics cannot be written: {fault}");
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            exchange.respond(status, &HeaderMap::new(), &Bytes::new()).await
        }
    }
}
