//! Responses of the sidecar itself, and the internal headers of all responses.

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

use crate::request_metadata::RequestMetadata;
use crate::sidecar_state::SidecarState;
use crate::target_exchange::end_to_end_headers;

/// Writes the sidecar's responses and records outcomes in the execution log, metrics and events.
pub(crate) struct ResponseWriter {
    state: Rc<SidecarState>,
}

impl ResponseWriter {
    /// Creates the writer of a sidecar.
    pub fn new(state: Rc<SidecarState>) -> Self {
        Self { state }
    }

    /// Rejects a duplicate, reporting the outcome of the first request with its key.
    pub async fn respond_duplicate(
        &self,
        exchange: &mut ServerExchange<'_>,
        metadata: &RequestMetadata,
        state: ExecutionState,
    ) -> Result<(), HttpFault> {
        let run = match state {
            ExecutionState::Completed => "completed",
            ExecutionState::Failed => "failed",
            // After a voided attempt, another one may have run on another target.
            ExecutionState::Voided
            | ExecutionState::Queued
            | ExecutionState::HandedOver
            | ExecutionState::Refused => "unknown",
        };
        self.count_outcome(metadata, "duplicate");
        let headers =
            self.sidecar_response_headers(metadata, run, RefusalReason::Duplicate.as_str());
        self.respond_error(exchange, StatusCode::CONFLICT, &headers, run).await
    }

    /// Refuses a request that was not handed to the target.
    pub async fn refuse(
        &self,
        exchange: &mut ServerExchange<'_>,
        metadata: &RequestMetadata,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) -> Result<(), HttpFault> {
        self.record_refusal(metadata);
        self.count_outcome(metadata, "refused");
        self.record_event(EventKind::Refused, metadata, || format!("reason={}", reason.as_str()));
        let mut headers = self.sidecar_response_headers(metadata, "not_run", reason.as_str());
        if let Some(retry_after) = retry_after {
            insert_header(
                &mut headers,
                headers::RETRY_AFTER_MS,
                &retry_after.as_millis().to_string(),
            );
        }
        self.respond_error(exchange, StatusCode::SERVICE_UNAVAILABLE, &headers, "not_run").await
    }

    /// Records in the execution log that a request was not handed to the target.
    pub fn record_refusal(&self, metadata: &RequestMetadata) {
        if !metadata.repeatable {
            self.state.execution_log.borrow_mut().refuse(metadata.key);
        }
    }

    /// Records in the execution log how a request ended that was handed to the target.
    pub fn record_finish(&self, metadata: &RequestMetadata, completed: bool) {
        if !metadata.repeatable {
            self.state.execution_log.borrow_mut().finish(metadata.key, completed);
        }
    }

    /// Increments the counter of an outcome.
    pub fn count_outcome(&self, metadata: &RequestMetadata, outcome: &str) {
        let class = if metadata.class == WorkClass::Batch { "batch" } else { "online" };
        self.state.metrics.outcomes.with_label_values(&[class, outcome]).inc();
    }

    /// Records an event of a request, if events are enabled.
    pub fn record_event(
        &self,
        kind: EventKind,
        metadata: &RequestMetadata,
        detail: impl FnOnce() -> String,
    ) {
        if self.state.events.is_enabled() {
            self.state.events.record(kind, &metadata.request_id, detail());
        }
    }

    /// Responds with a JSON error.
    pub async fn respond_error(
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

    /// Returns the headers of a response that was received from the target.
    pub fn target_response_headers(
        &self,
        metadata: &RequestMetadata,
        head: &ResponseHead,
    ) -> HeaderMap {
        let mut headers = end_to_end_headers(&head.headers);
        self.insert_internal_headers(&mut headers, metadata, "completed");
        headers
    }

    /// Returns the headers of a response that the sidecar itself makes.
    pub fn sidecar_response_headers(
        &self,
        metadata: &RequestMetadata,
        run: &str,
        reason: &str,
    ) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        self.insert_internal_headers(&mut headers, metadata, run);
        insert_header(&mut headers, headers::REASON, reason);
        headers
    }

    /// Inserts the internal headers that every response carries.
    fn insert_internal_headers(
        &self,
        headers: &mut HeaderMap,
        metadata: &RequestMetadata,
        run: &str,
    ) {
        insert_header(headers, headers::RUN, run);
        insert_header(headers, headers::LOAD, &self.state.load().encode());
        insert_header(headers, headers::CLOCK, &self.state.events.next_timestamp().encode());
        insert_header(headers, headers::INCARNATION, &self.state.incarnation.to_string());
        insert_header(headers, headers::REQUEST_ID, &metadata.request_id);
    }
}

/// Sets a header; a value with bytes that are invalid in headers is omitted.
pub(crate) fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
