//! One request and its response on the server side.

use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONNECTION;
use http::request::Parts as RequestHead;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::net::TcpStream;

use crate::BodyFraming;
use crate::ClientStage;
use crate::HttpFault;
use crate::HttpReader;
use crate::HttpWriter;
use crate::client_budget::ConnectionShare;

/// Length up to which a response is sent without holding memory for it, in bytes.
const SHORT_RESPONSE_BYTES: usize = 16 * 1024;

/// How far the response has been written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseStage {
    /// Nothing has been written.
    NotStarted,
    /// The head and perhaps some chunks have been written.
    Streaming,
    /// The head and perhaps some bytes of a body that ends with the connection have been written.
    Unframed,
    /// The whole response has been written.
    Finished,
}

/// Holds the memory of a response.
#[derive(Debug)]
pub struct ResponseHold {
    request_bytes: usize,
    share: Option<Rc<ConnectionShare>>,
}

impl ResponseHold {
    /// Sets the size of the response, in bytes, and waits while others use the process's budget.
    ///
    /// # Errors
    /// `Closed` if the connection is dropped meanwhile.
    pub async fn hold(&self, bytes: usize) -> Result<(), HttpFault> {
        match &self.share {
            _ if bytes <= SHORT_RESPONSE_BYTES => Ok(()),
            // The request may have run, so the error must not say otherwise.
            Some(share) => share
                .hold_patiently(self.request_bytes + bytes)
                .await
                .map_err(|_| HttpFault::Closed),
            None => Ok(()),
        }
    }
}

/// A request on a server connection and the response to it.
pub struct ServerExchange<'a> {
    connection_number: u64,
    expects_continue: bool,
    framing: BodyFraming,
    head: RequestHead,
    keep_alive: bool,
    reader: &'a mut HttpReader<OwnedReadHalf<TcpStream>>,
    stage: ResponseStage,
    writer: &'a mut HttpWriter<OwnedWriteHalf<TcpStream>>,
}

impl<'a> ServerExchange<'a> {
    /// Starts an exchange for a request whose head has been read.
    pub(crate) fn new(
        head: RequestHead,
        framing: BodyFraming,
        connection_number: u64,
        reader: &'a mut HttpReader<OwnedReadHalf<TcpStream>>,
        writer: &'a mut HttpWriter<OwnedWriteHalf<TcpStream>>,
    ) -> Self {
        let keep_alive = wants_keep_alive(&head);
        let expects_continue = head.headers.contains_key(http::header::EXPECT);
        let stage = ResponseStage::NotStarted;
        Self {
            connection_number,
            expects_continue,
            framing,
            head,
            keep_alive,
            reader,
            stage,
            writer,
        }
    }

    /// Returns the number of the connection, counted from the server's start, for handlers that keep
    /// something for each connection.
    #[must_use]
    pub fn connection_number(&self) -> u64 {
        self.connection_number
    }

    /// Returns the request's head.
    #[must_use]
    pub fn head(&self) -> &RequestHead {
        &self.head
    }

