//! One attempt of a request at one target.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use cv_http::ClientConnection;
use cv_http::ClientRequest;
use cv_http::HttpFault;
use cv_http::HttpLimits;
use cv_http::ServerExchange;
use cv_policy::HybridTimestamp;
use cv_policy::RefusalReason;
use cv_policy::TargetId;
use cv_policy::TargetLoad;
use cv_policy::config::ServiceKind;
use cv_policy::flow::FlowEvent;
use cv_policy::headers;
use http::HeaderMap;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_LENGTH;
use http::response::Parts as ResponseHead;

use super::EventParser;
use super::OnlineRequest;
use crate::caller_response::put;
use crate::entry_state::EntryState;
use crate::watch::wait_until_request_lost;

/// Longest time to connect to a sidecar.
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);

/// Longest answer that is read whole before it is passed on, in bytes.
const WHOLE_ANSWER_BYTES: usize = 256 * 1024;

/// Time beyond the deadline that an answer on its way still has.
const DEADLINE_GRACE: Duration = Duration::from_millis(300);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The flow decides what comes next.
    Event(FlowEvent),
    /// The caller has gone away.
    CallerGone,
    /// The sidecar has seen the request's key before; says what became of the first request.
    Duplicate(String),
}

/// Sends a request to one target and passes the answer on.
pub(crate) struct TargetAttempt<'a> {
    /// Number of the attempt, counted from 1.
    pub number: u32,
    /// The body, which goes on after what was relayed.
    pub body: Bytes,
    /// The request.
    pub request: &'a OnlineRequest,
    /// The entry.
    pub state: &'a Rc<EntryState>,
    /// The target.
    pub target: TargetId,
}

