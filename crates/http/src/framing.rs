//! Framing of message bodies.

use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;

use crate::HttpFault;
use crate::chunk_decoder::ChunkDecoder;

/// How the end of a body is found, and what is left to read.
pub enum BodyFraming {
    /// No bytes are left.
    Empty,
    /// This many bytes are left.
    Fixed(u64),
    /// Chunks follow, of which the empty one is the last.
    Chunked(ChunkDecoder),
    /// The body ends with the connection, which is allowed only in responses.
    UntilClose,
}

impl BodyFraming {
    /// Determines the framing of a request body.
    ///
    /// # Errors
    /// `Malformed` for every head that two parsers could frame differently.
    pub fn of_request(headers: &HeaderMap) -> Result<Self, HttpFault> {
        parse_framing(headers).map(|framing| framing.unwrap_or(Self::Empty))
    }

    /// Determines the framing of the body of a response to a request with the given method.
    ///
    /// # Errors
    /// `Malformed` for every head that two parsers could frame differently.
    pub fn of_response(
        method: &Method,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Self, HttpFault> {
        let has_no_body = status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        if method == Method::HEAD || has_no_body {
            return Ok(Self::Empty);
        }
        parse_framing(headers).map(|framing| framing.unwrap_or(Self::UntilClose))
    }

    /// Returns whether the body has been read to its end.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        matches!(self, Self::Empty)
    }

    /// Returns the number of bytes left to read, if it is declared.
    #[must_use]
    pub fn declared_length(&self) -> Option<u64> {
        match self {
            Self::Empty => Some(0),
            Self::Fixed(length) => Some(*length),
            Self::Chunked(_) | Self::UntilClose => None,
        }
    }
}

/// Parses the framing headers; `None` if there are none.
fn parse_framing(headers: &HeaderMap) -> Result<Option<BodyFraming>, HttpFault> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let length = lengths.next();
    let encoding = encodings.next();
    if lengths.next().is_some() || encodings.next().is_some() {
        return Err(HttpFault::Malformed("repeated framing header"));
    }
    match (length, encoding) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => Err(HttpFault::Malformed("both length and transfer encoding")),
        (Some(length), None) => parse_content_length(length.as_bytes()).map(Some),
        (None, Some(encoding)) => {
            if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                Ok(Some(BodyFraming::Chunked(ChunkDecoder::default())))
            } else {
                Err(HttpFault::Malformed("unsupported transfer encoding"))
            }
        }
    }
}

/// Parses a `Content-Length` value, which must consist of digits only.
fn parse_content_length(value: &[u8]) -> Result<BodyFraming, HttpFault> {
    let invalid = HttpFault::Malformed("invalid content length");
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(invalid);
    }
    let text = std::str::from_utf8(value).map_err(|_| HttpFault::Malformed("invalid length"))?;
    match text.parse::<u64>() {
        Ok(0) => Ok(BodyFraming::Empty),
        Ok(length) => Ok(BodyFraming::Fixed(length)),
        Err(_) => Err(invalid),
    }
}
