//! Queueing, execution and response of requests at the sidecar.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use cv_http::ClientRequest;
use cv_http::HttpFault;
use cv_http::RequestHandler;
use cv_http::ServerExchange;
use cv_policy::AdmitDecision;
use cv_policy::RefusalReason;
use cv_policy::TicketId;
use cv_policy::WorkClass;
use cv_policy::admission::AdmissionEvent;
use cv_policy::headers;
use cv_settings::SidecarSection;
use cv_timeline::EventKind;
use http::HeaderMap;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::response::Parts as ResponseHead;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::request_metadata::RequestMetadata;
use crate::response_writer::ResponseWriter;
use crate::response_writer::insert_header;
use crate::sidecar_state::SidecarState;
use crate::sidecar_state::TicketSignal;
use crate::target_exchange::TargetConnector;
use crate::target_exchange::TargetExchange;
use crate::target_exchange::end_to_end_headers;

/// Maximum size of a response that is buffered completely before it is forwarded, in bytes.
const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// Bytes of a request body that count as one unit of cost.
const BYTES_PER_COST_UNIT: usize = 64;

/// Time beyond the deadline for which the target's response is still awaited.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// The event that ends the stream of a preempted batch request.
const PREEMPTED_EVENT: &[u8] = b"event: preempted\ndata: {}\n\n";

/// Serves the requests that entries send to the sidecar.
pub(crate) struct SidecarHandler {
    responses: ResponseWriter,
    connector: TargetConnector,
    max_body: usize,
    state: Rc<SidecarState>,
}

/// Outcome of a request's exchange with the target.
enum TargetOutcome {
    /// The complete response was forwarded.
    Completed,
    /// The batch request was preempted and released its slot.
    Preempted,
    /// The entry closed its connection or the request was cancelled.
    Cancelled,
    /// No connection to the target could be made, so nothing was sent.
    Unreachable,
    /// The attempt was voided before the hand-over.
    Voided,
    /// The request was sent, but its response was lost or is incomplete.
    Lost(HttpFault),
}

impl SidecarHandler {
    /// Creates the handler of a sidecar.
    pub fn new(state: Rc<SidecarState>, max_body: usize) -> Self {
        let connector = TargetConnector::new(state.section.target);
        let responses = ResponseWriter::new(Rc::clone(&state));
        Self { responses, connector, max_body, state }
    }

    /// Queues a request, runs it when the queue starts it, and responds.
    async fn serve(
        &self,
        exchange: &mut ServerExchange<'_>,
        metadata: &RequestMetadata,
        body: Bytes,
    ) -> Result<(), HttpFault> {
        if !metadata.repeatable {
            let decision = self.state.execution_log.borrow_mut().admit(
                self.state.clock.now(),
                metadata.key,
                metadata.attempt,
            );
            if let AdmitDecision::Duplicate(state) = decision {
                return self.responses.respond_duplicate(exchange, metadata, state).await;
            }
        }
        self.responses.record_event(EventKind::AttemptQueued, metadata, || {
            format!("attempt={}", metadata.attempt)
        });
        let queued_at = Instant::now();
        let cost = 1 + (body.len() / BYTES_PER_COST_UNIT) as u32;
        let (ticket, mut signals) =
            self.state.enqueue(metadata, cost, is_preemptible(&self.state.section, metadata));
        let signal = monoio::select! {
            biased;
            signal = signals.recv() => signal,
            () = exchange.closed() => {
                self.state.handle(AdmissionEvent::Abandoned(ticket));
                Some(TicketSignal::Cancel)
            }
        };
        let result = match signal {
            Some(TicketSignal::Start) => {
                self.state.metrics.wait.observe(queued_at.elapsed().as_secs_f64());
                self.run(exchange, metadata, body, ticket, &mut signals).await
            }
            Some(TicketSignal::Refuse(reason, retry_after)) => {
                self.responses.refuse(exchange, metadata, reason, retry_after).await
            }
            _ => {
                self.responses.record_refusal(metadata);
                Err(HttpFault::Closed)
            }
        };
        self.state.handle(AdmissionEvent::Finished(ticket));
        self.state.remove_ticket(ticket);
        result
    }

