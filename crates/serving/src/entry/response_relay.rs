//! Relays a target's response to the caller, across several attempts if a stream can be resumed.

use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use cv_dispatch::EventParser;
use cv_dispatch::RouteKind;
use cv_dispatch::StreamEvent;
use cv_http::ClientConnection;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use http::HeaderMap;
use http::StatusCode;
use monoio::time::timeout;

use crate::entry::long_bodies::LongBodies;
use crate::entry::request_context::RequestContext;
use crate::target_call::breaks_off;

/// Time without a complete event after which a stream is continued on another target.
const EVENT_TIMEOUT: Duration = Duration::from_millis(800);

/// How the relay of one attempt's response ended.
pub(crate) enum RelayOutcome {
    /// The caller has the complete response; the connection can be reused.
    Complete(Box<ClientConnection>),
    /// The caller went away.
    CallerGone,
    /// The target broke the response off; holds the reason.
    Broken(String),
    /// The response timed out or is not as agreed; holds the reason.
    Interrupted(String),
}

impl RelayOutcome {
    /// Creates the outcome of a fault on the connection to the target.
    fn from_fault(fault: &HttpFault) -> Self {
        let detail = fault.to_string();
        if breaks_off(fault) { Self::Broken(detail) } else { Self::Interrupted(detail) }
    }
}

/// Relays one caller's response and tracks how much of it has been sent.
pub(crate) struct ResponseRelay<'a> {
    /// When the first part of the response was sent to the caller.
    first_sent_at: Option<Instant>,
    kind: RouteKind,
    /// Whether another target can resume the stream, for which all events need numbers.
    is_resumable: bool,
    /// Number of the last event that has been sent to the caller.
    last_event: Option<u64>,
    has_started: bool,
    /// Buffers responses that are not streamed.
    long_bodies: &'a LongBodies,
    /// Most events that a response can have, if that is known.
    max_events: Option<u64>,
    /// Events that have been sent to the caller.
    sent_events: u64,
    /// Whether an event without a number has been sent, after which the stream cannot be resumed.
    has_unnumbered_event: bool,
}

impl<'a> ResponseRelay<'a> {
    /// Creates the relay of a request's response. The caller may have received the beginning of a
    /// stream already.
    pub fn new<P>(request: &RequestContext<'a, P>) -> Self {
        let RequestContext { handler, options, route, .. } = request;
        Self {
            first_sent_at: None,
            kind: route.kind,
            is_resumable: route.resumable,
            last_event: options.resume_after,
            has_started: false,
            long_bodies: &handler.long_bodies,
            max_events: options.max_events,
            sent_events: 0,
            has_unnumbered_event: false,
        }
    }

    /// Returns whether the head of a response has been sent.
    pub fn has_started(&self) -> bool {
        self.has_started
    }

    /// Returns when the first part of the response was sent to the caller.
    pub fn first_sent_at(&self) -> Option<Instant> {
        self.first_sent_at
    }

    /// Returns whether another attempt can resume the stream.
    pub fn can_resume(&self) -> bool {
        !self.has_unnumbered_event
    }

    /// Returns the number of the last event that has been sent to the caller.
    pub fn resume_after(&self) -> Option<u64> {
        self.last_event
    }

    /// Relays the response of one attempt, for at most `time_left`. `may_continue` tells whether
    /// another attempt may continue a stream that stalls.
    ///
    /// # Errors
    /// Faults of the caller's connection.
    pub async fn relay(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        connection: ClientConnection,
        status: StatusCode,
        headers: &HeaderMap,
        time_left: Duration,
        may_continue: bool,
    ) -> Result<RelayOutcome, HttpFault> {
        // A response that has begun is a stream, whatever follows.
        if self.has_started || self.kind == RouteKind::Streaming && status.is_success() {
            self.relay_stream(exchange, connection, status, headers, time_left, may_continue).await
        } else {
            self.relay_complete(exchange, connection, status, headers, time_left).await
        }
    }

