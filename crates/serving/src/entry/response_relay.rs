//! Relays a target's response to the caller, across several attempts if a stream can be resumed.

use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use cv_dispatch::EventParser;
use cv_dispatch::RouteKind;
use cv_http::ClientConnection;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use http::HeaderMap;
use http::StatusCode;
use monoio::time::timeout;

use crate::entry::long_bodies::LongBodies;

/// Time without a complete event after which a stream is continued on another target.
const EVENT_TIMEOUT: Duration = Duration::from_millis(800);

/// How the relay of one attempt's response ended.
pub(crate) enum RelayOutcome {
    /// The caller has the complete response; the connection can be reused.
    Complete(Box<ClientConnection>),
    /// The caller went away.
    CallerGone,
    /// The response ended early or timed out; holds the reason.
    Interrupted(String),
}

/// Relays one caller's response and tracks how much of it has been sent.
pub(crate) struct ResponseRelay<'a> {
    /// When the first part of the response was sent to the caller.
    first_sent_at: Option<Instant>,
    kind: RouteKind,
    /// Number of the last event that has been sent to the caller.
    last_event: Option<u64>,
    has_started: bool,
    /// Buffers responses that are not streamed.
    long_bodies: &'a LongBodies,
    /// Whether an event without a number has been sent, after which the stream cannot be resumed.
    has_unnumbered_event: bool,
}

impl<'a> ResponseRelay<'a> {
    /// Creates a relay for a caller that has received a stream up to and including `last_event`.
    pub fn new(kind: RouteKind, last_event: Option<u64>, long_bodies: &'a LongBodies) -> Self {
        Self {
            first_sent_at: None,
            kind,
            last_event,
            has_started: false,
            long_bodies,
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
        let body = monoio::select! {
            body = timeout(time_left, self.long_bodies.read(&mut connection)) => body,
            () = exchange.closed() => return Ok(RelayOutcome::CallerGone),
        };
        match body {
            Ok(Ok(body)) => {
                self.has_started = true;
                self.first_sent_at = Some(Instant::now());
                exchange.respond(status, headers, &body).await?;
                Ok(RelayOutcome::Complete(Box::new(connection)))
            }
            Ok(Err(fault)) => Ok(RelayOutcome::Interrupted(fault.to_string())),
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
                    if self.send_events(exchange, &mut parser).await? > 0 {
                        event_due = Instant::now() + EVENT_TIMEOUT;
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
                Ok(Err(fault)) => return Ok(RelayOutcome::Interrupted(fault.to_string())),
                Err(_) => {
                    return Ok(RelayOutcome::Interrupted("event stream timed out".to_owned()));
                }
            }
        }
    }

    /// Sends all complete events that have arrived to the caller; returns how many had an id or data.
    async fn send_events(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        parser: &mut EventParser,
    ) -> Result<u32, HttpFault> {
        let mut bytes = BytesMut::new();
        let mut events = 0;
        while let Some(event) = parser.next_event() {
            self.has_unnumbered_event |= event.id.is_none();
            self.last_event = event.id.or(self.last_event);
            bytes.extend_from_slice(&event.raw);
            // Blank lines without end are no progress.
            events += u32::from(!event.is_blank());
        }
        if events > 0 {
            self.first_sent_at.get_or_insert_with(Instant::now);
        }
        exchange.send_piece(&bytes.freeze()).await?;
        Ok(events)
    }
}