    /// Sends a request to the target, forwards the response and records the outcome.
    async fn run(
        &self,
        exchange: &mut ServerExchange<'_>,
        metadata: &RequestMetadata,
        body: Bytes,
        ticket: TicketId,
        signals: &mut UnboundedReceiver<TicketSignal>,
    ) -> Result<(), HttpFault> {
        let request = build_target_request(exchange, metadata, body);
        let outcome =
            self.exchange_with_target(exchange, metadata, &request, ticket, signals).await;
        let label = match &outcome {
            TargetOutcome::Completed => "completed",
            TargetOutcome::Preempted => "preempted",
            TargetOutcome::Cancelled => "cancelled",
            TargetOutcome::Unreachable | TargetOutcome::Voided => "not_run",
            TargetOutcome::Lost(_) => "lost",
        };
        self.responses.count_outcome(metadata, label);
        match outcome {
            TargetOutcome::Completed => {
                self.responses.record_finish(metadata, true);
                Ok(())
            }
            TargetOutcome::Preempted => {
                self.responses.record_event(EventKind::Preempted, metadata, String::new);
                Ok(())
            }
            TargetOutcome::Cancelled => {
                self.responses.record_finish(metadata, false);
                Err(HttpFault::Closed)
            }
            TargetOutcome::Unreachable | TargetOutcome::Voided => {
                self.responses.refuse(exchange, metadata, RefusalReason::TargetDown, None).await
            }
            // Part of the response was sent: only closing the connection signals that the rest is
            // lost.
            TargetOutcome::Lost(fault) if exchange.has_responded() => Err(fault),
            TargetOutcome::Lost(fault) => {
                let headers =
                    self.responses.sidecar_response_headers(metadata, "unknown", fault.reason());
                self.responses
                    .respond_error(exchange, StatusCode::BAD_GATEWAY, &headers, "unknown")
                    .await
            }
        }
    }

    /// Sends the request to the target and forwards its response.
    async fn exchange_with_target(
        &self,
        exchange: &mut ServerExchange<'_>,
        metadata: &RequestMetadata,
        request: &ClientRequest,
        ticket: TicketId,
        signals: &mut UnboundedReceiver<TicketSignal>,
    ) -> TargetOutcome {
        let Ok(mut target) = self.connector.open().await else {
            return TargetOutcome::Unreachable;
        };
        if !metadata.repeatable && !self.state.execution_log.borrow_mut().hand_over(metadata.key) {
            return TargetOutcome::Voided;
        }
        self.responses.record_event(EventKind::HandedOver, metadata, String::new);
        let timeout = metadata.deadline + DEADLINE_GRACE;
        let response = async {
            target.send(request).await?;
            target.read_head(timeout).await
        };
        let head = monoio::select! {
            head = response => head,
            () = exchange.closed() => return TargetOutcome::Cancelled,
            signal = signals.recv() => return self.preempt(exchange, metadata, signal).await,
        };
        let head = match head {
            Ok(head) => head,
            Err(fault) => return TargetOutcome::Lost(fault),
        };
        if is_bufferable(&head) {
            self.relay_buffered(exchange, metadata, &mut target, head, ticket).await
        } else {
            self.relay_stream(exchange, metadata, &mut target, head, ticket, signals).await
        }
    }

    /// Forwards a response of known, limited length once it is complete.
    async fn relay_buffered(
        &self,
        exchange: &mut ServerExchange<'_>,
        metadata: &RequestMetadata,
        target: &mut TargetExchange,
        head: ResponseHead,
        ticket: TicketId,
    ) -> TargetOutcome {
        let mut body = BytesMut::new();
        loop {
            let piece = monoio::select! {
                piece = target.read_piece() => piece,
                () = exchange.closed() => return TargetOutcome::Cancelled,
            };
            match piece {
                Ok(Some(piece)) => body.extend_from_slice(&piece),
                Ok(None) => break,
                Err(fault) => return TargetOutcome::Lost(fault),
            }
        }
        self.state.handle(AdmissionEvent::Responded(ticket));
        let headers = self.responses.target_response_headers(metadata, &head);
        match exchange.respond(head.status, &headers, &body.freeze()).await {
            Ok(()) => TargetOutcome::Completed,
            Err(_) => TargetOutcome::Cancelled,
        }
    }

    /// Forwards a response piece by piece.
    async fn relay_stream(
        &self,
        exchange: &mut ServerExchange<'_>,
        metadata: &RequestMetadata,
        target: &mut TargetExchange,
        head: ResponseHead,
        ticket: TicketId,
        signals: &mut UnboundedReceiver<TicketSignal>,
    ) -> TargetOutcome {
        let headers = self.responses.target_response_headers(metadata, &head);
        if exchange.start_stream(head.status, &headers).await.is_err() {
            return TargetOutcome::Cancelled;
        }
        let mut tokens = 0;
        loop {
            let piece = monoio::select! {
                biased;
                signal = signals.recv() => return self.preempt(exchange, metadata, signal).await,
                piece = target.read_piece() => piece,
                () = exchange.closed() => return TargetOutcome::Cancelled,
            };
            match piece {
                Ok(Some(piece)) => {
                    if tokens == 0 {
                        self.state.handle(AdmissionEvent::Responded(ticket));
                    }
                    tokens += count_events(&piece).max(1);
                    if metadata.class == WorkClass::Batch {
                        self.state.handle(AdmissionEvent::Progressed(ticket, tokens));
                    }
                    if exchange.send_piece(&piece).await.is_err() {
                        return TargetOutcome::Cancelled;
                    }
                }
                Ok(None) => break,
                Err(fault) => return TargetOutcome::Lost(fault),
            }
        }
        match exchange.finish_stream().await {
            Ok(()) => TargetOutcome::Completed,
            Err(_) => TargetOutcome::Cancelled,
        }
    }

