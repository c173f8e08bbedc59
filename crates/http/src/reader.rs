//! The receiving half of a connection.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use futures::FutureExt;
use http::request::Parts as RequestHead;
use http::response::Parts as ResponseHead;
use monoio::io::AsyncReadRent;
use monoio::time::timeout;
use monoio_codec::Decoded;
use monoio_codec::Decoder;
use monoio_http::h1::codec::decoder::DecodeError;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;
use monoio_http::h1::codec::decoder::ResponseHeadDecoder;

use crate::BodyFraming;
use crate::ClientStage;
use crate::HttpFault;
use crate::HttpLimits;
use crate::TurnBudget;
use crate::body_buffer::BodyBuffer;
use crate::chunk_decoder::ChunkDecoder;
use crate::chunk_decoder::ChunkStep;
use crate::client_budget::ConnectionShare;

/// Read size while waiting for a head, in bytes; small, since most connections are idle.
const HEAD_READ_BYTES: usize = 4 * 1024;

/// Read size for a check that nothing has arrived, in bytes.
const PEEK_BYTES: usize = 16;

/// Read size inside a body, in bytes.
const BODY_READ_BYTES: usize = 32 * 1024;

/// Maximum number of bytes buffered from a peer while its current request is handled.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Bytes of a body that count as progress; a client that sends fewer in a body timeout has stalled.
const PROGRESS_BYTES: usize = 1024;

/// Reads messages from one half of a connection.
pub struct HttpReader<R> {
    /// Memory of the body that is being read or has been read, until the next message, in bytes.
    body_bytes: usize,
    buffer: BytesMut,
    /// What the connection uses of the process's budget; `None` without one.
    share: Option<Rc<ConnectionShare>>,
    stream: R,
    limits: HttpLimits,
    /// Limits the reads and decoded heads between two turns of other tasks.
    turns: TurnBudget,
}

impl<R: AsyncReadRent> HttpReader<R> {
    /// Wraps the receiving half of a connection.
    pub fn new(stream: R, limits: HttpLimits) -> Self {
        let turns = TurnBudget::default();
        Self { body_bytes: 0, buffer: BytesMut::new(), share: None, stream, limits, turns }
    }

    /// Lets the connection use a process's budget.
    #[must_use]
    pub(crate) fn with_share(mut self, share: Option<Rc<ConnectionShare>>) -> Self {
        self.share = share;
        self
    }

    /// Returns what the connection uses of the process's budget.
    pub(crate) fn share(&self) -> Option<&Rc<ConnectionShare>> {
        self.share.as_ref()
    }

    /// Records what the connection does from now on, and gives back what it does not need for that.
    pub(crate) fn set_stage(&mut self, stage: ClientStage) {
        if stage == ClientStage::Idle {
            self.body_bytes = 0;
        }
        if let Some(share) = &self.share {
            share.set_stage(stage);
            share.shrink(self.buffer.len() + self.body_bytes);
        }
    }

    /// Returns the bytes that the connection holds for the request.
    pub(crate) fn request_bytes(&self) -> usize {
        self.buffer.len() + self.body_bytes
    }

