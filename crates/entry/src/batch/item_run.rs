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

use super::batch_lines::InputLine;
use super::batch_lines::error_line;
use super::batch_lines::output_line;
use crate::entry_state::EntryState;
use crate::online::EventParser;
use crate::online::GeneratedText;
use crate::online::continuation_body;
use crate::watch::wait_until_request_lost;

/// Timeout for connecting to a sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for an item, counted from its handover.
const ITEM_TIMEOUT: Duration = Duration::from_mins(10);

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Outcome and output of one run.
#[derive(Debug)]
pub(crate) struct RunReport {
    /// How the run ended.
    pub outcome: AttemptOutcome,
    /// Text generated so far, from which a later run continues.
    pub partial_output: GeneratedText,
    /// Final result of the item, if the run produced one.
    pub result: Option<ItemResult>,
}

/// An item to hand over, with the options of its request.
pub(crate) struct ItemRun<'a> {
    /// Number of the item.
    pub item: u32,
    /// The input line.
    pub line: &'a str,
    /// Wall-clock time until which the owner's lease holds, in milliseconds since the Unix epoch.
    pub not_after_ms: u64,
    /// Organisation that owns the job.
    pub organisation: &'a str,
    /// Text that earlier runs have generated.
    pub partial_output: GeneratedText,
    /// Whether the item may run more than once.
    pub repeatable: bool,
    /// Request id that is sent to the sidecar.
    pub request_id: String,
    /// Shared state of the entry.
    pub state: &'a Rc<EntryState>,
    /// Scheduling weight of the organisation.
    pub weight: u32,
}

impl ItemRun<'_> {
    /// Hands the item over to a target and waits for the end of the run.
    pub async fn run(self) -> RunReport {
        let Ok(input) = InputLine::parse(self.line) else {
            return self.failed("the input line is damaged");
        };
        let Ok((service, path)) = input.route() else {
            return self.failed("the input line names no service");
        };
        let Some(target) = self.choose_target(&service) else {
            return self.without_result(AttemptOutcome::NotRun);
        };
        let Some(body) = self.request_body(&input) else {
            return self.completed_from_partial(&input);
        };
        let _guard = InFlightGuard::new(self.state, target);
        self.exchange(&input, &path, body, target).await
    }

    /// Chooses a target with free batch capacity.
    fn choose_target(&self, service: &str) -> Option<TargetId> {
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

    /// Returns the request body; `None` if earlier runs have already generated all tokens.
    fn request_body(&self, input: &InputLine<'_>) -> Option<Bytes> {
        if !input.is_completion() {
            return Some(Bytes::copy_from_slice(input.body.get().as_bytes()));
        }
        let mut value: Value = serde_json::from_str(input.body.get()).unwrap_or_default();
        // A preempted stream can be continued; a response that is not streamed cannot.
        value["stream"] = json!(true);
        let text = value.to_string();
        continuation_body(text.as_bytes(), &self.partial_output.text, self.partial_output.tokens)
    }

    /// Sends the request to the sidecar and reads the response.
    async fn exchange(
        &self,
        input: &InputLine<'_>,
        path: &str,
        body: Bytes,
        target: TargetId,
    ) -> RunReport {
        let address = self.state.targets.borrow().get(target).map(|row| row.data);
        let Some(address) = address else {
            return self.without_result(AttemptOutcome::NotRun);
        };
        // Batch requests use their own connections, so that no online request waits behind one.
        let limits = HttpLimits { body_timeout: ITEM_TIMEOUT, ..HttpLimits::default() };
        let connected = ClientConnection::connect(address, CONNECT_TIMEOUT, limits).await;
        let Ok(mut connection) = connected else {
            return self.without_result(AttemptOutcome::NotRun);
        };
        let request = self.sidecar_request(input, path, body);
        let key = RequestKey::derive(self.organisation, &self.request_id);
        let response = async {
            connection.send(&request).await?;
            connection.read_head(&request.method, ITEM_TIMEOUT).await
        };
        let head = monoio::select! {
            head = response => head,
            () = self.state.wait_until_lost(target) => Err(HttpFault::Closed),
            () = wait_until_request_lost(self.state, target, key) => Err(HttpFault::Closed),
        };
        let Ok(head) = head else {
            return self.without_result(AttemptOutcome::Lost);
        };
        self.record_load_report(&head, target);
        match header_text(&head, headers::RUN) {
            Some("completed") => self.read_response(input, &mut connection, &head, target).await,
            Some("not_run") => self.without_result(AttemptOutcome::NotRun),
            Some("failed") => self.without_result(AttemptOutcome::Failed),
            _ => self.without_result(AttemptOutcome::Lost),
        }
    }

    /// Builds the request to the sidecar.
    fn sidecar_request(&self, input: &InputLine<'_>, path: &str, body: Bytes) -> ClientRequest {
        let method = input.method.as_deref().and_then(|name| name.parse().ok());
        let millis = ITEM_TIMEOUT.as_millis().to_string();
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

    /// Reads the response of the target.
    async fn read_response(
        &self,
        input: &InputLine<'_>,
        connection: &mut ClientConnection,
        head: &ResponseHead,
        target: TargetId,
    ) -> RunReport {
        let mut parser = EventParser::without_history();
        let mut generated = self.partial_output.clone();
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
                Err(_) => return self.cut_off(AttemptOutcome::Lost, generated),
            }
            if body.len() + generated.text.len() > MAX_RESPONSE_BYTES {
                return self.failed("the answer is too long");
            }
        }
        if !streamed {
            return self.report_response(input, head.status, &body);
        }
        if parser.is_preempted() {
            return self.cut_off(AttemptOutcome::Preempted, generated);
        }
        if !parser.is_done() {
            return self.cut_off(AttemptOutcome::Lost, generated);
        }
        self.completed(input, StatusCode::OK, &completion_body(input, &generated))
    }

    /// Reports a response that was not streamed.
    fn report_response(&self, input: &InputLine<'_>, status: StatusCode, body: &[u8]) -> RunReport {
        if status.is_server_error() {
            return self.without_result(AttemptOutcome::Failed);
        }
        let text = || Value::String(String::from_utf8_lossy(body).into_owned());
        let value: Value = serde_json::from_slice(body).unwrap_or_else(|_| text());
        if status.is_client_error() {
            let reason = format!("the target refused the request with status {status}: {value}");
            return self.failed(&reason);
        }
        self.completed(input, status, &value)
    }

    /// Reports a completion whose tokens had all been generated when its last run was cut off.
    fn completed_from_partial(&self, input: &InputLine<'_>) -> RunReport {
        self.completed(input, StatusCode::OK, &completion_body(input, &self.partial_output))
    }

    /// Reports an item that completed.
    fn completed(&self, input: &InputLine<'_>, status: StatusCode, body: &Value) -> RunReport {
        let status = status.as_u16();
        let line = output_line(&input.custom_id, &self.request_id, status, body);
        let state = ResultState::Completed;
        let result = ItemResult { body: line, item: self.item, state, status };
        self.state.metrics.items.with_label_values(&["completed"]).inc();
        RunReport {
            outcome: AttemptOutcome::Final,
            partial_output: GeneratedText::default(),
            result: Some(result),
        }
    }

    /// Reports an item that can never be completed.
    fn failed(&self, reason: &str) -> RunReport {
        self.state.metrics.items.with_label_values(&["failed"]).inc();
        let result = failed_result(self.line, self.item, ResultState::Failed, reason);
        RunReport {
            outcome: AttemptOutcome::Final,
            partial_output: GeneratedText::default(),
            result: Some(result),
        }
    }

    /// Reports a run that ended without a result.
    fn without_result(&self, outcome: AttemptOutcome) -> RunReport {
        let label = match outcome {
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Preempted => "preempted",
            AttemptOutcome::Failed => "target_failed",
            AttemptOutcome::Lost => "lost",
            AttemptOutcome::Final => "completed",
        };
        self.state.metrics.items.with_label_values(&[label]).inc();
        RunReport { outcome, partial_output: self.partial_output.clone(), result: None }
    }

    /// Reports a run that was cut off, with the text generated until then.
    fn cut_off(&self, outcome: AttemptOutcome, partial_output: GeneratedText) -> RunReport {
        RunReport { partial_output, ..self.without_result(outcome) }
    }

    /// Records the load report that the sidecar sent with its response.
    fn record_load_report(&self, head: &ResponseHead, target: TargetId) {
        let load = header_text(head, headers::LOAD).and_then(TargetLoad::decode);
        let now = self.state.clock.now();
        if let (Some(load), Some(row)) = (load, self.state.targets.borrow_mut().get_mut(target)) {
            row.reported_load = Some((now, load));
        }
    }
}

