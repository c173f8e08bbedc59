//! A streamed completion whose text is checked.

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

/// Longest time to connect.
const CONNECT_PATIENCE: Duration = Duration::from_secs(2);

/// Time beyond the deadline that a caller waits.
const GRACE: Duration = Duration::from_secs(2);

/// One completion.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// Time for the whole answer.
    pub deadline: Duration,
    /// The model.
    pub model: String,
    /// Who pays.
    pub organisation: String,
    /// The prompt.
    pub prompt: String,
    /// Length of the answer, in tokens.
    pub tokens: usize,
}

impl CompletionCall {
    /// Makes the call and checks its answer.
    pub async fn run(&self, pool: &ConnectionPool, address: SocketAddr) -> CallRecord {
        let begin = Instant::now();
        let mut first = None;
        let outcome = match self.exchange(pool, address, begin, &mut first).await {
            Ok(outcome) => outcome,
            Err(_) if first.is_some() => CallOutcome::CutOff,
            Err(_) => CallOutcome::Unknown,
        };
        let total = begin.elapsed();
        CallRecord { first: first.unwrap_or(total), outcome, total }
    }

    /// Makes the exchange.
    async fn exchange(
        &self,
        pool: &ConnectionPool,
        address: SocketAddr,
        begin: Instant,
        first: &mut Option<Duration>,
    ) -> Result<CallOutcome, HttpFault> {
        // Without a connection nothing was sent, so nothing ran.
        let Ok(mut connection) = pool.connect(address, CONNECT_PATIENCE).await else {
            return Ok(CallOutcome::NotRun);
        };
        connection.send(&self.request()).await?;
        let head = connection.read_head(&Method::POST, self.deadline + GRACE).await?;
        let mut body = Vec::new();
        while let Some(piece) = connection.read_piece().await? {
            if head.status == StatusCode::OK && first.is_none() {
                *first = Some(begin.elapsed());
            }
            body.extend_from_slice(&piece);
        }
        pool.release(address, connection);
        Ok(self.judge(head.status, &body))
    }

    /// Returns the request.
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

    /// Judges a whole answer.
    fn judge(&self, status: StatusCode, body: &[u8]) -> CallOutcome {
        if status != StatusCode::OK {
            return outcome_of_error(body);
        }
        let (text, done) = text_of_events(body);
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

/// Reads the `run` field of an error.
pub(super) fn outcome_of_error(body: &[u8]) -> CallOutcome {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    match value["error"]["run"].as_str() {
        Some("not_run") => CallOutcome::NotRun,
        Some("failed") => CallOutcome::Failed,
        _ => CallOutcome::Unknown,
    }
}

/// Returns the text of a streamed answer, and whether its end was marked.
fn text_of_events(body: &[u8]) -> (String, bool) {
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
