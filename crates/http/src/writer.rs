//! The sending half of a connection.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use monoio::io::AsyncWriteRent;
use monoio::io::AsyncWriteRentExt;
use monoio::time::timeout;

use crate::ClientStage;
use crate::HttpFault;
use crate::client_budget::ConnectionShare;

/// Maximum size of a body that is copied behind its head to save a system call, in bytes.
const MAX_COPY_BYTES: usize = 16 * 1024;

/// Size of the parts in which a long response is written, in bytes.
const PART_BYTES: usize = 64 * 1024;

/// Writes messages to one half of a connection.
///
/// Heads and chunks are encoded here because the encoder of `monoio-http` buffers a stream until
/// eight kilobytes have accumulated, which would delay tokens.
pub struct HttpWriter<W> {
    /// What the connection uses of the process's budget; `None` without one.
    share: Option<Rc<ConnectionShare>>,
    stream: W,
    write_timeout: Duration,
}

impl<W: AsyncWriteRent> HttpWriter<W> {
    /// Wraps the sending half of a connection.
    pub fn new(stream: W, write_timeout: Duration) -> Self {
        Self { share: None, stream, write_timeout }
    }

    /// Lets the connection use a process's budget.
    #[must_use]
    pub(crate) fn with_share(mut self, share: Option<Rc<ConnectionShare>>) -> Self {
        self.share = share;
        self
    }

