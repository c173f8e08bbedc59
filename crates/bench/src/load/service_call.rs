//! A call to a plain service that must run at most once.

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

/// Longest time to connect.
const CONNECT_PATIENCE: Duration = Duration::from_secs(2);

/// Time beyond the deadline that a caller waits.
const GRACE: Duration = Duration::from_secs(2);

/// Longest answer, in bytes.
const ANSWER_BYTES: usize = 1024 * 1024;

/// One call.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The body.
    pub body: String,
    /// Time for the answer.
    pub deadline: Duration,
    /// Key that names the request.
    pub key: String,
    /// Path with the service.
    pub path: String,
}

impl ServiceCall {
    /// Makes the call and checks its answer.
    pub async fn run(&self, pool: &ConnectionPool, address: SocketAddr) -> CallRecord {
        let begin = Instant::now();
        let outcome = self.exchange(pool, address).await;
        let total = begin.elapsed();
        CallRecord { first: total, outcome, total }
    }

    /// Makes the exchange.
    async fn exchange(&self, pool: &ConnectionPool, address: SocketAddr) -> CallOutcome {
        let Ok(mut connection) = pool.connect(address, CONNECT_PATIENCE).await else {
            return CallOutcome::NotRun;
        };
        let request = ClientRequest::new(Method::POST, self.path.clone(), self.body.clone())
            .with_header("idempotency-key", &self.key)
            .with_header("x-request-id", &self.key)
            .with_header("x-deadline-ms", &self.deadline.as_millis().to_string());
        let result = connection.exchange(&request, self.deadline + GRACE, ANSWER_BYTES).await;
        let Ok(response) = result else {
            return CallOutcome::Unknown;
        };
        pool.release(address, connection);
        if response.status != StatusCode::OK {
            return outcome_of_error(&response.body);
        }
        let answer: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let own = answer["request_id"] == self.key && answer["received"] == self.body;
        if own { CallOutcome::Completed } else { CallOutcome::Crossed }
    }
}
