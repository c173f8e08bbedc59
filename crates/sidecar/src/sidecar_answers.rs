//! The sidecar's own answers, and the headers that every answer carries.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use cv_policy::ExecutionState;
use cv_policy::RefusalReason;
use cv_policy::WorkClass;
use cv_policy::headers;
use cv_timeline::EventKind;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::response::Parts as ResponseHead;
use serde_json::json;

use crate::message_labels::MessageLabels;
use crate::sidecar_state::SidecarState;
use crate::target_exchange::end_to_end_headers;

/// Answers for the sidecar and notes what it answered.
pub(crate) struct SidecarAnswers {
    state: Rc<SidecarState>,
}

impl SidecarAnswers {
    /// Creates the answers of a sidecar.
    pub fn new(state: Rc<SidecarState>) -> Self {
        Self { state }
    }

    /// Tells what became of the first request with this key.
    pub async fn answer_duplicate(
        &self,
        exchange: &mut ServerExchange<'_>,
        labels: &MessageLabels,
        state: ExecutionState,
    ) -> Result<(), HttpFault> {
        let run = match state {
            ExecutionState::Completed => "completed",
            ExecutionState::Failed => "failed",
            // A voided attempt may have been followed by another one elsewhere.
            ExecutionState::Voided
            | ExecutionState::Queued
            | ExecutionState::HandedOver
            | ExecutionState::Refused => "unknown",
        };
        self.count(labels, "duplicate");
        let headers = self.answer_headers(labels, run, RefusalReason::Duplicate.as_str());
        self.answer_error(exchange, StatusCode::CONFLICT, &headers, run).await
    }

    /// Refuses a request that was not handed over.
    pub async fn refuse(
        &self,
        exchange: &mut ServerExchange<'_>,
        labels: &MessageLabels,
        reason: RefusalReason,
        after: Option<Duration>,
    ) -> Result<(), HttpFault> {
        self.refuse_silently(labels);
        self.count(labels, "refused");
        self.record(EventKind::Refused, labels, || format!("reason={}", reason.as_str()));
        let mut headers = self.answer_headers(labels, "not_run", reason.as_str());
        if let Some(after) = after {
            put(&mut headers, headers::RETRY_AFTER_MS, &after.as_millis().to_string());
        }
        self.answer_error(exchange, StatusCode::SERVICE_UNAVAILABLE, &headers, "not_run").await
    }

    /// Notes in the log that a request was not handed over.
    pub fn refuse_silently(&self, labels: &MessageLabels) {
        if !labels.repeatable {
            self.state.log.borrow_mut().refuse(labels.key);
        }
    }

    /// Notes in the log how a request that was handed over ended.
    pub fn finish(&self, labels: &MessageLabels, completed: bool) {
        if !labels.repeatable {
            self.state.log.borrow_mut().finish(labels.key, completed);
        }
    }

    /// Counts a request's outcome.
    pub fn count(&self, labels: &MessageLabels, outcome: &str) {
        let class = if labels.class == WorkClass::Batch { "batch" } else { "online" };
        self.state.metrics.outcomes.with_label_values(&[class, outcome]).inc();
    }

    /// Records an event about a request.
    pub fn record(&self, kind: EventKind, labels: &MessageLabels, detail: impl FnOnce() -> String) {
        if self.state.events.is_enabled() {
            self.state.events.record(kind, &labels.request_id, detail());
        }
    }

    /// Answers with an error in JSON.
    pub async fn answer_error(
        &self,
        exchange: &mut ServerExchange<'_>,
        status: StatusCode,
        headers: &HeaderMap,
        run: &str,
    ) -> Result<(), HttpFault> {
        let reason = headers.get(headers::REASON).and_then(|value| value.to_str().ok());
        let body = json!({"error": {"reason": reason, "run": run}}).to_string();
        exchange.respond(status, headers, &Bytes::from(body)).await
    }

    /// Returns the headers of an answer that comes from the target.
    pub fn pass_headers(&self, labels: &MessageLabels, head: &ResponseHead) -> HeaderMap {
        let mut headers = end_to_end_headers(&head.headers);
        self.put_own_headers(&mut headers, labels, "completed");
        headers
    }

    /// Returns the headers of an answer that comes from the sidecar.
    pub fn answer_headers(&self, labels: &MessageLabels, run: &str, reason: &str) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        self.put_own_headers(&mut headers, labels, run);
        put(&mut headers, headers::REASON, reason);
        headers
    }

    /// Adds what every answer of the sidecar carries.
    fn put_own_headers(&self, headers: &mut HeaderMap, labels: &MessageLabels, run: &str) {
        put(headers, headers::RUN, run);
        put(headers, headers::LOAD, &self.state.reading().encode());
        put(headers, headers::CLOCK, &self.state.events.next_timestamp().encode());
        put(headers, headers::INCARNATION, &self.state.incarnation.to_string());
        put(headers, headers::REQUEST_ID, &labels.request_id);
    }
}

/// Sets a header; a value that no header can hold is left out.
pub(crate) fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
