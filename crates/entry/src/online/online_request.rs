//! What an entry knows of an online request.

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

/// Bytes of a prompt that decide where it is cached.
const AFFINITY_BYTES: usize = 512;

/// Longest request id, in bytes.
const REQUEST_ID_BYTES: usize = 128;

/// The parts of a completion request that routing needs, borrowed from its body.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionOutline<'b> {
    /// The conversation so far.
    #[serde(borrow, default)]
    pub messages: Option<&'b RawValue>,
    /// The model, which names the service.
    #[serde(borrow)]
    pub model: Cow<'b, str>,
    /// The text to continue.
    #[serde(borrow, default)]
    pub prompt: Option<Cow<'b, str>>,
    /// Whether the answer comes token by token.
    #[serde(default)]
    pub stream: bool,
}

impl CompletionOutline<'_> {
    /// Hashes the beginning of the prompt, by which targets cache.
    pub fn affinity(&self) -> u64 {
        let text = self.prompt.as_deref().or(self.messages.map(RawValue::get)).unwrap_or("");
        let mut end = text.len().min(AFFINITY_BYTES);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        stable_hash(&[&self.model, &text[..end]])
    }
}

/// An online request on its way.
#[derive(Clone, Debug)]
pub(crate) struct OnlineRequest {
    /// Hash that picks the target.
    pub affinity: Option<u64>,
    /// When the request came.
    pub arrived: Instant,
    /// Whether repeats of the request have to reach the same target.
    pub binding: bool,
    /// The body.
    pub body: Bytes,
    /// Time for the whole answer.
    pub deadline: Duration,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The method.
    pub method: Method,
    /// Who pays.
    pub organisation: String,
    /// Path and query at the target.
    pub path: String,
    /// The request's name.
    pub request_id: String,
    /// The rules in effect.
    pub rules: RequestPolicy,
    /// The service.
    pub service: String,
    /// Whether the answer comes token by token.
    pub stream: bool,
}

impl OnlineRequest {
    /// Puts a request together from its parts.
    pub fn new(
        state: &EntryState,
        exchange: &ServerExchange<'_>,
        caller: &CallerIdentity,
        service: &str,
        path: &str,
        body: Bytes,
    ) -> Self {
        let wall_millis = state.clock.wall_millis();
        let rules = state.config.borrow().config().request_policy(
            service,
            &caller.organisation,
            wall_millis,
        );
        let named = named_id(exchange);
        let binding = !rules.repeatable && named.is_some();
        let request_id = named.unwrap_or_else(|| state.new_id());
        let affinity = binding.then(|| stable_hash(&[&caller.organisation, &request_id]));
        let own = exchange.header(headers::DEADLINE_MS).and_then(|text| text.parse().ok());
        let deadline =
            own.map_or(rules.deadline, |millis| rules.deadline.min(Duration::from_millis(millis)));
        Self {
            affinity,
            arrived: Instant::now(),
            binding,
            body,
            deadline,
            headers: exchange.head().headers.clone(),
            method: exchange.head().method.clone(),
            organisation: caller.organisation.clone(),
            path: path.to_owned(),
            request_id,
            rules,
            service: service.to_owned(),
            stream: false,
        }
    }

    /// Adds what a completion request says of itself.
    #[must_use]
    pub fn with_outline(mut self, affinity: u64, stream: bool) -> Self {
        if !self.binding {
            self.affinity = Some(affinity);
        }
        self.stream = stream;
        self
    }

    /// Returns the key of the request in every process that it passes.
    pub fn key(&self) -> RequestKey {
        RequestKey::derive(&self.organisation, &self.request_id)
    }

    /// Returns the time left for the whole answer.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.arrived.elapsed())
    }

    /// Tells whether a cut answer can be continued elsewhere.
    pub fn is_resumable(&self) -> bool {
        self.stream && self.rules.repeatable && self.rules.kind == ServiceKind::Model
    }
}

/// Returns the name that the caller gave to the request.
fn named_id(exchange: &ServerExchange<'_>) -> Option<String> {
    let key = exchange.header(headers::IDEMPOTENCY_KEY);
    let name = key.or_else(|| exchange.header(headers::REQUEST_ID))?;
    let sound = !name.is_empty() && name.len() <= REQUEST_ID_BYTES;
    sound.then(|| name.to_owned())
}

/// Returns the body of a completion request that goes on after a part of its answer.
///
/// The part becomes the end of the prompt, which every completion server understands. Returns
/// `None` if the body is not of that form or the answer is whole already.
pub(crate) fn continuation_body(body: &[u8], text: &str, tokens: usize) -> Option<Bytes> {
    if tokens == 0 {
        return Some(Bytes::copy_from_slice(body));
    }
    let mut value: Value = serde_json::from_slice(body).ok()?;
    let most = value.get("max_tokens").and_then(Value::as_u64);
    if let Some(most) = most {
        let left = most.checked_sub(tokens as u64).filter(|left| *left > 0)?;
        value["max_tokens"] = json!(left);
    }
    if let Some(prompt) = value.get("prompt").and_then(Value::as_str) {
        value["prompt"] = json!(format!("{prompt}{text}"));
    } else {
        let part = json!({"role": "assistant", "content": text});
        value.get_mut("messages")?.as_array_mut()?.push(part);
        value["continue_final_message"] = json!(true);
        value["add_generation_prompt"] = json!(false);
    }
    Some(Bytes::from(value.to_string()))
}
