//! One run of a batch item at one target.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_policy::RequestKey;
use cv_policy::TargetId;
use cv_policy::TargetLoad;
use cv_policy::WorkClass;
use cv_policy::batch::AttemptOutcome;
use cv_policy::batch::ItemResult;
use cv_policy::batch::ResultState;
use cv_policy::headers;
use cv_policy::routing::RouteRequest;
use cv_policy::stable_hash;
use http::Method;
use http::StatusCode;
use http::response::Parts as ResponseHead;
use serde_json::Value;
use serde_json::json;

use super::batch_document::InputLine;
use super::batch_document::answer_line;
use super::batch_document::error_line;
use crate::entry_state::EntryState;
use crate::online::EventParser;
use crate::online::GeneratedText;
use crate::online::continuation_body;
use crate::watch::wait_until_request_lost;

/// Longest time to connect to a sidecar.
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);

/// Longest time that an item may take once it was handed over.
const ITEM_PATIENCE: Duration = Duration::from_mins(10);

/// Longest answer, in bytes.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// What a run came to.
#[derive(Debug)]
pub(crate) struct RunReport {
    /// How it ended.
    pub end: AttemptOutcome,
    /// What was generated so far, for a later continuation.
    pub partial: GeneratedText,
    /// The final result, if there is one.
    pub result: Option<ItemResult>,
}

/// An item that is about to be handed over.
pub(crate) struct ItemRun<'a> {
    /// Number of the item.
    pub item: u32,
    /// The input line.
    pub line: &'a str,
    /// Wall-clock time until which the owner's lease holds, in milliseconds.
    pub not_after_ms: u64,
    /// Who pays.
    pub organisation: &'a str,
    /// What earlier runs have generated.
    pub partial: GeneratedText,
    /// Whether the item may run more than once.
    pub repeatable: bool,
    /// The request's name at the sidecar.
    pub request_id: String,
    /// The entry.
    pub state: &'a Rc<EntryState>,
    /// The organisation's weight.
    pub weight: u32,
}

