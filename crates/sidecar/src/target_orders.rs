//! Forwarding of orders to the target, fenced by epoch.

use std::cell::Cell;
use std::time::Duration;

use cv_control::OrderResponse;
use cv_control::TargetOrder;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::ClientResponse;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_settings::SidecarSection;
use http::Method;
use http::StatusCode;
use monoio::time::timeout;
use serde_json::json;

/// Timeout of a connect, and of an order after it.
const ORDER_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum size of the response to an order, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Forwards orders, but rejects those with a lower epoch than the highest one seen.
///
/// If the target ignores fencing numbers, this check alone suffices, because the sidecar is the
/// target's only source of orders.
pub(crate) struct OrderGate {
    epoch: Cell<u64>,
}

impl OrderGate {
    /// Creates a gate that has seen no order.
    pub fn new() -> Self {
        Self { epoch: Cell::new(0) }
    }

    /// Forwards an order to the target, unless its epoch is outdated.
    pub async fn forward(&self, section: &SidecarSection, order: &TargetOrder) -> OrderResponse {
        if order.epoch < self.epoch.get() {
            return OrderResponse::Fenced(self.epoch.get());
        }
        self.epoch.set(order.epoch);
        let body = json!({"fence": order.epoch, "model": order.model, "order": order.order});
        let request = ClientRequest::new(Method::POST, "/orders", body.to_string());
        // Nothing in a response names its order, so none may come from an earlier one's connection.
        let limits = HttpLimits::default();
        let connected = ClientConnection::connect(section.target, ORDER_TIMEOUT, limits).await;
        let Ok(connection) = connected else {
            return OrderResponse::Refused;
        };
        match exchange(connection, &request).await {
            Ok(response) if response.status == StatusCode::OK => OrderResponse::Done,
            Ok(response) if response.status == StatusCode::CONFLICT => {
                OrderResponse::Fenced(self.epoch.get())
            }
            Ok(_) => OrderResponse::Refused,
            Err(_) => OrderResponse::Unknown,
        }
    }
}

/// Sends an order over a connection of its own and reads the response.
async fn exchange(
    mut connection: ClientConnection,
    request: &ClientRequest,
) -> Result<ClientResponse, HttpFault> {
    let exchange = connection.exchange(request, ORDER_TIMEOUT, MAX_RESPONSE_BYTES);
    timeout(ORDER_TIMEOUT, exchange).await.unwrap_or(Err(HttpFault::TimedOut("response")))
}
