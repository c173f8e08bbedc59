//! A streamed completion whose response text is checked.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cv_http::ClientRequest;
use cv_http::ConnectionPool;
use cv_http::HttpFault;
use cv_standin::expected_text;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use super::CallOutcome;
use super::CallRecord;

/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time beyond the deadline for which the caller waits for the response.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// A completion request.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// Deadline of the complete response, from the start of the call.
    pub deadline: Duration,
    /// Name of the model.
    pub model: String,
    /// The organisation that the request is accounted to.
    pub organisation: String,
    /// The prompt.
    pub prompt: String,
    /// Length of the response, in tokens.
    pub tokens: usize,
}

impl CompletionCall {
    /// Sends the request and checks the response.
    pub async fn run(&self, pool: &ConnectionPool, address: SocketAddr) -> CallRecord {
        let started_at = Instant::now();
        let mut first = None;
        let outcome = match self.exchange(pool, address, started_at, &mut first).await {
            Ok(outcome) => outcome,
            Err(_) if first.is_some() => CallOutcome::CutOff,
            Err(_) => CallOutcome::Unknown,
        };
        let total = started_at.elapsed();
        CallRecord { first_response: first.unwrap_or(total), outcome, total }
    }

    /// Performs the HTTP exchange and stores the time to the first body bytes in `first`.
    async fn exchange(
        &self,
        pool: &ConnectionPool,
        address: SocketAddr,
        started_at: Instant,
        first: &mut Option<Duration>,
    ) -> Result<CallOutcome, HttpFault> {
        // Nothing was sent without a connection, so the request cannot have run.
        let Ok(mut connection) = pool.connect(address, CONNECT_TIMEOUT).await else {
            return Ok(CallOutcome::NotRun);
        };
        connection.send(&self.request()).await?;
        let head = connection.read_head(&Method::POST, self.deadline + DEADLINE_GRACE).await?;
        let mut body = Vec::new();
        while let Some(piece) = connection.read_piece().await? {
            if head.status == StatusCode::OK && first.is_none() {
                *first = Some(started_at.elapsed());
            }
            body.extend_from_slice(&piece);
        }
        pool.release(address, connection);
        Ok(self.check_response(head.status, &body))
    }

    /// Builds the HTTP request.
    fn request(&self) -> ClientRequest {
        let body = json!({
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.tokens,
            "stream": true,
        });
        ClientRequest::new(Method::POST, "/v1/completions", body.to_string())
            .with_header("content-type", "application/json")
            .with_header("x-deadline-ms", &self.deadline.as_millis().to_string())
            .with_header("x-organisation", &self.organisation)
    }

    /// Compares a complete response with the expected one.
    fn check_response(&self, status: StatusCode, body: &[u8]) -> CallOutcome {
        if status != StatusCode::OK {
            return outcome_of_error(body);
        }
        let (text, done) = parse_events(body);
        let expected = expected_text(&self.prompt, self.tokens);
        if text == expected && done {
            CallOutcome::Completed
        } else if expected.starts_with(&text) {
            CallOutcome::Truncated
        } else {
            CallOutcome::Crossed
        }
    }
}

/// Derives the outcome from the `run` field of an error body.
pub(super) fn outcome_of_error(body: &[u8]) -> CallOutcome {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    match value["error"]["run"].as_str() {
        Some("not_run") => CallOutcome::NotRun,
        Some("failed") => CallOutcome::Failed,
        _ => CallOutcome::Unknown,
    }
}

/// Returns the text of an event stream, and whether it ended with `[DONE]`.
fn parse_events(body: &[u8]) -> (String, bool) {
    let mut text = String::new();
    let mut done = false;
    for line in body.split(|byte| *byte == b'\n') {
        let Some(data) = line.strip_prefix(b"data: ") else {
            continue;
        };
        if data == b"[DONE]" {
            done = true;
            continue;
        }
        let event: Value = serde_json::from_slice(data).unwrap_or_default();
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    (text, done)
}