impl ItemRun<'_> {
    /// Runs the item once.
    pub async fn run(self) -> RunReport {
        let Ok(input) = InputLine::parse(self.line) else {
            return self.failed("the input line is damaged");
        };
        let Ok((service, path)) = input.route() else {
            return self.failed("the input line names no service");
        };
        let Some(target) = self.choose(&service) else {
            return self.end(AttemptOutcome::NotRun);
        };
        let Some(body) = self.body(&input) else {
            return self.whole(&input);
        };
        let _guard = BatchGuard::enter(self.state, target);
        self.exchange(&input, &path, body, target).await
    }

    /// Picks a target with room for batch.
    fn choose(&self, service: &str) -> Option<TargetId> {
        let request = RouteRequest {
            affinity: None,
            strict_affinity: false,
            class: WorkClass::Batch,
            excluded: &[],
            service: stable_hash(&[service]),
        };
        let now = self.state.clock.now();
        self.state.router.borrow_mut().choose(now, &self.state.targets.borrow(), &request)
    }

    /// Returns the request's body; `None` if all tokens were generated before.
    fn body(&self, input: &InputLine<'_>) -> Option<Bytes> {
        if !input.is_completion() {
            return Some(Bytes::copy_from_slice(input.body.get().as_bytes()));
        }
        let mut value: Value = serde_json::from_str(input.body.get()).unwrap_or_default();
        // A stream can be given back and continued, which a whole answer cannot.
        value["stream"] = json!(true);
        let text = value.to_string();
        continuation_body(text.as_bytes(), &self.partial.text, self.partial.tokens)
    }

    /// Makes the exchange with the sidecar.
    async fn exchange(
        &self,
        input: &InputLine<'_>,
        path: &str,
        body: Bytes,
        target: TargetId,
    ) -> RunReport {
        let address = self.state.targets.borrow().get(target).map(|row| row.data);
        let Some(address) = address else {
            return self.end(AttemptOutcome::NotRun);
        };
        // Batch has connections of its own, so that no online request waits behind it.
        let limits = HttpLimits { body_timeout: ITEM_PATIENCE, ..HttpLimits::default() };
        let connected = ClientConnection::connect(address, CONNECT_PATIENCE, limits).await;
        let Ok(mut connection) = connected else {
            return self.end(AttemptOutcome::NotRun);
        };
        let request = self.message(input, path, body);
        let key = RequestKey::derive(self.organisation, &self.request_id);
        let answer = async {
            connection.send(&request).await?;
            connection.read_head(&request.method, ITEM_PATIENCE).await
        };
        let head = monoio::select! {
            head = answer => head,
            () = self.state.wait_until_lost(target) => Err(HttpFault::Closed),
            () = wait_until_request_lost(self.state, target, key) => Err(HttpFault::Closed),
        };
        let Ok(head) = head else {
            return self.end(AttemptOutcome::Lost);
        };
        self.take_reading(&head, target);
        match header(&head, headers::RUN) {
            Some("completed") => self.read_answer(input, &mut connection, &head, target).await,
            Some("not_run") => self.end(AttemptOutcome::NotRun),
            Some("failed") => self.end(AttemptOutcome::Failed),
            _ => self.end(AttemptOutcome::Lost),
        }
    }

    /// Returns the message to the sidecar.
    fn message(&self, input: &InputLine<'_>, path: &str, body: Bytes) -> ClientRequest {
        let method = input.method.as_deref().and_then(|name| name.parse().ok());
        let millis = ITEM_PATIENCE.as_millis().to_string();
        ClientRequest::new(method.unwrap_or(Method::POST), path, body)
            .with_header("content-type", "application/json")
            .with_header(headers::CLASS, "batch")
            .with_header(headers::CLOCK, &self.state.events.next_timestamp().encode())
            .with_header(headers::DEADLINE_MS, &millis)
            .with_header(headers::NOT_AFTER_MS, &self.not_after_ms.to_string())
            .with_header(headers::ORGANISATION, self.organisation)
            .with_header(headers::REPEATABLE, if self.repeatable { "true" } else { "false" })
            .with_header(headers::REQUEST_ID, &self.request_id)
            .with_header(headers::SECRET, &self.state.settings.secret)
            .with_header(headers::WEIGHT, &self.weight.to_string())
    }

    /// Reads the target's answer.
    async fn read_answer(
        &self,
        input: &InputLine<'_>,
        connection: &mut ClientConnection,
        head: &ResponseHead,
        target: TargetId,
    ) -> RunReport {
        let mut parser = EventParser::without_history();
        let mut generated = self.partial.clone();
        let mut body = Vec::new();
        let streamed = input.is_completion() && head.status == StatusCode::OK;
        loop {
            let piece = monoio::select! {
                piece = connection.read_piece() => piece,
                () = self.state.wait_until_lost(target) => Err(HttpFault::Closed),
            };
            match piece {
                Ok(Some(piece)) if streamed => {
                    let Some(events) = parser.push(&piece) else {
                        return self.failed("the answer is too long");
                    };
                    generated.extend(&GeneratedText::parse(&events));
                }
                Ok(Some(piece)) => body.extend_from_slice(&piece),
                Ok(None) => break,
                Err(_) => return self.cut(AttemptOutcome::Lost, generated),
            }
            if body.len() + generated.text.len() > ANSWER_BYTES {
                return self.failed("the answer is too long");
            }
        }
        if !streamed {
            return self.judge_whole(input, head.status, &body);
        }
        if parser.is_preempted() {
            return self.cut(AttemptOutcome::Preempted, generated);
        }
        if !parser.is_done() {
            return self.cut(AttemptOutcome::Lost, generated);
        }
        self.completed(input, StatusCode::OK, &completion_body(input, &generated))
    }

    /// Judges an answer that came in one piece.
    fn judge_whole(&self, input: &InputLine<'_>, status: StatusCode, body: &[u8]) -> RunReport {
        if status.is_server_error() {
            return self.end(AttemptOutcome::Failed);
        }
        let text = || Value::String(String::from_utf8_lossy(body).into_owned());
        let value: Value = serde_json::from_slice(body).unwrap_or_else(|_| text());
        if status.is_client_error() {
            let reason = format!("the target refused the request with status {status}: {value}");
            return self.failed(&reason);
        }
        self.completed(input, status, &value)
    }

    /// Reports an answer whose tokens had all been generated when its last run was cut.
    fn whole(&self, input: &InputLine<'_>) -> RunReport {
        self.completed(input, StatusCode::OK, &completion_body(input, &self.partial))
    }

    /// Reports a result.
    fn completed(&self, input: &InputLine<'_>, status: StatusCode, body: &Value) -> RunReport {
        let status = status.as_u16();
        let line = answer_line(&input.custom_id, &self.request_id, status, body);
        let state = ResultState::Completed;
        let result = ItemResult { body: line, item: self.item, state, status };
        self.state.metrics.items.with_label_values(&["completed"]).inc();
        RunReport {
            end: AttemptOutcome::Final,
            partial: GeneratedText::default(),
            result: Some(result),
        }
    }

    /// Reports an item that can never be completed.
    fn failed(&self, reason: &str) -> RunReport {
        self.state.metrics.items.with_label_values(&["failed"]).inc();
        let result = failed_result(self.line, self.item, ResultState::Failed, reason);
        RunReport {
            end: AttemptOutcome::Final,
            partial: GeneratedText::default(),
            result: Some(result),
        }
    }

    /// Reports an end without a result.
    fn end(&self, end: AttemptOutcome) -> RunReport {
        let outcome = match end {
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Preempted => "preempted",
            AttemptOutcome::Failed => "target_failed",
            AttemptOutcome::Lost => "lost",
            AttemptOutcome::Final => "completed",
        };
        self.state.metrics.items.with_label_values(&[outcome]).inc();
        RunReport { end, partial: self.partial.clone(), result: None }
    }

    /// Reports an end with what was generated until then.
    fn cut(&self, end: AttemptOutcome, partial: GeneratedText) -> RunReport {
        RunReport { partial, ..self.end(end) }
    }

    /// Takes the sidecar's reading from its answer.
    fn take_reading(&self, head: &ResponseHead, target: TargetId) {
        let reading = header(head, headers::LOAD).and_then(TargetLoad::decode);
        let now = self.state.clock.now();
        if let (Some(reading), Some(row)) =
            (reading, self.state.targets.borrow_mut().get_mut(target))
        {
            row.reported_load = Some((now, reading));
        }
    }
}