    /// Returns the value of a request header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns whether the connection may serve another request afterwards.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.keep_alive && self.stage == ResponseStage::Finished && self.framing.is_finished()
    }

    /// Returns whether the head of a response has been written.
    #[must_use]
    pub fn has_responded(&self) -> bool {
        self.stage != ResponseStage::NotStarted
    }

    /// Closes the connection after this exchange.
    pub fn close_afterwards(&mut self) {
        self.keep_alive = false;
    }

    /// Reads the whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// Fails if the connection does; `BodyTooLarge` over `limit` bytes.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, HttpFault> {
        if self.framing.declared_length().is_some_and(|length| length > limit as u64) {
            return Err(HttpFault::BodyTooLarge);
        }
        if self.framing.is_finished() {
            return Ok(Bytes::new());
        }
        self.reader.set_stage(ClientStage::Body);
        self.send_continue().await?;
        let body = self.reader.read_body(&mut self.framing, limit).await?;
        self.reader.set_stage(ClientStage::Running);
        Ok(body)
    }

    /// Reads the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    /// Fails if the connection does; `Truncated` if it ends first.
    pub async fn read_piece(&mut self) -> Result<Option<Bytes>, HttpFault> {
        if self.framing.is_finished() {
            return Ok(None);
        }
        self.reader.set_stage(ClientStage::Body);
        self.send_continue().await?;
        let piece = self.reader.read_piece(&mut self.framing).await?;
        self.reader.set_stage(ClientStage::Running);
        Ok(piece)
    }

    /// Holds memory for what the handler is going to make of the body.
    ///
    /// # Errors
    /// `NoMemory` if there is none; the request must not have had an effect yet.
    pub async fn hold_memory(&self, bytes: usize) -> Result<(), HttpFault> {
        match self.reader.share() {
            Some(share) => share.hold(self.reader.request_bytes() + bytes).await,
            None => Ok(()),
        }
    }

    /// Returns what holds the memory of the response while it is read from elsewhere.
    #[must_use]
    pub fn response_hold(&self) -> ResponseHold {
        let share = self.reader.share().map(Rc::clone);
        ResponseHold { request_bytes: self.reader.request_bytes(), share }
    }

    /// Resolves when the caller has disconnected; call it only after the body has been read.
    pub async fn closed(&mut self) {
        self.reader.closed().await;
    }

    /// Sends `102 Processing` before the response has begun, to show that it is still to come.
    ///
    /// # Errors
    /// Fails if the connection does.
    pub async fn send_processing(&mut self) -> Result<(), HttpFault> {
        match self.stage {
            ResponseStage::NotStarted => self.writer.write_processing().await,
            _ => Ok(()),
        }
    }

    /// Sends a response with its whole body.
    ///
    /// # Errors
    /// Fails if the connection does.
    pub async fn respond(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Result<(), HttpFault> {
        self.response_hold().hold(body.len()).await?;
        let headers = self.response_headers(headers);
        let omit_body = self.head.method == Method::HEAD;
        self.writer.write_response(status, &headers, body, omit_body).await?;
        self.stage = ResponseStage::Finished;
        Ok(())
    }

    /// Sends the head of a response whose body follows in pieces.
    ///
    /// # Errors
    /// Fails if the connection does; `Malformed` if the HTTP version lacks chunked encoding.
    pub async fn start_stream(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<(), HttpFault> {
        if self.head.version != http::Version::HTTP_11 {
            return Err(HttpFault::Malformed("streamed answers need HTTP/1.1"));
        }
        let headers = self.response_headers(headers);
        self.writer.write_stream_head(status, &headers).await?;
        self.stage = ResponseStage::Streaming;
        Ok(())
    }

    /// Sends the head of a response whose body follows in pieces and ends with the connection.
    ///
    /// # Errors
    /// Fails if the connection does.
    pub async fn start_unframed_stream(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<(), HttpFault> {
        self.close_afterwards();
        let headers = self.response_headers(headers);
        self.writer.write_unframed_head(status, &headers).await?;
        self.stage = ResponseStage::Unframed;
        Ok(())
    }

    /// Sends one piece of the response body.
    ///
    /// # Errors
    /// Fails if the connection does.
    pub async fn send_piece(&mut self, piece: &Bytes) -> Result<(), HttpFault> {
        match self.stage {
            ResponseStage::Unframed => self.writer.write_body(piece).await,
            _ => self.writer.write_chunk(piece).await,
        }
    }

    /// Ends the response body; without this call the caller sees a truncated message.
    ///
    /// # Errors
    /// Fails if the connection does.
    pub async fn finish_stream(&mut self) -> Result<(), HttpFault> {
        if self.stage != ResponseStage::Unframed {
            self.writer.write_last_chunk().await?;
        }
        self.stage = ResponseStage::Finished;
        Ok(())
    }

    /// Sends `100 Continue` once if the caller waits for it.
    async fn send_continue(&mut self) -> Result<(), HttpFault> {
        if std::mem::take(&mut self.expects_continue) && !self.framing.is_finished() {
            self.writer.write_continue().await?;
        }
        Ok(())
    }

    /// Adds `Connection: close` to the response headers if this exchange is the last.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap {
        let mut headers = headers.clone();
        // The rest of an unread body would be parsed as the next request.
        if !self.keep_alive || !self.framing.is_finished() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        headers
    }
}

/// Returns whether the caller wants to keep the connection open.
fn wants_keep_alive(head: &RequestHead) -> bool {
    let connection = head.headers.get(CONNECTION).map_or(&b""[..], HeaderValue::as_bytes);
    if head.version == http::Version::HTTP_11 {
        !connection.eq_ignore_ascii_case(b"close")
    } else {
        // Responses use HTTP/1.1 framing, so an older peer gets one request per connection.
        false
    }
}