    /// Reads a complete response, then sends it to the caller.
    async fn relay_complete(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        mut connection: ClientConnection,
        status: StatusCode,
        headers: &HeaderMap,
        time_left: Duration,
    ) -> Result<RelayOutcome, HttpFault> {
        let hold = exchange.response_hold();
        let body = monoio::select! {
            body = timeout(time_left, self.long_bodies.read(&mut connection, &hold)) => body,
            () = exchange.closed() => return Ok(RelayOutcome::CallerGone),
        };
        match body {
            Ok(Ok(body)) => {
                self.has_started = true;
                self.first_sent_at = Some(Instant::now());
                exchange.respond(status, headers, &body).await?;
                Ok(RelayOutcome::Complete(Box::new(connection)))
            }
            Ok(Err(fault)) => Ok(RelayOutcome::from_fault(&fault)),
            Err(_) => Ok(RelayOutcome::Interrupted("response body timed out".to_owned())),
        }
    }

    /// Sends a stream's complete events to the caller as they arrive.
    async fn relay_stream(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        mut connection: ClientConnection,
        status: StatusCode,
        headers: &HeaderMap,
        time_left: Duration,
        may_continue: bool,
    ) -> Result<RelayOutcome, HttpFault> {
        let deadline = Instant::now() + time_left;
        if !self.has_started {
            exchange.start_stream(status, headers).await?;
            self.has_started = true;
        }
        let mut parser = EventParser::default();
        let mut event_due = Instant::now() + EVENT_TIMEOUT;
        loop {
            // Bytes that complete no event do not count as progress.
            let due = if may_continue { deadline.min(event_due) } else { deadline };
            let event_timeout = due.saturating_duration_since(Instant::now());
            let piece = monoio::select! {
                piece = timeout(event_timeout, connection.read_piece()) => piece,
                () = exchange.closed() => return Ok(RelayOutcome::CallerGone),
            };
            match piece {
                Ok(Ok(Some(piece))) => {
                    parser.push(&piece);
                    match self.send_events(exchange, &mut parser).await? {
                        Ok(0) => {}
                        Ok(_) => event_due = Instant::now() + EVENT_TIMEOUT,
                        Err(detail) => return Ok(RelayOutcome::Interrupted(detail.to_owned())),
                    }
                    if parser.is_oversized() {
                        return Ok(RelayOutcome::Interrupted("event too large".to_owned()));
                    }
                }
                Ok(Ok(None)) if parser.has_partial_event() => {
                    return Ok(RelayOutcome::Interrupted(
                        "stream ended within an event".to_owned(),
                    ));
                }
                Ok(Ok(None)) => {
                    exchange.finish_stream().await?;
                    return Ok(RelayOutcome::Complete(Box::new(connection)));
                }
                Ok(Err(fault)) => return Ok(RelayOutcome::from_fault(&fault)),
                Err(_) => {
                    return Ok(RelayOutcome::Interrupted("event stream timed out".to_owned()));
                }
            }
        }
    }

    /// Sends all complete events that have arrived to the caller; returns how many had an id or data,
    /// or why one cannot belong to the stream.
    async fn send_events(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        parser: &mut EventParser,
    ) -> Result<Result<u64, &'static str>, HttpFault> {
        let mut bytes = BytesMut::new();
        let sent_before = self.sent_events;
        let mut result = Ok(());
        while let Some(event) = parser.next_event() {
            result = self.check_event(&event);
            if result.is_err() || parser.is_oversized() {
                break;
            }
            self.has_unnumbered_event |= event.id.is_none();
            self.last_event = event.id.or(self.last_event);
            bytes.extend_from_slice(&event.raw);
            // Blank lines without end are no progress.
            self.sent_events += u64::from(!event.is_blank());
        }
        let events = self.sent_events - sent_before;
        if events > 0 {
            self.first_sent_at.get_or_insert_with(Instant::now);
        }
        exchange.send_piece(&bytes.freeze()).await?;
        Ok(result.map(|()| events))
    }

    /// Checks that an event can be the next one of the stream.
    fn check_event(&self, event: &StreamEvent) -> Result<(), &'static str> {
        if event.is_blank() {
            return Ok(());
        }
        if self.max_events.is_some_and(|limit| self.sent_events >= limit) {
            return Err("more events than the request allows");
        }
        match event.id {
            None if self.is_resumable => Err("event without a number"),
            Some(number) if self.last_event.is_some_and(|last| number <= last) => {
                Err("event number does not increase")
            }
            _ => Ok(()),
        }
    }
}
