//! Parameters of an online request.

use std::borrow::Cow;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cv_http::ServerExchange;
use cv_policy::RequestKey;
use cv_policy::config::RequestPolicy;
use cv_policy::config::ServiceKind;
use cv_policy::headers;
use cv_policy::stable_hash;
use http::HeaderMap;
use http::Method;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;

use crate::caller_identity::CallerIdentity;
use crate::entry_state::EntryState;

/// Length of the prompt's prefix that determines the affinity, in bytes.
const AFFINITY_PREFIX_BYTES: usize = 512;

/// Maximum length of a request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// The fields of a completion request that routing needs, borrowed from its body.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionOutline<'b> {
    /// The messages of the conversation, as unparsed JSON.
    #[serde(borrow, default)]
    pub messages: Option<&'b RawValue>,
    /// The model, which is the name of the service.
    #[serde(borrow)]
    pub model: Cow<'b, str>,
    /// The prompt of a text completion.
    #[serde(borrow, default)]
    pub prompt: Option<Cow<'b, str>>,
    /// Whether the response is streamed token by token.
    #[serde(default)]
    pub stream: bool,
}

impl CompletionOutline<'_> {
    /// Hashes the model and the prompt's prefix, since targets cache by prefix.
    pub fn affinity(&self) -> u64 {
        let text = self.prompt.as_deref().or(self.messages.map(RawValue::get)).unwrap_or("");
        let mut end = text.len().min(AFFINITY_PREFIX_BYTES);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        stable_hash(&[&self.model, &text[..end]])
    }
}

/// An online request and the policy that applies to it.
#[derive(Clone, Debug)]
pub(crate) struct OnlineRequest {
    /// Hash by which requests prefer the same target.
    pub affinity: Option<u64>,
    /// When the request arrived.
    pub arrived: Instant,
    /// Whether retries of the request must reach the same target.
    pub strict_affinity: bool,
    /// The body.
    pub body: Bytes,
    /// Time for the complete response, counted from the arrival.
    pub deadline: Duration,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The method.
    pub method: Method,
    /// The organisation that the request is accounted to.
    pub organisation: String,
    /// Path and query of the request to the target.
    pub path: String,
    /// The request's id, given by the caller or generated.
    pub request_id: String,
    /// The policy in effect.
    pub policy: RequestPolicy,
    /// Name of the service.
    pub service: String,
    /// Whether the response is streamed token by token.
    pub stream: bool,
}

impl OnlineRequest {
    /// Creates a request from the caller's exchange and the active configuration.
    pub fn new(
        state: &EntryState,
        exchange: &ServerExchange<'_>,
        caller: &CallerIdentity,
        service: &str,
        path: &str,
        body: Bytes,
    ) -> Self {
        let wall_millis = state.clock.wall_millis();
        let policy = state.config.borrow().config().request_policy(
            service,
            &caller.organisation,
            wall_millis,
        );
        let caller_id = caller_request_id(exchange);
        let strict_affinity = !policy.repeatable && caller_id.is_some();
        let request_id = caller_id.unwrap_or_else(|| state.new_id());
        let affinity = strict_affinity.then(|| stable_hash(&[&caller.organisation, &request_id]));
        let requested = exchange.header(headers::DEADLINE_MS).and_then(|text| text.parse().ok());
        let deadline = requested
            .map_or(policy.deadline, |millis| policy.deadline.min(Duration::from_millis(millis)));
        Self {
            affinity,
            arrived: Instant::now(),
            strict_affinity,
            body,
            deadline,
            headers: exchange.head().headers.clone(),
            method: exchange.head().method.clone(),
            organisation: caller.organisation.clone(),
            path: path.to_owned(),
            request_id,
            policy,
            service: service.to_owned(),
            stream: false,
        }
    }

    /// Sets the affinity and streaming of a completion; a strict affinity is kept.
    #[must_use]
    pub fn with_outline(mut self, affinity: u64, stream: bool) -> Self {
        if !self.strict_affinity {
            self.affinity = Some(affinity);
        }
        self.stream = stream;
        self
    }

    /// Returns the key that identifies the request in all processes.
    pub fn key(&self) -> RequestKey {
        RequestKey::derive(&self.organisation, &self.request_id)
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.arrived.elapsed())
    }

    /// Returns whether an interrupted response can be continued on another target.
    pub fn is_resumable(&self) -> bool {
        self.stream && self.policy.repeatable && self.policy.kind == ServiceKind::Model
    }
}

/// Returns the request id that the caller gave, unless it is empty or too long.
fn caller_request_id(exchange: &ServerExchange<'_>) -> Option<String> {
    let key = exchange.header(headers::IDEMPOTENCY_KEY);
    let id = key.or_else(|| exchange.header(headers::REQUEST_ID))?;
    let is_valid = !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES;
    is_valid.then(|| id.to_owned())
}

/// Returns the body of a completion request that continues after a part of its response.
///
/// The part is appended to the prompt, which every completion server supports. Returns `None` if
/// the body is not a completion request or all requested tokens were generated.
pub(crate) fn continuation_body(body: &[u8], text: &str, tokens: usize) -> Option<Bytes> {
    if tokens == 0 {
        return Some(Bytes::copy_from_slice(body));
    }
    let mut value: Value = serde_json::from_slice(body).ok()?;
    let max_tokens = value.get("max_tokens").and_then(Value::as_u64);
    if let Some(max_tokens) = max_tokens {
        let remaining = max_tokens.checked_sub(tokens as u64).filter(|remaining| *remaining > 0)?;
        value["max_tokens"] = json!(remaining);
    }
    if let Some(prompt) = value.get("prompt").and_then(Value::as_str) {
        value["prompt"] = json!(format!("{prompt}{text}"));
    } else {
        let message = json!({"role": "assistant", "content": text});
        value.get_mut("messages")?.as_array_mut()?.push(message);
        value["continue_final_message"] = json!(true);
        value["add_generation_prompt"] = json!(false);
    }
    Some(Bytes::from(value.to_string()))
}
