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
use crate::caller_response::insert_header;
use crate::entry_state::EntryState;
use crate::watch::wait_until_request_lost;

/// Timeout for connecting to a sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a response that is buffered completely before it is forwarded, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Time beyond the deadline for a response that is in transit.
const DEADLINE_GRACE: Duration = Duration::from_millis(300);

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// An event for the flow, which decides the next step.
    Event(FlowEvent),
    /// The caller closed its connection.
    CallerGone,
    /// The sidecar has seen the request's key before; contains the outcome of the first request.
    Duplicate(String),
}

/// Sends a request to one target and forwards the response.
pub(crate) struct TargetAttempt<'a> {
    /// Number of the attempt, counted from 1.
    pub number: u32,
    /// The request body, which continues after the part that was already forwarded.
    pub body: Bytes,
    /// The request.
    pub request: &'a OnlineRequest,
    /// State of the entry.
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
    ) -> AttemptResult {
        let Some(address) = self.state.targets.borrow().get(self.target).map(|row| row.data) else {
            return AttemptResult::Event(FlowEvent::ConnectFailed);
        };
        let started = Instant::now();
        let _guard = self.state.track_in_flight(self.target);
        let connected = if self.request.policy.repeatable {
            self.state.pool.connect(address, CONNECT_TIMEOUT).await
        } else {
            // If an idle connection is just closing, it is unknown whether the request ran.
            ClientConnection::connect(address, CONNECT_TIMEOUT, HttpLimits::default()).await
        };
        let Ok(mut connection) = connected else {
            self.record_failure();
            return AttemptResult::Event(FlowEvent::ConnectFailed);
        };
        self.state.metrics.attempts.inc();
        let request = self.sidecar_request();
        let timeout = self.request.time_left() + DEADLINE_GRACE;
        let response = async {
            connection.send(&request).await?;
            connection.read_head(&request.method, timeout).await
        };
        let head = monoio::select! {
            head = response => head,
            () = exchange.closed() => return AttemptResult::CallerGone,
            () = self.state.wait_until_lost(self.target) => Err(HttpFault::Closed),
            () = wait_until_request_lost(self.state, self.target, self.request.key()) => {
                Err(HttpFault::Closed)
            }
        };
        let head = match head {
            Ok(head) => head,
            Err(fault) => return self.lost_before_response(&fault),
        };
        self.record_response_metadata(&head);
        let result = match header_text(&head, headers::RUN) {
            Some("completed") => {
                self.relay(exchange, parser, &mut connection, &head, started).await
            }
            run => self.read_refusal(&mut connection, &head, run).await,
        };
        if connection.is_reusable() {
            self.state.pool.release(address, connection);
        }
        result
    }

    /// Builds the request to the sidecar.
    fn sidecar_request(&self) -> ClientRequest {
        let OnlineRequest { method, path, organisation, request_id, policy, .. } = self.request;
        let mut request = ClientRequest::new(method.clone(), path.clone(), self.body.clone());
        request.headers = forwarded_request_headers(&self.request.headers);
        let fields = &mut request.headers;
        insert_header(fields, headers::ATTEMPT, &self.number.to_string());
        insert_header(fields, headers::CLASS, "online");
        insert_header(fields, headers::CLOCK, &self.state.events.next_timestamp().encode());
        insert_header(
            fields,
            headers::DEADLINE_MS,
            &self.request.time_left().as_millis().to_string(),
        );
        insert_header(fields, headers::ORGANISATION, organisation);
        insert_header(
            fields,
            headers::REPEATABLE,
            if policy.repeatable { "true" } else { "false" },
        );
        insert_header(fields, headers::REQUEST_ID, request_id);
        insert_header(fields, headers::SECRET, &self.state.settings.secret);
        insert_header(fields, headers::WEIGHT, &policy.weight.to_string());
        request
    }

    /// Forwards the target's response.
    async fn relay(
        &self,
        exchange: &mut ServerExchange<'_>,
        parser: &mut EventParser,
        connection: &mut ClientConnection,
        head: &ResponseHead,
        started: Instant,
    ) -> AttemptResult {
        let is_model = self.request.policy.kind == ServiceKind::Model;
        if is_model && head.status.is_server_error() && self.request.policy.repeatable {
            self.record_failure();
            return AttemptResult::Event(FlowEvent::TargetFailed);
        }
        if is_bufferable(head) && !exchange.has_responded() {
            return self.relay_buffered(exchange, connection, head, started).await;
        }
        if !exchange.has_responded() {
            let headers = forwarded_response_headers(&head.headers);
            if exchange.start_stream(head.status, &headers).await.is_err() {
                return AttemptResult::CallerGone;
            }
        }
        let is_event_stream = self.request.stream && head.status == StatusCode::OK;
        self.relay_stream(exchange, parser, connection, is_event_stream, started).await
    }

    /// Forwards a response of limited length once it is complete.
    async fn relay_buffered(
        &self,
        exchange: &mut ServerExchange<'_>,
        connection: &mut ClientConnection,
        head: &ResponseHead,
        started: Instant,
    ) -> AttemptResult {
        let mut body = BytesMut::new();
        loop {
            let piece = monoio::select! {
                piece = connection.read_piece() => piece,
                () = exchange.closed() => return AttemptResult::CallerGone,
                () = self.state.wait_until_lost(self.target) => Err(HttpFault::Closed),
            };
            match piece {
                Ok(Some(piece)) => body.extend_from_slice(&piece),
                Ok(None) => break,
                Err(fault) => return self.lost_before_response(&fault),
            }
        }
        if self.request.policy.kind == ServiceKind::Plain {
            self.record_success(started);
        }
        self.state.metrics.first_response.observe(self.request.arrived.elapsed().as_secs_f64());
        let headers = forwarded_response_headers(&head.headers);
        match exchange.respond(head.status, &headers, &body.freeze()).await {
            Ok(()) => AttemptResult::Event(FlowEvent::Completed),
            Err(_) => AttemptResult::CallerGone,
        }
    }

    /// Forwards a response piece by piece.
    async fn relay_stream(
        &self,
        exchange: &mut ServerExchange<'_>,
        parser: &mut EventParser,
        connection: &mut ClientConnection,
        is_event_stream: bool,
        started: Instant,
    ) -> AttemptResult {
        let mut is_first = true;
        loop {
            let piece = monoio::select! {
                piece = connection.read_piece() => piece,
                () = exchange.closed() => return AttemptResult::CallerGone,
                () = self.state.wait_until_lost(self.target) => Err(HttpFault::Closed),
            };
            let piece = match piece {
                Ok(Some(piece)) => piece,
                Ok(None) if is_event_stream && !parser.is_done() => {
                    return self.lost_during_response(parser);
                }
                Ok(None) => break,
                Err(_) => return self.lost_during_response(parser),
            };
            if std::mem::take(&mut is_first) {
                self.record_success(started);
                let latency = self.request.arrived.elapsed().as_secs_f64();
                self.state.metrics.first_response.observe(latency);
            }
            let forwarded = if is_event_stream { parser.push(&piece) } else { Some(piece) };
            let Some(forwarded) = forwarded else {
                return self.lost_during_response(parser);
            };
            if exchange.send_piece(&forwarded).await.is_err() {
                return AttemptResult::CallerGone;
            }
        }
        match exchange.finish_stream().await {
            Ok(()) => AttemptResult::Event(FlowEvent::Completed),
            Err(_) => AttemptResult::CallerGone,
        }
    }

    /// Reads a response that the sidecar itself made.
    async fn read_refusal(
        &self,
        connection: &mut ClientConnection,
        head: &ResponseHead,
        run: Option<&str>,
    ) -> AttemptResult {
        // The body only repeats the headers; it is read so that the connection can be reused.
        while let Ok(Some(_)) = connection.read_piece().await {}
        let reason = header_text(head, headers::REASON).and_then(RefusalReason::from_text);
        if reason == Some(RefusalReason::Duplicate) {
            return AttemptResult::Duplicate(run.unwrap_or("unknown").to_owned());
        }
        let event = match run {
            Some("not_run") => {
                let reason = reason.unwrap_or(RefusalReason::TargetDown);
                self.apply_refusal(reason);
                let retry_after_ms =
                    header_text(head, headers::RETRY_AFTER_MS).and_then(|text| text.parse().ok());
                FlowEvent::Refused(reason, retry_after_ms.map(Duration::from_millis))
            }
            Some("failed") => FlowEvent::TargetFailed,
            _ => {
                self.record_failure();
                FlowEvent::LostBeforeResponse
            }
        };
        AttemptResult::Event(event)
    }

    /// Ends an attempt that was lost before any part of its response was forwarded.
    fn lost_before_response(&self, fault: &HttpFault) -> AttemptResult {
        let deadline_passed = self.request.time_left().is_zero();
        if deadline_passed && matches!(fault, HttpFault::TimedOut(_)) {
            return AttemptResult::Event(FlowEvent::DeadlinePassed);
        }
        self.record_failure();
        AttemptResult::Event(FlowEvent::LostBeforeResponse)
    }

    /// Ends an attempt that was lost after a part of its response was forwarded.
    fn lost_during_response(&self, parser: &mut EventParser) -> AttemptResult {
        self.record_failure();
        parser.discard_partial_event();
        AttemptResult::Event(FlowEvent::LostDuringResponse)
    }

    /// Records the load and the clock from the headers of a sidecar's response.
    fn record_response_metadata(&self, head: &ResponseHead) {
        if let Some(clock) = header_text(head, headers::CLOCK).and_then(HybridTimestamp::decode) {
            self.state.events.observe(clock);
        }
        let load = header_text(head, headers::LOAD).and_then(TargetLoad::decode);
        let now = self.state.clock.now();
        if let (Some(load), Some(row)) =
            (load, self.state.targets.borrow_mut().get_mut(self.target))
        {
            row.reported_load = Some((now, load));
        }
    }

    /// Updates the target's row from a refusal that concerns the target's state.
    fn apply_refusal(&self, reason: RefusalReason) {
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

    /// Records that the target responded.
    fn record_success(&self, started: Instant) {
        if let Some(row) = self.state.targets.borrow_mut().get_mut(self.target) {
            self.state.outliers.record_success(row, started.elapsed());
        }
    }

    /// Records that the target failed.
    fn record_failure(&self) {
        if let Some(row) = self.state.targets.borrow_mut().get_mut(self.target) {
            self.state.outliers.record_failure(row);
        }
    }
}

/// Returns a response header as text.
fn header_text<'h>(head: &'h ResponseHead, name: &str) -> Option<&'h str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns whether a response is short enough to be buffered before it is forwarded.
fn is_bufferable(head: &ResponseHead) -> bool {
    let length = head.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length
        .and_then(|text| text.parse::<usize>().ok())
        .is_some_and(|size| size <= MAX_BUFFERED_BYTES)
}

/// Copies the caller's headers without hop-by-hop, internal and authorisation headers.
fn forwarded_request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 12);
    for (name, value) in headers {
        let text = name.as_str();
        let is_hop_by_hop = matches!(
            text,
            "connection" | "expect" | "host" | "keep-alive" | "te" | "trailer" | "upgrade"
        );
        let is_internal = text.starts_with(headers::INTERNAL_PREFIX) || name == AUTHORIZATION;
        if !is_hop_by_hop && !is_internal {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Copies the headers of the target's response without hop-by-hop headers and internal ones, except
/// the outcome of the run.
fn forwarded_response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_internal = text.starts_with(headers::INTERNAL_PREFIX) && text != headers::RUN;
        if !is_internal && text != "connection" && text != "keep-alive" {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