/// Makes the result of an item that did not complete.
pub(crate) fn failed_result(line: &str, item: u32, state: ResultState, reason: &str) -> ItemResult {
    let parsed = InputLine::parse(line);
    let custom_id = parsed.as_ref().map_or("", |input| &*input.custom_id);
    let body = error_line(custom_id, &format!("item-{item}"), state, reason);
    ItemResult { body, item, state, status: 0 }
}

/// Returns the body of a whole completion.
fn completion_body(input: &InputLine<'_>, partial: &GeneratedText) -> Value {
    let chat = input.url.ends_with("chat/completions");
    let finish = &partial.finish_reason;
    let choice = if chat {
        let message = json!({"content": partial.text, "role": "assistant"});
        json!({"finish_reason": finish, "index": 0, "message": message})
    } else {
        json!({"finish_reason": finish, "index": 0, "text": partial.text})
    };
    json!({
        "choices": [choice],
        "object": if chat { "chat.completion" } else { "text_completion" },
        "usage": {"completion_tokens": partial.tokens},
    })
}

/// Returns a header of an answer as text.
fn header<'h>(head: &'h ResponseHead, name: &str) -> Option<&'h str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

/// Counts a batch request at its target for as long as it lives.
struct BatchGuard {
    state: Rc<EntryState>,
    target: TargetId,
}

impl BatchGuard {
    /// Counts a request.
    fn enter(state: &Rc<EntryState>, target: TargetId) -> Self {
        if let Some(row) = state.targets.borrow_mut().get_mut(target) {
            row.batch_in_flight += 1;
        }
        Self { state: Rc::clone(state), target }
    }
}

impl Drop for BatchGuard {
    fn drop(&mut self) {
        if let Some(row) = self.state.targets.borrow_mut().get_mut(self.target) {
            row.batch_in_flight = row.batch_in_flight.saturating_sub(1);
        }
    }
}
