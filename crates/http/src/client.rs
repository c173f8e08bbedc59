//! The client side of a connection.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::EXPECT;
use http::response::Parts as ResponseHead;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::time::timeout;

use crate::BodyFraming;
use crate::ConnectionUse;
use crate::HttpFault;
use crate::HttpLimits;
use crate::HttpReader;
use crate::HttpWriter;
use crate::carried_ids::CarriedIds;
use crate::limits::KEEP_ALIVE_IDLE;
use crate::limits::KEEP_ALIVE_INTERVAL;
use crate::limits::KEEP_ALIVE_PROBES;
use crate::stream_tail::StreamTail;

/// Interim responses before a final one; a sidecar sends one a second while an item waits.
const MAX_INTERIM_RESPONSES: u32 = 300;

/// Longest time in which a busy process reads a response that has arrived.
const MAX_READ_DELAY: Duration = Duration::from_millis(500);

/// Number of the next connection of this process.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// A request to send, with its whole body.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The body; its length is sent as `Content-Length`.
    pub body: Bytes,
    /// Header fields, without those that declare the length of the body.
    pub headers: HeaderMap,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
}

impl ClientRequest {
    /// Creates a request without headers.
    pub fn new(method: Method, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { body: body.into(), headers: HeaderMap::new(), method, path: path.into() }
    }

    /// Sets a header; a value that is not printable ASCII is ignored.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = http::HeaderValue::from_str(value) {
            self.headers.insert(name, value);
        }
        self
    }
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The body.
    pub body: Bytes,
    /// Header fields.
    pub headers: HeaderMap,
    /// The status.
    pub status: StatusCode,
}

/// How far a request was sent before it failed.
#[derive(Debug)]
pub enum SendFault {
    /// No byte of the body was sent.
    BeforeBody(HttpFault),
    /// Part of the body or all of it may have been sent.
    BodyStarted(HttpFault),
}

/// One connection to a server.
pub struct ClientConnection {
    address: SocketAddr,
    /// Ids of the requests that were sent on this connection.
    carried: CarriedIds,
    /// Head of a final response that arrived instead of `100 Continue`.
    early_head: Option<ResponseHead>,
    framing: BodyFraming,
    /// The last bytes of an event stream that ends with its connection; `None` for other bodies.
    stream_tail: Option<StreamTail>,
    /// Idle timeout that the server announced, if it did.
    keep_alive_timeout: Option<Duration>,
    /// Which request of which connection this is.
    connection_use: ConnectionUse,
    reader: HttpReader<OwnedReadHalf<TcpStream>>,
    /// Whether the connection is closed after its current exchange, however that ends.
    retired: bool,
    reusable: bool,
    writer: HttpWriter<OwnedWriteHalf<TcpStream>>,
}

