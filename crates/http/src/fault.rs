//! Errors of a connection or of a message on it.

use std::fmt;
use std::io;

use http::StatusCode;

/// An error while a message was read or written.
#[derive(Debug)]
pub enum HttpFault {
    /// The peer closed the connection between two messages.
    Closed,
    /// The peer closed the connection inside a message.
    Truncated,
    /// Reading or writing failed.
    Io(io::Error),
    /// The peer exceeded a timeout; names what was awaited.
    TimedOut(&'static str),
    /// The message violates the protocol; says how.
    Malformed(&'static str),
    /// The head exceeds the limit on its size or on the number of its fields.
    HeadTooLarge,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The process has no memory left for the message, or has dropped the connection for others.
    NoMemory,
    /// The peer expects something other than `100-continue`.
    ExpectationFailed,
}

impl HttpFault {
    /// Returns the status of the error response, or `None` if no response can reach the caller.
    #[must_use]
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Closed | Self::Truncated | Self::Io(_) => None,
            Self::TimedOut(_) => Some(StatusCode::REQUEST_TIMEOUT),
            Self::Malformed(_) => Some(StatusCode::BAD_REQUEST),
            Self::HeadTooLarge => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            Self::BodyTooLarge => Some(StatusCode::PAYLOAD_TOO_LARGE),
            Self::NoMemory => Some(StatusCode::SERVICE_UNAVAILABLE),
            Self::ExpectationFailed => Some(StatusCode::EXPECTATION_FAILED),
        }
    }

    /// Returns the machine-readable reason for error bodies and logs.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Closed => "connection_closed",
            Self::Truncated => "message_truncated",
            Self::Io(_) => "connection_failed",
            Self::TimedOut(_) => "peer_too_slow",
            Self::Malformed(_) => "malformed_message",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::NoMemory => "no_memory",
            Self::ExpectationFailed => "expectation_failed",
        }
    }
}

impl fmt::Display for HttpFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "connection failed: {error}"),
            Self::TimedOut(limit) => write!(formatter, "peer too slow: {limit}"),
            Self::Malformed(detail) => write!(formatter, "malformed message: {detail}"),
            other => formatter.write_str(other.reason()),
        }
    }
}

impl std::error::Error for HttpFault {}

impl From<io::Error> for HttpFault {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
