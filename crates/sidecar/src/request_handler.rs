//! The life of one request at the sidecar.

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

use crate::message_labels::MessageLabels;
use crate::sidecar_answers::SidecarAnswers;
use crate::sidecar_answers::put;
use crate::sidecar_state::SidecarState;
use crate::sidecar_state::TicketSignal;
use crate::target_exchange::TargetExchange;
use crate::target_exchange::TargetLink;
use crate::target_exchange::end_to_end_headers;

/// Answers up to this size are read whole before the first byte is passed on, in bytes.
const WHOLE_ANSWER_BYTES: u64 = 256 * 1024;

/// Words of the rest of a prompt that count as one unit of cost.
const BYTES_PER_COST: usize = 64;

/// Time that a target has beyond the deadline before its answer is given up.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// The event that ends the stream of a preempted batch request.
const PREEMPTED_EVENT: &[u8] = b"event: preempted\ndata: {}\n\n";

/// Answers the requests that entries send to the sidecar.
pub(crate) struct SidecarHandler {
    answers: SidecarAnswers,
    link: TargetLink,
    max_body: usize,
    state: Rc<SidecarState>,
}

/// How the target's part of a request ended.
enum TargetEnd {
    /// The whole answer was passed on.
    Answered,
    /// The batch request gave its slot back.
    Preempted,
    /// Nobody waits any more.
    Cancelled,
    /// The target could not be reached, so it got nothing.
    NotReached,
    /// The request was voided before the hand-over.
    Voided,
    /// The target got the request and its answer is not whole; says whether a part was passed on.
    Lost(HttpFault),
}

impl SidecarHandler {
    /// Creates the handler of a sidecar.
    pub fn new(state: Rc<SidecarState>, max_body: usize) -> Self {
        let link = TargetLink::new(state.section.target);
        let answers = SidecarAnswers::new(Rc::clone(&state));
        Self { answers, link, max_body, state }
    }

