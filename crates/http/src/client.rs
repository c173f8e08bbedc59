//! A client's side of a connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::EXPECT;
use http::response::Parts as ResponseHead;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::time::timeout;

use crate::BodyFraming;
use crate::HttpFault;
use crate::HttpLimits;
use crate::HttpReader;
use crate::HttpWriter;
use crate::limits::PROBE_IDLE;
use crate::limits::PROBE_INTERVAL;
use crate::limits::PROBES;

/// A request to send, with its whole body.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The body; its length frames it.
    pub body: Bytes,
    /// Header fields, without those that frame the body.
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

    /// Adds a header; a value that is not printable ASCII is left out.
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

/// Why a request could not be sent.
#[derive(Debug)]
pub enum SendFault {
    /// No byte of the body was sent.
    BeforeBody(HttpFault),
    /// The body was sent in part, or as a whole.
    BodyStarted(HttpFault),
}

/// One connection to a server.
pub struct ClientConnection {
    /// Head of a final answer that came instead of the invitation to send a body.
    early_head: Option<ResponseHead>,
    framing: BodyFraming,
    /// Time for which the server promises to keep the connection, if it says so.
    keep_alive: Option<Duration>,
    reader: HttpReader<OwnedReadHalf<TcpStream>>,
    reusable: bool,
    writer: HttpWriter<OwnedWriteHalf<TcpStream>>,
}

impl ClientConnection {
    /// Connects within `patience`.
    ///
    /// # Errors
    /// Fails if the peer refuses or does not answer in time; no request byte has been sent then.
    pub async fn connect(
        address: SocketAddr,
        patience: Duration,
        limits: HttpLimits,
    ) -> Result<Self, HttpFault> {
        let stream = match timeout(patience, TcpStream::connect_addr(address)).await {
            Err(_) => return Err(HttpFault::TimedOut("connect")),
            Ok(result) => result?,
        };
        // Without it, small requests wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        // Without probes, a connection that went silent is never found out.
        let _ = stream.set_tcp_keepalive(Some(PROBE_IDLE), Some(PROBE_INTERVAL), Some(PROBES));
        let (read_half, write_half) = stream.into_split();
        Ok(Self {
            early_head: None,
            framing: BodyFraming::Empty,
            keep_alive: None,
            reader: HttpReader::new(read_half, limits),
            reusable: true,
            writer: HttpWriter::new(write_half, limits.write_timeout),
        })
    }

    /// Sends a request.
    ///
    /// # Errors
    /// Faults of the connection; the server may have received the request all the same.
    pub async fn send(&mut self, request: &ClientRequest) -> Result<(), HttpFault> {
        self.reusable = false;
        let ClientRequest { body, headers, method, path } = request;
        self.writer.write_request(method, path, headers, body).await
    }

    /// Sends a request's head and, once the server invites it within `patience`, the body.
    ///
    /// Until the body has been sent, the server cannot have acted on the request, however long it
    /// holds the head.
    ///
    /// # Errors
    /// Tells whether part of the body may have been sent.
    pub async fn send_expecting_continue(
        &mut self,
        request: &ClientRequest,
        patience: Duration,
    ) -> Result<(), SendFault> {
        self.reusable = false;
        let ClientRequest { body, headers, method, path } = request;
        let mut headers = headers.clone();
        headers.insert(EXPECT, HeaderValue::from_static("100-continue"));
        let sent = self.writer.write_request_head(method, path, &headers, body.len()).await;
        sent.map_err(SendFault::BeforeBody)?;
        let head = self.reader.read_response_head(patience).await;
        let head = head.map_err(SendFault::BeforeBody)?;
        if head.status == StatusCode::CONTINUE {
            return self.writer.write_body(body).await.map_err(SendFault::BodyStarted);
        }
        self.early_head = Some(head);
        Ok(())
    }

    /// Reads the head of the response to a request with `method`, which begins within `patience`.
    ///
    /// # Errors
    /// Faults of the connection, `TimedOut` among them.
    pub async fn read_head(
        &mut self,
        method: &Method,
        patience: Duration,
    ) -> Result<ResponseHead, HttpFault> {
        let early = self.early_head.take();
        let is_early = early.is_some();
        let mut head = match early {
            Some(head) => head,
            None => self.reader.read_response_head(patience).await?,
        };
        while head.status.is_informational() {
            head = self.reader.read_response_head(patience).await?;
        }
        self.framing = BodyFraming::of_response(method, head.status, &head.headers)?;
        let closes = matches!(self.framing, BodyFraming::UntilClose)
            || head.headers.get(CONNECTION).is_some_and(|value| value == "close");
        // After an early answer the server still waits for the body.
        self.reusable = !closes && !is_early;
        self.keep_alive = promised_idle(&head.headers);
        Ok(head)
    }

    /// Reads and drops the rest of a response that answers another request.
    ///
    /// # Errors
    /// Faults of the connection; `BodyTooLarge` over `limit` bytes.
    pub async fn skip_response(&mut self, limit: usize) -> Result<(), HttpFault> {
        self.reader.read_body(&mut self.framing, limit).await.map(|_| ())
    }

    /// Returns the time for which the server promised to keep an idle connection.
    #[must_use]
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        self.keep_alive
    }

    /// Tells whether the server has sent nothing, not even its end, since the last response.
    ///
    /// Bytes that arrive between two exchanges belong to no request.
    pub fn is_idle(&mut self) -> bool {
        self.reader.is_idle()
    }

    /// Reads the next piece of the response, or `None` at its end.
    ///
    /// # Errors
    /// `Truncated` if the connection ended first.
    pub async fn read_piece(&mut self) -> Result<Option<Bytes>, HttpFault> {
        let result = self.reader.read_piece(&mut self.framing).await;
        if result.is_err() {
            self.reusable = false;
        }
        result
    }

    /// Sends a request and reads the whole response of at most `limit` bytes.
    ///
    /// # Errors
    /// Faults of the connection; `BodyTooLarge` over the limit.
    pub async fn exchange(
        &mut self,
        request: &ClientRequest,
        patience: Duration,
        limit: usize,
    ) -> Result<ClientResponse, HttpFault> {
        self.send(request).await?;
        let head = self.read_head(&request.method, patience).await?;
        let body = self.reader.read_body(&mut self.framing, limit).await;
        if body.is_err() {
            self.reusable = false;
        }
        Ok(ClientResponse { body: body?, headers: head.headers, status: head.status })
    }

    /// Tells whether another request may be sent.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.reusable && self.framing.is_finished()
    }
}

/// Reads the `timeout` parameter of a `Keep-Alive` header.
fn promised_idle(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut words = value.split(',').map(str::trim);
    let seconds = words.find_map(|word| word.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