    /// Writes a request with its whole body.
    ///
    /// # Errors
    /// Fails if the connection does, or if the peer does not read the bytes in time.
    pub async fn write_request(
        &mut self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Result<(), HttpFault> {
        let head = encode_request_head(method, path, headers, body.len());
        self.write_with_body(head, body).await
    }

    /// Writes the head of a request whose body follows.
    ///
    /// # Errors
    /// Fails if the connection does, or if the peer does not read the bytes in time.
    pub async fn write_request_head(
        &mut self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        length: usize,
    ) -> Result<(), HttpFault> {
        self.write(encode_request_head(method, path, headers, length).freeze()).await
    }

    /// Writes the body of a request whose head has been written.
    ///
    /// # Errors
    /// Fails if the connection does, or if the peer does not read the bytes in time.
    pub async fn write_body(&mut self, body: &Bytes) -> Result<(), HttpFault> {
        self.write(body.clone()).await
    }

    /// Writes a response with its whole body, or only its head if `omit_body` is set.
    ///
    /// # Errors
    /// Fails if the connection does, or if the peer does not read the bytes in time.
    pub async fn write_response(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        body: &Bytes,
        omit_body: bool,
    ) -> Result<(), HttpFault> {
        let mut head = BytesMut::with_capacity(256 + body.len().min(MAX_COPY_BYTES));
        append_status_line(&mut head, status);
        append_headers(&mut head, headers);
        append_content_length(&mut head, body.len());
        let empty = Bytes::new();
        self.write_with_body(head, if omit_body { &empty } else { body }).await
    }

    /// Writes the head of a response whose body follows in chunks.
    ///
    /// # Errors
    /// Fails if the connection does, or if the peer does not read the bytes in time.
    pub async fn write_stream_head(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<(), HttpFault> {
        let mut head = encode_response_head(status, headers);
        head.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        self.write(head.freeze()).await
    }

    /// Writes the head of a response whose body ends with the connection.
    ///
    /// # Errors
    /// Fails if the connection does, or if the peer does not read the bytes in time.
    pub async fn write_unframed_head(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<(), HttpFault> {
        let mut head = encode_response_head(status, headers);
        head.extend_from_slice(b"\r\n");
        self.write(head.freeze()).await
    }

    /// Writes one chunk of a body; an empty piece writes nothing.
    ///
    /// # Errors
    /// Fails if the connection does, or if the peer does not read the bytes in time.
    pub async fn write_chunk(&mut self, piece: &Bytes) -> Result<(), HttpFault> {
        if piece.is_empty() {
            return Ok(());
        }
        let mut chunk = BytesMut::with_capacity(piece.len() + 16);
        chunk.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        chunk.extend_from_slice(piece);
        chunk.extend_from_slice(b"\r\n");
        self.write(chunk.freeze()).await
    }

    /// Writes the chunk that ends a body.
    ///
    /// # Errors
    /// Fails if the connection does, or if the peer does not read the bytes in time.
    pub async fn write_last_chunk(&mut self) -> Result<(), HttpFault> {
        self.write(Bytes::from_static(b"0\r\n\r\n")).await
    }

    /// Writes `100 Continue`, which requests the body announced with `Expect: 100-continue`.
    ///
    /// # Errors
    /// Fails if the connection does.
    pub async fn write_continue(&mut self) -> Result<(), HttpFault> {
        self.write(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n")).await
    }

    /// Writes `102 Processing`, which shows that the response is still to come.
    ///
    /// # Errors
    /// Fails if the connection does.
    pub async fn write_processing(&mut self) -> Result<(), HttpFault> {
        self.write(Bytes::from_static(b"HTTP/1.1 102 Processing\r\n\r\n")).await
    }

    /// Shuts down the sending direction.
    pub async fn shutdown(&mut self) {
        // An error means that the connection has ended already.
        let _ = self.stream.shutdown().await;
    }

    /// Writes a head and a body, together if the body is small.
    async fn write_with_body(&mut self, mut head: BytesMut, body: &Bytes) -> Result<(), HttpFault> {
        if body.len() <= MAX_COPY_BYTES {
            head.extend_from_slice(body);
            return self.write(head.freeze()).await;
        }
        self.write(head.freeze()).await?;
        self.write(body.clone()).await
    }

    /// Writes all bytes, each part of them within the write timeout.
    async fn write(&mut self, mut bytes: Bytes) -> Result<(), HttpFault> {
        let Some(share) = self.share.clone().filter(|_| bytes.len() > PART_BYTES) else {
            return self.write_part(bytes).await;
        };
        share.set_stage(ClientStage::Writing);
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(PART_BYTES));
            monoio::select! {
                biased;
                () = share.dropped() => return Err(HttpFault::Closed),
                result = self.write_part(part) => result?,
            }
            share.record_progress();
        }
        share.set_stage(ClientStage::Running);
        Ok(())
    }

    /// Writes bytes within the write timeout.
    async fn write_part(&mut self, bytes: Bytes) -> Result<(), HttpFault> {
        match timeout(self.write_timeout, self.stream.write_all(bytes)).await {
            Err(_) => Err(HttpFault::TimedOut("peer does not read")),
            Ok((result, _)) => result.map(|_| ()).map_err(HttpFault::Io),
        }
    }
}

/// Encodes the head of a response up to the headers that tell how its body ends.
fn encode_response_head(status: StatusCode, headers: &HeaderMap) -> BytesMut {
    let mut head = BytesMut::with_capacity(256);
    append_status_line(&mut head, status);
    append_headers(&mut head, headers);
    head
}

/// Appends a status line.
fn append_status_line(head: &mut BytesMut, status: StatusCode) {
    head.extend_from_slice(b"HTTP/1.1 ");
    head.extend_from_slice(status.as_str().as_bytes());
    head.extend_from_slice(b" ");
    head.extend_from_slice(status.canonical_reason().unwrap_or("Status").as_bytes());
    head.extend_from_slice(b"\r\n");
}

/// Appends header fields, except those that declare the length of the body.
fn append_headers(head: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        if name == CONTENT_LENGTH || name == TRANSFER_ENCODING {
            continue;
        }
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
}

/// Encodes the head of a request with a body of the given length in bytes.
fn encode_request_head(
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    length: usize,
) -> BytesMut {
    let mut head = BytesMut::with_capacity(256 + length.min(MAX_COPY_BYTES));
    head.extend_from_slice(method.as_str().as_bytes());
    head.extend_from_slice(b" ");
    head.extend_from_slice(path.as_bytes());
    head.extend_from_slice(b" HTTP/1.1\r\n");
    append_headers(&mut head, headers);
    append_content_length(&mut head, length);
    head
}

/// Appends the `Content-Length` header and the end of the head.
fn append_content_length(head: &mut BytesMut, length: usize) {
    head.extend_from_slice(b"content-length: ");
    head.extend_from_slice(length.to_string().as_bytes());
    head.extend_from_slice(b"\r\n\r\n");
}