    /// Ends a batch request's response early, so that its entry can continue it later.
    ///
    /// Any signal other than `Preempt` cancels the request.
    async fn preempt(
        &self,
        exchange: &mut ServerExchange<'_>,
        metadata: &RequestMetadata,
        signal: Option<TicketSignal>,
    ) -> TargetOutcome {
        if signal != Some(TicketSignal::Preempt) {
            return TargetOutcome::Cancelled;
        }
        if !exchange.has_responded() {
            let headers = self.responses.sidecar_response_headers(
                metadata,
                "not_run",
                RefusalReason::NoSlack.as_str(),
            );
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return match self.responses.respond_error(exchange, status, &headers, "not_run").await {
                Ok(()) => TargetOutcome::Preempted,
                Err(_) => TargetOutcome::Cancelled,
            };
        }
        let sent = exchange.send_piece(&Bytes::from_static(PREEMPTED_EVENT)).await;
        if sent.is_ok() && exchange.finish_stream().await.is_ok() {
            TargetOutcome::Preempted
        } else {
            TargetOutcome::Cancelled
        }
    }

    /// Serves the sidecar's own paths: metrics, readiness and health.
    async fn serve_internal(
        &self,
        exchange: &mut ServerExchange<'_>,
        path: &str,
    ) -> Result<(), HttpFault> {
        let empty = HeaderMap::new();
        match path {
            "/-/metrics" => {
                let text = self.state.metrics.render(&self.state.load());
                exchange.respond(StatusCode::OK, &empty, &Bytes::from(text)).await
            }
            "/-/ready" if !self.state.target_up.get() || self.state.is_draining() => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                exchange.respond(status, &empty, &Bytes::from_static(b"not ready\n")).await
            }
            "/-/ready" | "/-/health" => {
                exchange.respond(StatusCode::OK, &empty, &Bytes::from_static(b"ok\n")).await
            }
            _ => exchange.respond(StatusCode::NOT_FOUND, &empty, &Bytes::new()).await,
        }
    }
}

impl RequestHandler for SidecarHandler {
    async fn handle(&self, exchange: &mut ServerExchange<'_>) -> Result<(), HttpFault> {
        let path = exchange.head().uri.path().to_owned();
        if path.starts_with("/-/") {
            exchange.read_body(0).await?;
            return self.serve_internal(exchange, &path).await;
        }
        let metadata = RequestMetadata::read(exchange);
        if let Some(clock) = metadata.clock {
            self.state.events.observe(clock);
        }
        let is_authenticated =
            exchange.header(headers::SECRET).unwrap_or_default() == self.state.secret;
        let body = exchange.read_body(self.max_body).await?;
        if !is_authenticated {
            let headers =
                self.responses.sidecar_response_headers(&metadata, "not_run", "not_authorised");
            return self
                .responses
                .respond_error(exchange, StatusCode::FORBIDDEN, &headers, "not_run")
                .await;
        }
        if !self.state.target_up.get() {
            return self
                .responses
                .refuse(exchange, &metadata, RefusalReason::TargetDown, None)
                .await;
        }
        // A job's owner that was paused past the end of its lease may resume during a hand-over.
        if metadata.not_after_ms.is_some_and(|limit| self.state.clock.wall_millis() > limit) {
            return self
                .responses
                .refuse(exchange, &metadata, RefusalReason::LeaseOver, None)
                .await;
        }
        self.state.add_present(metadata.key);
        let result = self.serve(exchange, &metadata, body).await;
        self.state.remove_present(metadata.key);
        result
    }
}

/// Builds the request for the target.
fn build_target_request(
    exchange: &ServerExchange<'_>,
    metadata: &RequestMetadata,
    body: Bytes,
) -> ClientRequest {
    let head = exchange.head();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = ClientRequest::new(head.method.clone(), path, body);
    request.headers = end_to_end_headers(&head.headers);
    insert_header(&mut request.headers, headers::REQUEST_ID, &metadata.request_id);
    request
}

/// Returns whether a request may be preempted: a repeatable batch completion can be continued.
fn is_preemptible(section: &SidecarSection, metadata: &RequestMetadata) -> bool {
    let model = section.kind == cv_policy::config::ServiceKind::Model;
    metadata.class == WorkClass::Batch && metadata.repeatable && model
}

/// Returns whether a response is short enough to be buffered before it is forwarded.
fn is_bufferable(head: &ResponseHead) -> bool {
    let length = head.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length
        .and_then(|text| text.parse::<u64>().ok())
        .is_some_and(|bytes| bytes <= MAX_BUFFERED_BYTES)
}

/// Counts the events that end in a piece of a stream; each carries one token.
fn count_events(piece: &[u8]) -> u32 {
    piece.windows(2).filter(|window| *window == b"\n\n").count() as u32
}
