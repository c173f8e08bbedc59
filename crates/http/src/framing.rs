//! How the end of a message body is found.

use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

use crate::HttpFault;

/// The rule that ends a body, with what is still to come.
pub enum BodyFraming {
    /// No bytes are left.
    Empty,
    /// This many bytes are left.
    Fixed(u64),
    /// Chunks follow until the empty one.
    Chunked(ChunkedBodyDecoder),
    /// The body ends with the connection; only responses may do so.
    UntilClose,
}

impl BodyFraming {
    /// Finds the framing of a request body.
    ///
    /// # Errors
    /// Refuses every head that two parsers could frame differently.
    pub fn of_request(headers: &HeaderMap) -> Result<Self, HttpFault> {
        declared(headers).map(|framing| framing.unwrap_or(Self::Empty))
    }

    /// Finds the framing of a response body to a request with the given method.
    ///
    /// # Errors
    /// Refuses every head that two parsers could frame differently.
    pub fn of_response(
        method: &Method,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Self, HttpFault> {
        let bodiless = status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        if method == Method::HEAD || bodiless {
            return Ok(Self::Empty);
        }
        declared(headers).map(|framing| framing.unwrap_or(Self::UntilClose))
    }

    /// Tells whether the body is read to its end.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        matches!(self, Self::Empty)
    }

    /// Returns the declared length in bytes, if there is one.
    #[must_use]
    pub fn declared_length(&self) -> Option<u64> {
        match self {
            Self::Empty => Some(0),
            Self::Fixed(length) => Some(*length),
            Self::Chunked(_) | Self::UntilClose => None,
        }
    }
}

/// Reads the framing headers, or returns `None` where there are none.
fn declared(headers: &HeaderMap) -> Result<Option<BodyFraming>, HttpFault> {
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
        (Some(length), None) => fixed(length.as_bytes()).map(Some),
        (None, Some(encoding)) => {
            if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                Ok(Some(BodyFraming::Chunked(ChunkedBodyDecoder::default())))
            } else {
                Err(HttpFault::Malformed("unsupported transfer encoding"))
            }
        }
    }
}

/// Parses a `Content-Length` value, which is digits only.
fn fixed(value: &[u8]) -> Result<BodyFraming, HttpFault> {
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
