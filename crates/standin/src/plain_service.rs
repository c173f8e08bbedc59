//! A plain service whose calls are not idempotent.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cv_http::DrainGate;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_http::HttpServer;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use http::StatusCode;
use monoio::net::TcpListener;
use serde_json::json;

use crate::json_response::respond_json;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Counts executions by request id over all replicas of a service; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct ExecutionCounter {
    counts: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl ExecutionCounter {
    /// Records one execution and returns the request's count so far.
    fn record(&self, request_id: &str) -> u32 {
        let mut counts = self.counts.lock().expect("no holder panics");
        let count = counts.entry(request_id.to_owned()).or_insert(0);
        *count += 1;
        *count
    }

    /// Returns how often a request was executed.
    ///
    /// # Panics
    /// Panics if a holder of the counts has panicked.
    #[must_use]
    pub fn executions(&self, request_id: &str) -> u32 {
        let counts = self.counts.lock().expect("no holder panics");
        counts.get(request_id).copied().unwrap_or(0)
    }

    /// Returns all counts by request id.
    ///
    /// # Panics
    /// Panics if a holder of the counts has panicked.
    #[must_use]
    pub fn snapshot(&self) -> BTreeMap<String, u32> {
        self.counts.lock().expect("no holder panics").clone()
    }
}

/// One replica of the service.
#[derive(Clone, Debug)]
pub struct PlainServiceStandin {
    counter: ExecutionCounter,
    service_time: Duration,
}

impl PlainServiceStandin {
    /// Creates a replica that takes `service_time` to execute a call.
    #[must_use]
    pub fn new(counter: ExecutionCounter, service_time: Duration) -> Self {
        Self { counter, service_time }
    }

    /// Serves until the gate drains.
    pub async fn serve(self, listener: TcpListener, gate: DrainGate) {
        HttpServer::new(listener, Rc::new(self), gate, HttpLimits::default()).run().await;
    }
}

impl RequestHandler for PlainServiceStandin {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let body = exchange.read_body(MAX_BODY_BYTES).await?;
        let path = exchange.head().uri.path().to_owned();
        if path == "/health" {
            return respond_json(exchange, StatusCode::OK, &json!({"status": "ok"})).await;
        }
        if path == "/_executions" {
            return respond_json(exchange, StatusCode::OK, &self.counter.snapshot()).await;
        }
        let request_id = exchange.header("x-request-id").unwrap_or_default().to_owned();
        // The call takes effect before the response, so a retry after a lost response shows up as a
        // second execution.
        let executions = self.counter.record(&request_id);
        if !self.service_time.is_zero() {
            monoio::time::sleep(self.service_time).await;
        }
        let response = json!({
            "executions": executions,
            "method": exchange.head().method.as_str(),
            "path": path,
            "request_id": request_id,
            "received": String::from_utf8_lossy(&body),
        });
        respond_json(exchange, StatusCode::OK, &response).await
    }
}
