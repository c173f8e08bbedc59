//! A call with an idempotency key to a plain service, which must run at most once.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use http::Method;
use http::StatusCode;
use serde_json::Value;

use super::CallOutcome;
use super::CallRecord;
use super::completion_call::outcome_of_error;

/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time beyond the deadline for which the caller waits for the response.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Request body.
    pub body: String,
    /// Deadline of the response, from the start of the call.
    pub deadline: Duration,
    /// Idempotency key, also sent as the request id.
    pub key: String,
    /// Request path, which names the service.
    pub path: String,
}

impl ServiceCall {
    /// Sends the request and checks the response.
    pub async fn run(&self, pool: &ConnectionPool, address: SocketAddr) -> CallRecord {
        let started_at = Instant::now();
        let outcome = self.exchange(pool, address).await;
        let total = started_at.elapsed();
        CallRecord { first_response: total, outcome, total }
    }

    /// Performs the HTTP exchange and returns its outcome.
    async fn exchange(&self, pool: &ConnectionPool, address: SocketAddr) -> CallOutcome {
        let Ok(mut connection) = pool.connect(address, CONNECT_TIMEOUT).await else {
            return CallOutcome::NotRun;
        };
        let request = ClientRequest::new(Method::POST, self.path.clone(), self.body.clone())
            .with_header("idempotency-key", &self.key)
            .with_header("x-request-id", &self.key)
            .with_header("x-deadline-ms", &self.deadline.as_millis().to_string());
        let result =
            connection.exchange(&request, self.deadline + DEADLINE_GRACE, MAX_RESPONSE_BYTES).await;
        let Ok(response) = result else {
            return CallOutcome::Unknown;
        };
        pool.release(address, connection);
        if response.status != StatusCode::OK {
            return outcome_of_error(&response.body);
        }
        let echo: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let is_own = echo["request_id"] == self.key && echo["received"] == self.body;
        if is_own { CallOutcome::Completed } else { CallOutcome::Crossed }
    }
}