impl TargetAttempt<'_> {
    /// Makes the attempt.
    pub async fn run(
        &self,
        exchange: &mut ServerExchange<'_>,
        parser: &mut EventParser,
    ) -> AttemptEnd {
        let Some(address) = self.state.targets.borrow().get(self.target).map(|row| row.data) else {
            return AttemptEnd::Event(FlowEvent::ConnectFailed);
        };
        let begin = Instant::now();
        let _guard = self.state.enter_target(self.target);
        let connected = if self.request.rules.repeatable {
            self.state.pool.connect(address, CONNECT_PATIENCE).await
        } else {
            // An idle connection may be closing, and then nobody knows whether the request ran.
            ClientConnection::connect(address, CONNECT_PATIENCE, HttpLimits::default()).await
        };
        let Ok(mut connection) = connected else {
            self.record_failure();
            return AttemptEnd::Event(FlowEvent::ConnectFailed);
        };
        self.state.metrics.attempts.inc();
        let request = self.message();
        let patience = self.request.time_left() + DEADLINE_GRACE;
        let answer = async {
            connection.send(&request).await?;
            connection.read_head(&request.method, patience).await
        };
        let head = monoio::select! {
            head = answer => head,
            () = exchange.closed() => return AttemptEnd::CallerGone,
            () = self.state.wait_until_lost(self.target) => Err(HttpFault::Closed),
            () = wait_until_request_lost(self.state, self.target, self.request.key()) => {
                Err(HttpFault::Closed)
            }
        };
        let head = match head {
            Ok(head) => head,
            Err(fault) => return self.lost_before_answer(&fault),
        };
        self.take_reading(&head);
        let end = match header(&head, headers::RUN) {
            Some("completed") => self.relay(exchange, parser, &mut connection, &head, begin).await,
            run => self.read_refusal(&mut connection, &head, run).await,
        };
        if connection.is_reusable() {
            self.state.pool.release(address, connection);
        }
        end
    }

    /// Returns the message to the sidecar.
    fn message(&self) -> ClientRequest {
        let OnlineRequest { method, path, organisation, request_id, rules, .. } = self.request;
        let mut message = ClientRequest::new(method.clone(), path.clone(), self.body.clone());
        message.headers = passed_headers(&self.request.headers);
        let fields = &mut message.headers;
        put(fields, headers::ATTEMPT, &self.number.to_string());
        put(fields, headers::CLASS, "online");
        put(fields, headers::CLOCK, &self.state.events.next_timestamp().encode());
        put(fields, headers::DEADLINE_MS, &self.request.time_left().as_millis().to_string());
        put(fields, headers::ORGANISATION, organisation);
        put(fields, headers::REPEATABLE, if rules.repeatable { "true" } else { "false" });
        put(fields, headers::REQUEST_ID, request_id);
        put(fields, headers::SECRET, &self.state.settings.secret);
        put(fields, headers::WEIGHT, &rules.weight.to_string());
        message
    }

    /// Passes the target's answer on.
    async fn relay(
        &self,
        exchange: &mut ServerExchange<'_>,
        parser: &mut EventParser,
        connection: &mut ClientConnection,
        head: &ResponseHead,
        begin: Instant,
    ) -> AttemptEnd {
        let model = self.request.rules.kind == ServiceKind::Model;
        if model && head.status.is_server_error() && self.request.rules.repeatable {
            self.record_failure();
            return AttemptEnd::Event(FlowEvent::TargetFailed);
        }
        if is_whole(head) && !exchange.has_responded() {
            return self.relay_whole(exchange, connection, head, begin).await;
        }
        if !exchange.has_responded() {
            let headers = answer_headers(&head.headers);
            if exchange.start_stream(head.status, &headers).await.is_err() {
                return AttemptEnd::CallerGone;
            }
        }
        let events = self.request.stream && head.status == StatusCode::OK;
        self.relay_stream(exchange, parser, connection, events, begin).await
    }

    /// Passes on an answer of moderate length once it is whole.
    async fn relay_whole(
        &self,
        exchange: &mut ServerExchange<'_>,
        connection: &mut ClientConnection,
        head: &ResponseHead,
        begin: Instant,
    ) -> AttemptEnd {
        let mut body = BytesMut::new();
        loop {
            let piece = monoio::select! {
                piece = connection.read_piece() => piece,
                () = exchange.closed() => return AttemptEnd::CallerGone,
                () = self.state.wait_until_lost(self.target) => Err(HttpFault::Closed),
            };
            match piece {
                Ok(Some(piece)) => body.extend_from_slice(&piece),
                Ok(None) => break,
                Err(fault) => return self.lost_before_answer(&fault),
            }
        }
        if self.request.rules.kind == ServiceKind::Plain {
            self.record_success(begin);
        }
        self.state.metrics.first_response.observe(self.request.arrived.elapsed().as_secs_f64());
        let headers = answer_headers(&head.headers);
        match exchange.respond(head.status, &headers, &body.freeze()).await {
            Ok(()) => AttemptEnd::Event(FlowEvent::Completed),
            Err(_) => AttemptEnd::CallerGone,
        }
    }

    /// Passes on an answer piece by piece.
    async fn relay_stream(
        &self,
        exchange: &mut ServerExchange<'_>,
        parser: &mut EventParser,
        connection: &mut ClientConnection,
        events: bool,
        begin: Instant,
    ) -> AttemptEnd {
        let mut first = true;
        loop {
            let piece = monoio::select! {
                piece = connection.read_piece() => piece,
                () = exchange.closed() => return AttemptEnd::CallerGone,
                () = self.state.wait_until_lost(self.target) => Err(HttpFault::Closed),
            };
            let piece = match piece {
                Ok(Some(piece)) => piece,
                Ok(None) if events && !parser.is_done() => {
                    return self.lost_inside_answer(parser);
                }
                Ok(None) => break,
                Err(_) => return self.lost_inside_answer(parser),
            };
            if std::mem::take(&mut first) {
                self.record_success(begin);
                let latency = self.request.arrived.elapsed().as_secs_f64();
                self.state.metrics.first_response.observe(latency);
            }
            let passed = if events { parser.push(&piece) } else { Some(piece) };
            let Some(passed) = passed else {
                return self.lost_inside_answer(parser);
            };
            if exchange.send_piece(&passed).await.is_err() {
                return AttemptEnd::CallerGone;
            }
        }
        match exchange.finish_stream().await {
            Ok(()) => AttemptEnd::Event(FlowEvent::Completed),
            Err(_) => AttemptEnd::CallerGone,
        }
    }

    /// Reads an answer that is the sidecar's own.
    async fn read_refusal(
        &self,
        connection: &mut ClientConnection,
        head: &ResponseHead,
        run: Option<&str>,
    ) -> AttemptEnd {
        // The body only repeats the headers; it is read so that the connection can be reused.
        while let Ok(Some(_)) = connection.read_piece().await {}
        let reason = header(head, headers::REASON).and_then(RefusalReason::from_text);
        if reason == Some(RefusalReason::Duplicate) {
            return AttemptEnd::Duplicate(run.unwrap_or("unknown").to_owned());
        }
        let event = match run {
            Some("not_run") => {
                let reason = reason.unwrap_or(RefusalReason::TargetDown);
                self.note_refusal(reason);
                let after =
                    header(head, headers::RETRY_AFTER_MS).and_then(|text| text.parse().ok());
                FlowEvent::Refused(reason, after.map(Duration::from_millis))
            }
            Some("failed") => FlowEvent::TargetFailed,
            _ => {
                self.record_failure();
                FlowEvent::LostBeforeResponse
            }
        };
        AttemptEnd::Event(event)
    }

    /// Ends an attempt of whose answer nothing was passed on.
    fn lost_before_answer(&self, fault: &HttpFault) -> AttemptEnd {
        let late = self.request.time_left().is_zero();
        if late && matches!(fault, HttpFault::TimedOut(_)) {
            return AttemptEnd::Event(FlowEvent::DeadlinePassed);
        }
        self.record_failure();
        AttemptEnd::Event(FlowEvent::LostBeforeResponse)
    }

    /// Ends an attempt of whose answer a part was passed on.
    fn lost_inside_answer(&self, parser: &mut EventParser) -> AttemptEnd {
        self.record_failure();
        parser.drop_tail();
        AttemptEnd::Event(FlowEvent::LostDuringResponse)
    }

    /// Takes the sidecar's reading and clock from its answer.
    fn take_reading(&self, head: &ResponseHead) {
        if let Some(clock) = header(head, headers::CLOCK).and_then(HybridTimestamp::decode) {
            self.state.events.observe(clock);
        }
        let reading = header(head, headers::LOAD).and_then(TargetLoad::decode);
        let now = self.state.clock.now();
        if let (Some(reading), Some(row)) =
            (reading, self.state.targets.borrow_mut().get_mut(self.target))
        {
            row.reported_load = Some((now, reading));
        }
    }

    /// Acts on a refusal that says something of the target's state.
    fn note_refusal(&self, reason: RefusalReason) {
        let mut table = self.state.targets.borrow_mut();
        let Some(row) = table.get_mut(self.target) else {
            return;
        };
        match reason {
            RefusalReason::Leaving => row.draining = true,
            RefusalReason::TargetDown => row.ready = false,
            _ => {}
        }
    }

    /// Notes that the target answered.
    fn record_success(&self, begin: Instant) {
        if let Some(row) = self.state.targets.borrow_mut().get_mut(self.target) {
            self.state.outliers.record_success(row, begin.elapsed());
        }
    }

    /// Notes that the target did not answer properly.
    fn record_failure(&self) {
        if let Some(row) = self.state.targets.borrow_mut().get_mut(self.target) {
            self.state.outliers.record_failure(row);
        }
    }
}

/// Returns a header of an answer as text.
fn header<'h>(head: &'h ResponseHead, name: &str) -> Option<&'h str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

/// Tells whether an answer is short enough to be read whole before it is passed on.
fn is_whole(head: &ResponseHead) -> bool {
    let length = head.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length
        .and_then(|text| text.parse::<usize>().ok())
        .is_some_and(|size| size <= WHOLE_ANSWER_BYTES)
}

/// Copies the caller's headers, without those that belong to its connection or are a secret.
fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len() + 12);
    for (name, value) in headers {
        let text = name.as_str();
        let hop = matches!(
            text,
            "connection" | "expect" | "host" | "keep-alive" | "te" | "trailer" | "upgrade"
        );
        let internal = text.starts_with(headers::INTERNAL_PREFIX) || name == AUTHORIZATION;
        if !hop && !internal {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// Copies the headers of the target's answer, without those that stay inside the system.
fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let inner = text.starts_with(headers::INTERNAL_PREFIX) && text != headers::RUN;
        if !inner && text != "connection" && text != "keep-alive" {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}