    /// Waits for the first byte of the next message.
    ///
    /// # Errors
    /// `Closed` if the peer closes the connection or exceeds the idle timeout.
    pub async fn wait_for_message(&mut self) -> Result<(), HttpFault> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        match timeout(self.limits.idle_timeout, self.fill(HEAD_READ_BYTES)).await {
            Err(_) | Ok(Ok(0)) => Err(HttpFault::Closed),
            Ok(result) => result.map(|_| ()),
        }
    }

    /// Returns whether nothing, not even the end of the stream, has arrived since the last message.
    pub fn is_idle(&mut self) -> bool {
        self.buffer.is_empty() && self.fill_at_once(PEEK_BYTES).now_or_never().is_none()
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    /// Fails for a head that is too large, too slow or not HTTP/1.
    pub async fn read_request_head(&mut self) -> Result<RequestHead, HttpFault> {
        self.turns.take_step().await;
        self.fill_head().await?;
        self.check_head()?;
        finish_head(RequestHeadDecoder.decode(&mut self.buffer))
    }

    /// Reads the head of a response, which must arrive whole within `response_timeout`.
    ///
    /// # Errors
    /// `TimedOut` if it does not arrive in time; otherwise as for a request's head.
    pub async fn read_response_head(
        &mut self,
        response_timeout: Duration,
    ) -> Result<ResponseHead, HttpFault> {
        match timeout(response_timeout, self.fill_response_head()).await {
            Err(_) => return Err(HttpFault::TimedOut("response head")),
            Ok(result) => result?,
        }
        self.check_head()?;
        finish_head(ResponseHeadDecoder.decode(&mut self.buffer))
    }

    /// Reads the next piece of a body, or `None` at its end.
    ///
    /// # Errors
    /// `Truncated` if the connection ends before the body does.
    pub async fn read_piece(
        &mut self,
        framing: &mut BodyFraming,
    ) -> Result<Option<Bytes>, HttpFault> {
        match framing {
            BodyFraming::Empty => Ok(None),
            BodyFraming::Fixed(left) => {
                let piece = self.fixed_piece(*left).await?;
                *left -= piece.len() as u64;
                if *left == 0 {
                    *framing = BodyFraming::Empty;
                }
                Ok(Some(piece))
            }
            BodyFraming::Chunked(decoder) => {
                let piece = self.chunked_piece(decoder).await?;
                if piece.is_none() {
                    *framing = BodyFraming::Empty;
                }
                Ok(piece)
            }
            BodyFraming::UntilClose => {
                let piece = self.until_close_piece().await?;
                if piece.is_none() {
                    *framing = BodyFraming::Empty;
                }
                Ok(piece)
            }
        }
    }

    /// Reads a whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// `BodyTooLarge` over `limit` bytes, before the excess is buffered.
    pub async fn read_body(
        &mut self,
        framing: &mut BodyFraming,
        limit: usize,
    ) -> Result<Bytes, HttpFault> {
        if framing.declared_length().is_some_and(|length| length > limit as u64) {
            return Err(HttpFault::BodyTooLarge);
        }
        let mut body = BodyBuffer::default();
        let mut progress = (Instant::now(), 0);
        while let Some(piece) = self.read_piece(framing).await? {
            if body.len() + piece.len() > limit {
                return Err(HttpFault::BodyTooLarge);
            }
            if framing.is_finished() && body.len() == 0 {
                return Ok(piece);
            }
            body.push(&piece);
            self.body_bytes = body.allocated();
            self.check_progress(body.len(), &mut progress)?;
        }
        let body = body.join();
        self.body_bytes = body.len();
        Ok(body)
    }

    /// Resolves when the peer has disconnected, but never if the peer first sends more than may be
    /// read ahead.
    pub async fn closed(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD_BYTES {
            match self.fill(HEAD_READ_BYTES).await {
                // What the peer sends ahead stays unread; its request goes on.
                Err(HttpFault::NoMemory) => break,
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Checks that a client sends a body in more than a few bytes now and then. `progress` is when it
    /// last made progress, and the size of its body then.
    fn check_progress(
        &self,
        length: usize,
        progress: &mut (Instant, usize),
    ) -> Result<(), HttpFault> {
        let Some(share) = &self.share else {
            return Ok(());
        };
        if length >= progress.1 + PROGRESS_BYTES {
            *progress = (Instant::now(), length);
            share.record_progress();
        } else if progress.0.elapsed() >= self.limits.body_timeout {
            share.count_stalled();
            return Err(HttpFault::TimedOut("message body"));
        }
        Ok(())
    }

    /// Reads until the buffer holds the whole head of a response.
    async fn fill_response_head(&mut self) -> Result<(), HttpFault> {
        if self.buffer.is_empty() && self.fill(HEAD_READ_BYTES).await? == 0 {
            return Err(HttpFault::Closed);
        }
        self.fill_head().await
    }

    /// Reads until the buffer holds a whole head.
    async fn fill_head(&mut self) -> Result<(), HttpFault> {
        let limit = self.limits.head_timeout;
        match timeout(limit, self.fill_head_without_timeout()).await {
            Err(_) => Err(HttpFault::TimedOut("message head")),
            Ok(result) => result,
        }
    }

    /// Reads until the buffer holds a whole head, without a timeout.
    async fn fill_head_without_timeout(&mut self) -> Result<(), HttpFault> {
        let mut searched = 0;
        loop {
            if find_head_end(&self.buffer, searched).is_some() {
                return Ok(());
            }
            if self.buffer.len() >= self.limits.max_head_bytes {
                return Err(HttpFault::HeadTooLarge);
            }
            searched = self.buffer.len().saturating_sub(3);
            if self.fill(HEAD_READ_BYTES).await? == 0 {
                return Err(HttpFault::Truncated);
            }
        }
    }

    /// Checks the size of the buffered head before it is decoded.
    fn check_head(&self) -> Result<(), HttpFault> {
        let end = find_head_end(&self.buffer, 0).unwrap_or(self.buffer.len());
        if end > self.limits.max_head_bytes {
            return Err(HttpFault::HeadTooLarge);
        }
        let lines = memchr::memchr_iter(b'\n', &self.buffer[..end]).count();
        if lines > self.limits.max_header_fields + 2 {
            return Err(HttpFault::HeadTooLarge);
        }
        Ok(())
    }

    /// Takes at most `left` bytes of a body with a declared length.
    async fn fixed_piece(&mut self, left: u64) -> Result<Bytes, HttpFault> {
        if self.buffer.is_empty() {
            self.fill_body().await?;
        }
        let length = left.min(self.buffer.len() as u64);
        Ok(self.buffer.split_to(length as usize).freeze())
    }

    /// Takes the next bytes of a chunked body, or `None` at its end.
    async fn chunked_piece(
        &mut self,
        decoder: &mut ChunkDecoder,
    ) -> Result<Option<Bytes>, HttpFault> {
        loop {
            match decoder.decode(&mut self.buffer)? {
                ChunkStep::Piece(piece) => return Ok(Some(piece)),
                ChunkStep::End => return Ok(None),
                ChunkStep::NeedsBytes => self.fill_body().await?,
            }
        }
    }

    /// Takes the next bytes of a body that ends with the connection.
    async fn until_close_piece(&mut self) -> Result<Option<Bytes>, HttpFault> {
        if self.buffer.is_empty() && self.fill_with_timeout().await? == 0 {
            return Ok(None);
        }
        Ok(Some(self.buffer.split().freeze()))
    }

    /// Reads more of a body that is not yet complete.
    async fn fill_body(&mut self) -> Result<(), HttpFault> {
        match self.fill_with_timeout().await? {
            0 => Err(HttpFault::Truncated),
            _ => Ok(()),
        }
    }

    /// Reads once within the body timeout and returns the number of bytes, 0 at the end.
    async fn fill_with_timeout(&mut self) -> Result<usize, HttpFault> {
        let limit = self.limits.body_timeout;
        match timeout(limit, self.fill(BODY_READ_BYTES)).await {
            Err(_) => {
                if let Some(share) = &self.share {
                    share.count_stalled();
                }
                Err(HttpFault::TimedOut("message body"))
            }
            Ok(result) => result,
        }
    }

    /// Reads once into the buffer and returns the number of bytes, 0 at the end.
    async fn fill(&mut self, capacity: usize) -> Result<usize, HttpFault> {
        self.turns.take_step().await;
        let Some(share) = self.share.clone() else {
            return self.fill_at_once(capacity).await;
        };
        // Each connection holds the bytes of one read of a head anyway.
        let bytes = self.request_bytes() + capacity - HEAD_READ_BYTES;
        share.hold(bytes).await?;
        monoio::select! {
            biased;
            () = share.dropped() => Err(HttpFault::NoMemory),
            result = self.fill_at_once(capacity) => result,
        }
    }

    /// Reads once into the buffer, without a turn of other tasks before.
    async fn fill_at_once(&mut self, capacity: usize) -> Result<usize, HttpFault> {
        let read = self.stream.read(Vec::with_capacity(capacity));
        let (result, scratch) = self.turns.track(read).await;
        let length = result?;
        self.buffer.extend_from_slice(&scratch[..length]);
        Ok(length)
    }
}

/// Finds the end of a message head in `buffer`, searching from `from`.
fn find_head_end(buffer: &[u8], from: usize) -> Option<usize> {
    let found = memchr::memmem::find(&buffer[from..], b"\r\n\r\n");
    found.map(|position| from + position + 4)
}

/// Converts the decoder's result for a whole head.
fn finish_head<T>(decoded: Result<Decoded<T>, DecodeError>) -> Result<T, HttpFault> {
    match decoded {
        Ok(Decoded::Some(head)) => Ok(head),
        Ok(_) => Err(HttpFault::Malformed("incomplete head")),
        Err(DecodeError::Method(_)) => Err(HttpFault::Malformed("invalid method")),
        Err(DecodeError::Uri(_)) => Err(HttpFault::Malformed("invalid request target")),
        Err(_) => Err(HttpFault::Malformed("invalid head")),
    }
}