    /// Queues a request, runs it when its turn comes and answers it.
    async fn serve(
        &self,
        exchange: &mut ServerExchange<'_>,
        labels: &MessageLabels,
        body: Bytes,
    ) -> Result<(), HttpFault> {
        if !labels.repeatable {
            let decision = self.state.log.borrow_mut().admit(
                self.state.clock.now(),
                labels.key,
                labels.attempt,
            );
            if let AdmitDecision::Duplicate(state) = decision {
                return self.answers.answer_duplicate(exchange, labels, state).await;
            }
        }
        self.answers
            .record(EventKind::AttemptQueued, labels, || format!("attempt={}", labels.attempt));
        let queued = Instant::now();
        let cost = 1 + (body.len() / BYTES_PER_COST) as u32;
        let (ticket, mut signals) =
            self.state.enqueue(labels, cost, is_preemptible(&self.state.section, labels));
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
                self.state.metrics.wait.observe(queued.elapsed().as_secs_f64());
                self.run(exchange, labels, body, ticket, &mut signals).await
            }
            Some(TicketSignal::Refuse(reason, after)) => {
                self.answers.refuse(exchange, labels, reason, after).await
            }
            _ => {
                self.answers.refuse_silently(labels);
                Err(HttpFault::Closed)
            }
        };
        self.state.handle(AdmissionEvent::Finished(ticket));
        self.state.release(ticket);
        result
    }

    /// Hands a request to the target and passes the answer on.
    async fn run(
        &self,
        exchange: &mut ServerExchange<'_>,
        labels: &MessageLabels,
        body: Bytes,
        ticket: TicketId,
        signals: &mut UnboundedReceiver<TicketSignal>,
    ) -> Result<(), HttpFault> {
        let request = target_request(exchange, labels, body);
        let end = self.exchange_with_target(exchange, labels, &request, ticket, signals).await;
        let outcome = match &end {
            TargetEnd::Answered => "completed",
            TargetEnd::Preempted => "preempted",
            TargetEnd::Cancelled => "cancelled",
            TargetEnd::NotReached | TargetEnd::Voided => "not_run",
            TargetEnd::Lost(_) => "lost",
        };
        self.answers.count(labels, outcome);
        match end {
            TargetEnd::Answered => {
                self.answers.finish(labels, true);
                Ok(())
            }
            TargetEnd::Preempted => {
                self.answers.record(EventKind::Preempted, labels, String::new);
                Ok(())
            }
            TargetEnd::Cancelled => {
                self.answers.finish(labels, false);
                Err(HttpFault::Closed)
            }
            TargetEnd::NotReached | TargetEnd::Voided => {
                self.answers.refuse(exchange, labels, RefusalReason::TargetDown, None).await
            }
            // A part of the answer has gone out: only a cut connection says that the rest is lost.
            TargetEnd::Lost(fault) if exchange.has_responded() => Err(fault),
            TargetEnd::Lost(fault) => {
                let headers = self.answers.answer_headers(labels, "unknown", fault.reason());
                self.answers
                    .answer_error(exchange, StatusCode::BAD_GATEWAY, &headers, "unknown")
                    .await
            }
        }
    }

    /// Makes the exchange with the target.
    async fn exchange_with_target(
        &self,
        exchange: &mut ServerExchange<'_>,
        labels: &MessageLabels,
        request: &ClientRequest,
        ticket: TicketId,
        signals: &mut UnboundedReceiver<TicketSignal>,
    ) -> TargetEnd {
        let Ok(mut target) = self.link.open(labels.repeatable).await else {
            return TargetEnd::NotReached;
        };
        if !labels.repeatable && !self.state.log.borrow_mut().hand_over(labels.key) {
            return TargetEnd::Voided;
        }
        self.answers.record(EventKind::HandedOver, labels, String::new);
        let patience = labels.deadline + DEADLINE_GRACE;
        let answer = async {
            target.send(request).await?;
            target.read_head(patience).await
        };
        let head = monoio::select! {
            head = answer => head,
            () = exchange.closed() => return TargetEnd::Cancelled,
            signal = signals.recv() => return self.give_back(exchange, labels, signal).await,
        };
        let head = match head {
            Ok(head) => head,
            Err(fault) => return TargetEnd::Lost(fault),
        };
        let end = if is_whole(&head) {
            self.pass_whole(exchange, labels, &mut target, head, ticket).await
        } else {
            self.pass_stream(exchange, labels, &mut target, head, ticket, signals).await
        };
        if matches!(end, TargetEnd::Answered) {
            self.link.close(target);
        }
        end
    }

    /// Passes on an answer of known and moderate length, once it is whole.
    async fn pass_whole(
        &self,
        exchange: &mut ServerExchange<'_>,
        labels: &MessageLabels,
        target: &mut TargetExchange,
        head: ResponseHead,
        ticket: TicketId,
    ) -> TargetEnd {
        let mut body = BytesMut::new();
        loop {
            let piece = monoio::select! {
                piece = target.read_piece() => piece,
                () = exchange.closed() => return TargetEnd::Cancelled,
            };
            match piece {
                Ok(Some(piece)) => body.extend_from_slice(&piece),
                Ok(None) => break,
                Err(fault) => return TargetEnd::Lost(fault),
            }
        }
        self.state.handle(AdmissionEvent::Responded(ticket));
        let headers = self.answers.pass_headers(labels, &head);
        match exchange.respond(head.status, &headers, &body.freeze()).await {
            Ok(()) => TargetEnd::Answered,
            Err(_) => TargetEnd::Cancelled,
        }
    }

    /// Passes on an answer piece by piece.
    async fn pass_stream(
        &self,
        exchange: &mut ServerExchange<'_>,
        labels: &MessageLabels,
        target: &mut TargetExchange,
        head: ResponseHead,
        ticket: TicketId,
        signals: &mut UnboundedReceiver<TicketSignal>,
    ) -> TargetEnd {
        let headers = self.answers.pass_headers(labels, &head);
        if exchange.start_stream(head.status, &headers).await.is_err() {
            return TargetEnd::Cancelled;
        }
        let mut tokens = 0;
        loop {
            let piece = monoio::select! {
                biased;
                signal = signals.recv() => return self.give_back(exchange, labels, signal).await,
                piece = target.read_piece() => piece,
                () = exchange.closed() => return TargetEnd::Cancelled,
            };
            match piece {
                Ok(Some(piece)) => {
                    if tokens == 0 {
                        self.state.handle(AdmissionEvent::Responded(ticket));
                    }
                    tokens += count_events(&piece).max(1);
                    if labels.class == WorkClass::Batch {
                        self.state.handle(AdmissionEvent::Progressed(ticket, tokens));
                    }
                    if exchange.send_piece(&piece).await.is_err() {
                        return TargetEnd::Cancelled;
                    }
                }
                Ok(None) => break,
                Err(fault) => return TargetEnd::Lost(fault),
            }
        }
        match exchange.finish_stream().await {
            Ok(()) => TargetEnd::Answered,
            Err(_) => TargetEnd::Cancelled,
        }
    }

    /// Ends a batch request's answer where it is, so that its entry can continue it later.
    async fn give_back(
        &self,
        exchange: &mut ServerExchange<'_>,
        labels: &MessageLabels,
        signal: Option<TicketSignal>,
    ) -> TargetEnd {
        if signal != Some(TicketSignal::Preempt) {
            return TargetEnd::Cancelled;
        }
        if !exchange.has_responded() {
            let headers =
                self.answers.answer_headers(labels, "not_run", RefusalReason::NoSlack.as_str());
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return match self.answers.answer_error(exchange, status, &headers, "not_run").await {
                Ok(()) => TargetEnd::Preempted,
                Err(_) => TargetEnd::Cancelled,
            };
        }
        let sent = exchange.send_piece(&Bytes::from_static(PREEMPTED_EVENT)).await;
        if sent.is_ok() && exchange.finish_stream().await.is_ok() {
            TargetEnd::Preempted
        } else {
            TargetEnd::Cancelled
        }
    }

    /// Answers the paths that are about the sidecar itself.
    async fn serve_own(
        &self,
        exchange: &mut ServerExchange<'_>,
        path: &str,
    ) -> Result<(), HttpFault> {
        let empty = HeaderMap::new();
        match path {
            "/-/metrics" => {
                let text = self.state.metrics.render(&self.state.reading());
                exchange.respond(StatusCode::OK, &empty, &Bytes::from(text)).await
            }
            "/-/ready" if !self.state.target_up.get() || self.state.is_leaving() => {
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
            return self.serve_own(exchange, &path).await;
        }
        let labels = MessageLabels::read(exchange);
        if let Some(clock) = labels.clock {
            self.state.events.observe(clock);
        }
        let known = exchange.header(headers::SECRET).unwrap_or_default() == self.state.secret;
        let body = exchange.read_body(self.max_body).await?;
        if !known {
            let headers = self.answers.answer_headers(&labels, "not_run", "not_authorised");
            return self
                .answers
                .answer_error(exchange, StatusCode::FORBIDDEN, &headers, "not_run")
                .await;
        }
        if !self.state.target_up.get() {
            return self.answers.refuse(exchange, &labels, RefusalReason::TargetDown, None).await;
        }
        // An owner that was paused past its lease may wake in the middle of a hand-over.
        if labels.not_after_ms.is_some_and(|limit| self.state.clock.wall_millis() > limit) {
            return self.answers.refuse(exchange, &labels, RefusalReason::LeaseOver, None).await;
        }
        self.state.enter(labels.key);
        let result = self.serve(exchange, &labels, body).await;
        self.state.leave(labels.key);
        result
    }
}

/// Makes the request that the target gets.
fn target_request(
    exchange: &ServerExchange<'_>,
    labels: &MessageLabels,
    body: Bytes,
) -> ClientRequest {
    let head = exchange.head();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = ClientRequest::new(head.method.clone(), path, body);
    request.headers = end_to_end_headers(&head.headers);
    put(&mut request.headers, headers::REQUEST_ID, &labels.request_id);
    request
}

/// Tells whether a request may give its slot back: a batch stream of a model can be continued.
fn is_preemptible(section: &SidecarSection, labels: &MessageLabels) -> bool {
    let model = section.kind == cv_policy::config::ServiceKind::Model;
    labels.class == WorkClass::Batch && labels.repeatable && model
}

/// Tells whether an answer is short enough to be read whole before it is passed on.
fn is_whole(head: &ResponseHead) -> bool {
    let length = head.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length
        .and_then(|text| text.parse::<u64>().ok())
        .is_some_and(|bytes| bytes <= WHOLE_ANSWER_BYTES)
}

/// Counts the events that end in a piece of a stream; each carries one token.
fn count_events(piece: &[u8]) -> u32 {
    piece.windows(2).filter(|window| *window == b"\n\n").count() as u32
}
