//! Responses of the entry itself, mainly errors.

use std::time::Duration;

use bytes::Bytes;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_policy::RefusalReason;
use cv_policy::RunOutcome;
use cv_policy::headers;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// An error response to a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerError {
    /// Human-readable message.
    pub message: String,
    /// Machine-readable reason.
    pub reason: &'static str,
    /// The request's id.
    pub request_id: String,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Outcome of the request: `not_run`, `failed`, `unknown` or `completed`.
    pub run: &'static str,
    /// The HTTP status.
    pub status: StatusCode,
}

impl CallerError {
    /// Creates the error of a request that was rejected without being sent to a target.
    pub fn not_run(status: StatusCode, reason: &'static str, message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            reason,
            request_id: String::new(),
            retry_after: None,
            run: "not_run",
            status,
        }
    }

    /// Creates the error that reports an unsuccessful outcome.
    ///
    /// `deadline_passed` distinguishes a missed deadline from a lost response.
    pub fn from_outcome(outcome: RunOutcome, request_id: &str, deadline_passed: bool) -> Self {
        let (status, reason, message) = match outcome {
            RunOutcome::NotRun(proof) => {
                let reason = proof.reason();
                (refusal_status(reason), reason.as_str(), "The request was not run.")
            }
            RunOutcome::Unknown if deadline_passed => {
                let message = "No answer came in time. The request may have run.";
                (StatusCode::GATEWAY_TIMEOUT, "no_answer_in_time", message)
            }
            RunOutcome::Unknown => {
                let message = "The answer was lost. The request may have run.";
                (StatusCode::BAD_GATEWAY, "answer_lost", message)
            }
            RunOutcome::Failed | RunOutcome::Completed => {
                (StatusCode::BAD_GATEWAY, "target_failed", "The request ran and failed.")
            }
        };
        let retry_after = match outcome {
            RunOutcome::NotRun(proof) => proof.retry_after(),
            _ => None,
        };
        Self {
            message: message.to_owned(),
            reason,
            request_id: request_id.to_owned(),
            retry_after,
            run: outcome.as_str(),
            status,
        }
    }

    /// Responds to an exchange with the error.
    pub async fn respond(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let mut headers = json_headers();
        insert_header(&mut headers, headers::RUN, self.run);
        insert_header(&mut headers, headers::REASON, self.reason);
        if !self.request_id.is_empty() {
            insert_header(&mut headers, headers::REQUEST_ID, &self.request_id);
        }
        if let Some(retry_after) = self.retry_after {
            // `Retry-After` only has whole seconds; the second header has milliseconds.
            let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
            insert_header(
                &mut headers,
                headers::RETRY_AFTER_MS,
                &retry_after.as_millis().to_string(),
            );
        }
        let body = json!({"error": {
            "message": self.message,
            "reason": self.reason,
            "request_id": self.request_id,
            "run": self.run,
            "type": error_type(self.status),
        }});
        exchange.respond(self.status, &headers, &Bytes::from(body.to_string())).await
    }
}

/// Responds to an exchange with a JSON value.
pub(crate) async fn respond_json<T: Serialize>(
    exchange: &mut ServerExchange<'_>,
    status: StatusCode,
    value: &T,
) -> Result<(), HttpFault> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    exchange.respond(status, &json_headers(), &Bytes::from(body)).await
}

/// Responds to an exchange with the findings of a validation.
pub(crate) async fn respond_findings(
    exchange: &mut ServerExchange<'_>,
    reason: &str,
    findings: &[Value],
) -> Result<(), HttpFault> {
    let body = json!({"error": {
        "message": format!("{} finding(s); nothing was accepted", findings.len()),
        "findings": findings,
        "reason": reason,
        "run": "not_run",
        "type": "invalid_request_error",
    }});
    respond_json(exchange, StatusCode::UNPROCESSABLE_ENTITY, &body).await
}

/// Sets a header; a value with bytes that are invalid in headers is omitted.
pub(crate) fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns the headers of a JSON response.
fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers
}

/// Returns the HTTP status of a refusal.
fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::OverShare => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::Duplicate => StatusCode::CONFLICT,
        RefusalReason::DeadlineUnreachable
        | RefusalReason::Leaving
        | RefusalReason::NoSlack
        | RefusalReason::TargetDown
        | RefusalReason::NoTarget
        | RefusalReason::RetryBudgetSpent
        | RefusalReason::CallerGone
        | RefusalReason::LeaseOver => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the error type that clients of completion APIs expect.
fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => "authentication_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}