impl ClientConnection {
    /// Connects to a server within `connect_timeout`.
    ///
    /// # Errors
    /// Fails if the peer refuses or does not respond in time; no byte of a request has been sent
    /// then.
    pub async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
        limits: HttpLimits,
    ) -> Result<Self, HttpFault> {
        let stream = match timeout(connect_timeout, TcpStream::connect_addr(address)).await {
            Err(_) => return Err(HttpFault::TimedOut("connect")),
            Ok(result) => result?,
        };
        // Nagle's algorithm would hold small requests back until earlier data is acknowledged.
        let _ = stream.set_nodelay(true);
        // Without probes, the loss of a connection whose peer went silent is never detected.
        let _ = stream.set_tcp_keepalive(
            Some(KEEP_ALIVE_IDLE),
            Some(KEEP_ALIVE_INTERVAL),
            Some(KEEP_ALIVE_PROBES),
        );
        let (read_half, write_half) = stream.into_split();
        Ok(Self {
            address,
            carried: CarriedIds::default(),
            early_head: None,
            framing: BodyFraming::Empty,
            stream_tail: None,
            keep_alive_timeout: None,
            connection_use: ConnectionUse::new(NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed)),
            reader: HttpReader::new(read_half, limits),
            retired: false,
            reusable: true,
            writer: HttpWriter::new(write_half, limits.write_timeout),
        })
    }

    /// Sends a request.
    ///
    /// # Errors
    /// Fails if the connection does; the server may have received the request nevertheless. Nothing may be
    /// read from the connection then: the error has taken the reset with it, and what follows looks like
    /// an orderly end.
    pub async fn send(&mut self, request: &ClientRequest) -> Result<(), HttpFault> {
        self.reusable = false;
        let ClientRequest { body, headers, method, path } = request;
        self.writer.write_request(method, path, headers, body).await
    }

    /// Sends a request's head with `Expect: 100-continue`, and its body once the server responds
    /// with `100 Continue`, which it must do within `continue_timeout`.
    ///
    /// The server cannot act on the request before the body is sent, however long it holds the
    /// head. If it sends a final response instead, the body stays unsent and
    /// [`Self::read_head`] returns that response.
    ///
    /// # Errors
    /// The error says whether part of the body may have been sent.
    pub async fn send_expecting_continue(
        &mut self,
        request: &ClientRequest,
        continue_timeout: Duration,
    ) -> Result<(), SendFault> {
        self.reusable = false;
        let ClientRequest { body, headers, method, path } = request;
        let mut headers = headers.clone();
        headers.insert(EXPECT, HeaderValue::from_static("100-continue"));
        let started = Instant::now();
        let sent = self.writer.write_request_head(method, path, &headers, body.len()).await;
        sent.map_err(SendFault::BeforeBody)?;
        let head = self.reader.read_response_head(continue_timeout).await;
        let head = head.map_err(SendFault::BeforeBody)?;
        if head.status == StatusCode::CONTINUE {
            // A response that arrived in time is read late only by a process that was stopped.
            if started.elapsed() > continue_timeout + MAX_READ_DELAY {
                return Err(SendFault::BeforeBody(HttpFault::TimedOut("continue")));
            }
            return self.writer.write_body(body).await.map_err(SendFault::BodyStarted);
        }
        self.early_head = Some(head);
        Ok(())
    }

    /// Reads the head of the final response to a request with `method`. It, and each interim response
    /// before it, must arrive within `response_timeout` after the one before.
    ///
    /// # Errors
    /// Fails if the connection does; `TimedOut` if no response begins in time.
    pub async fn read_head(
        &mut self,
        method: &Method,
        response_timeout: Duration,
    ) -> Result<ResponseHead, HttpFault> {
        let early = self.early_head.take();
        let is_early = early.is_some();
        let mut head = match early {
            Some(head) => head,
            None => self.reader.read_response_head(response_timeout).await?,
        };
        let mut interim_responses = 0;
        while head.status.is_informational() {
            interim_responses += 1;
            if interim_responses > MAX_INTERIM_RESPONSES {
                return Err(HttpFault::Malformed("too many interim responses"));
            }
            head = self.reader.read_response_head(response_timeout).await?;
        }
        self.framing = BodyFraming::of_response(method, head.status, &head.headers)?;
        let ends_with_connection = matches!(self.framing, BodyFraming::UntilClose);
        let is_unframed_stream = ends_with_connection && is_event_stream(&head.headers);
        self.stream_tail = is_unframed_stream.then(StreamTail::default);
        let closes = ends_with_connection
            || head.headers.get(CONNECTION).is_some_and(|value| value == "close");
        // After an early response the server still waits for the body.
        self.reusable = !closes && !is_early;
        self.keep_alive_timeout = parse_keep_alive_timeout(&head.headers);
        Ok(head)
    }

    /// Reads and discards the rest of a response that belongs to another request.
    ///
    /// # Errors
    /// Fails if the connection does; `BodyTooLarge` over `limit` bytes.
    pub async fn skip_response(&mut self, limit: usize) -> Result<(), HttpFault> {
        self.reader.read_body(&mut self.framing, limit).await.map(|_| ())
    }

    /// Returns which request of which connection was recorded last.
    #[must_use]
    pub fn connection_use(&self) -> ConnectionUse {
        self.connection_use
    }

    /// Returns the address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes of the response body that are left to read, if it is declared.
    #[must_use]
    pub fn declared_length(&self) -> Option<u64> {
        self.framing.declared_length()
    }

    /// Returns the time for which the server announced that it keeps an idle connection.
    #[must_use]
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        self.keep_alive_timeout
    }

    /// Returns whether nothing, not even the end of the stream, has arrived since the last
    /// response.
    ///
    /// Bytes that arrive between two exchanges belong to no request, so the connection is unusable.
    pub fn is_idle(&mut self) -> bool {
        self.reader.is_idle()
    }

    /// Reads the next piece of the response body, or `None` at its end.
    ///
    /// # Errors
    /// `Truncated` if the connection ended first. An event stream that ends with its connection is
    /// whole only if it ends with an event.
    pub async fn read_piece(&mut self) -> Result<Option<Bytes>, HttpFault> {
        let mut result = self.reader.read_piece(&mut self.framing).await;
        if let Some(tail) = &mut self.stream_tail {
            match &result {
                Ok(Some(piece)) => tail.push(piece),
                Ok(None) if !tail.ends_event() => result = Err(HttpFault::Truncated),
                _ => {}
            }
        }
        if result.is_err() {
            self.reusable = false;
        }
        result
    }

    /// Sends a request and reads the whole response, whose body has at most `limit` bytes.
    ///
    /// # Errors
    /// Fails if the connection does; `BodyTooLarge` over `limit` bytes.
    pub async fn exchange(
        &mut self,
        request: &ClientRequest,
        response_timeout: Duration,
        limit: usize,
    ) -> Result<ClientResponse, HttpFault> {
        self.send(request).await?;
        self.read_response(&request.method, response_timeout, limit).await
    }

    /// Reads the whole response to a request with `method`, which must begin within
    /// `response_timeout` and whose body has at most `limit` bytes.
    ///
    /// # Errors
    /// Fails if the connection does; `BodyTooLarge` over `limit` bytes.
    pub async fn read_response(
        &mut self,
        method: &Method,
        response_timeout: Duration,
        limit: usize,
    ) -> Result<ClientResponse, HttpFault> {
        let head = self.read_head(method, response_timeout).await?;
        let body = self.reader.read_body(&mut self.framing, limit).await;
        if body.is_err() {
            self.reusable = false;
        }
        Ok(ClientResponse { body: body?, headers: head.headers, status: head.status })
    }

    /// Records the request that is sent next. A faulty server may repeat any response on this
    /// connection, and only the request's id tells the copy from a later response. So a request goes
    /// out here at most once, and one without an id is the last.
    pub(crate) fn record_request(&mut self, request_id: Option<&str>) {
        self.connection_use.begin_request();
        match request_id {
            Some(id) => self.carried.insert(id),
            None => self.retire(),
        }
    }

    /// Returns whether a request with this id may have been sent on this connection.
    pub(crate) fn has_carried(&self, request_id: &str) -> bool {
        self.carried.contains(request_id)
    }

    /// Closes the connection after its current exchange.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Returns whether another request may be sent.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.reusable && !self.retired && self.framing.is_finished() && !self.carried.is_full()
    }
}

/// Returns whether a response is a stream of events.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(CONTENT_TYPE).map_or(&b""[..], HeaderValue::as_bytes);
    value.to_ascii_lowercase().starts_with(b"text/event-stream")
}

/// Parses the `timeout` parameter, in seconds, of a `Keep-Alive` header.
fn parse_keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
