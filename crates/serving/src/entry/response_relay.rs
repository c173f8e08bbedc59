//! Relays a target's answer to the caller, over several runs where a stream may be resumed.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use cv_dispatch::EventParser;
use cv_dispatch::RouteKind;
use cv_dispatch::RouteRule;
use cv_http::ClientConnection;
use cv_http::HttpFault;
use cv_http::ServerExchange;
use http::HeaderMap;
use http::StatusCode;
use monoio::time::timeout;

/// Longest whole answer, in bytes.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Silence within a resumable stream after which it is continued elsewhere.
const EVENT_PATIENCE: Duration = Duration::from_millis(800);

/// How the relay of one run ended.
pub(crate) enum RelayEnd {
    /// The caller has the whole answer; the connection may be used again.
    Whole(Box<ClientConnection>),
    /// The caller went away.
    CallerGone,
    /// The run broke off or fell silent.
    Broken(String),
}

/// What the caller has of its answer.
pub(crate) struct ResponseRelay {
    /// When the first part of the answer went to the caller.
    first_at: Option<Instant>,
    kind: RouteKind,
    last_event: Option<u64>,
    started: bool,
    /// Whether bytes were passed on that are not whole events.
    unframed: bool,
}

impl ResponseRelay {
    /// Creates a relay for a caller that has a stream up to the given event.
    pub fn new(kind: RouteKind, last_event: Option<u64>) -> Self {
        Self { first_at: None, kind, last_event, started: false, unframed: false }
    }

    /// Tells whether the head of an answer has been sent.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Returns when the first part of the answer went to the caller.
    pub fn first_at(&self) -> Option<Instant> {
        self.first_at
    }

    /// Tells whether another run can go on where this one ended.
    pub fn can_resume(&self) -> bool {
        !self.unframed
    }

    /// Returns the number of the last event that the caller has.
    pub fn resume_after(&self) -> Option<u64> {
        self.last_event
    }

    /// Relays one run's answer.
    ///
    /// # Errors
    /// Faults of the caller's connection.
    pub async fn relay(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        connection: ClientConnection,
        status: StatusCode,
        headers: &HeaderMap,
        left: Duration,
        route: &RouteRule,
    ) -> Result<RelayEnd, HttpFault> {
        if self.kind == RouteKind::Streaming && status.is_success() {
            self.relay_stream(exchange, connection, status, headers, left, route).await
        } else {
            self.relay_whole(exchange, connection, status, headers, left).await
        }
    }

    /// Reads a whole answer and passes it on.
    async fn relay_whole(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        mut connection: ClientConnection,
        status: StatusCode,
        headers: &HeaderMap,
        left: Duration,
    ) -> Result<RelayEnd, HttpFault> {
        let body = monoio::select! {
            body = timeout(left, read_whole(&mut connection)) => body,
            () = exchange.closed() => return Ok(RelayEnd::CallerGone),
        };
        match body {
            Ok(Ok(body)) => {
                self.started = true;
                self.first_at = Some(Instant::now());
                exchange.respond(status, headers, &body).await?;
                Ok(RelayEnd::Whole(Box::new(connection)))
            }
            Ok(Err(fault)) => Ok(RelayEnd::Broken(fault.to_string())),
            Err(_) => Ok(RelayEnd::Broken("body late".to_owned())),
        }
    }

    /// Passes a stream's whole events on as they arrive.
    async fn relay_stream(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        mut connection: ClientConnection,
        status: StatusCode,
        headers: &HeaderMap,
        left: Duration,
        route: &RouteRule,
    ) -> Result<RelayEnd, HttpFault> {
        let deadline = Instant::now() + left;
        if !self.started {
            exchange.start_stream(status, headers).await?;
            self.started = true;
        }
        let mut splitter = EventParser::default();
        loop {
            let rest = deadline.saturating_duration_since(Instant::now());
            let patience = if route.resumable { rest.min(EVENT_PATIENCE) } else { rest };
            let piece = monoio::select! {
                piece = timeout(patience, connection.read_piece()) => piece,
                () = exchange.closed() => return Ok(RelayEnd::CallerGone),
            };
            match piece {
                Ok(Ok(Some(piece))) => {
                    splitter.push(&piece);
                    self.pass_events(exchange, &mut splitter).await?;
                }
                Ok(Ok(None)) if splitter.has_rest() => {
                    return Ok(RelayEnd::Broken("stream ends within an event".to_owned()));
                }
                Ok(Ok(None)) => {
                    exchange.finish_stream().await?;
                    return Ok(RelayEnd::Whole(Box::new(connection)));
                }
                Ok(Err(fault)) => return Ok(RelayEnd::Broken(fault.to_string())),
                Err(_) => return Ok(RelayEnd::Broken("stream silent".to_owned())),
            }
        }
    }

    /// Passes on all whole events that have arrived.
    async fn pass_events(
        &mut self,
        exchange: &mut ServerExchange<'_>,
        splitter: &mut EventParser,
    ) -> Result<(), HttpFault> {
        let mut bytes = BytesMut::new();
        while let Some(event) = splitter.next_event() {
            self.unframed |= event.id.is_none();
            self.last_event = event.id.or(self.last_event);
            bytes.extend_from_slice(&event.raw);
        }
        if !bytes.is_empty() {
            self.first_at.get_or_insert_with(Instant::now);
        }
        exchange.send_piece(&bytes.freeze()).await
    }
}

/// Reads a whole body of bounded size.
async fn read_whole(connection: &mut ClientConnection) -> Result<Bytes, HttpFault> {
    let mut body = BytesMut::new();
    while let Some(piece) = connection.read_piece().await? {
        if body.len() + piece.len() > ANSWER_BYTES {
            return Err(HttpFault::BodyTooLarge);
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}