/// Builds the result of an item that did not complete.
pub(crate) fn failed_result(line: &str, item: u32, state: ResultState, reason: &str) -> ItemResult {
    let parsed = InputLine::parse(line);
    let custom_id = parsed.as_ref().map_or("", |input| &*input.custom_id);
    let body = error_line(custom_id, &format!("item-{item}"), state, reason);
    ItemResult { body, item, state, status: 0 }
}

/// Builds the body of a completion response that is not streamed.
fn completion_body(input: &InputLine<'_>, partial_output: &GeneratedText) -> Value {
    let is_chat = input.url.ends_with("chat/completions");
    let finish = &partial_output.finish_reason;
    let choice = if is_chat {
        let message = json!({"content": partial_output.text, "role": "assistant"});
        json!({"finish_reason": finish, "index": 0, "message": message})
    } else {
        json!({"finish_reason": finish, "index": 0, "text": partial_output.text})
    };
    json!({
        "choices": [choice],
        "object": if is_chat { "chat.completion" } else { "text_completion" },
        "usage": {"completion_tokens": partial_output.tokens},
    })
}

/// Returns a response header as text.
fn header_text<'h>(head: &'h ResponseHead, name: &str) -> Option<&'h str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

/// Counts a batch request as in flight at its target until it is dropped.
struct InFlightGuard {
    state: Rc<EntryState>,
    target: TargetId,
}

impl InFlightGuard {
    /// Adds a request to the count of its target.
    fn new(state: &Rc<EntryState>, target: TargetId) -> Self {
        if let Some(row) = state.targets.borrow_mut().get_mut(target) {
            row.batch_in_flight += 1;
        }
        Self { state: Rc::clone(state), target }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(row) = self.state.targets.borrow_mut().get_mut(self.target) {
            row.batch_in_flight = row.batch_in_flight.saturating_sub(1);
        }
    }
}
