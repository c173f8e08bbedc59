//! Errors of calls to the key-value service.

use std::fmt;

/// Why a call failed, and whether it may have taken effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyValueFault {
    /// The call had no effect: it never reached the service, or the service refused it.
    NotApplied(String),
    /// The call may or may not have taken effect.
    Ambiguous(String),
    /// The service rejected the call as invalid.
    Invalid(String),
}

impl fmt::Display for KeyValueFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotApplied(detail) => write!(formatter, "key-value call not done: {detail}"),
            Self::Ambiguous(detail) => write!(formatter, "key-value call without answer: {detail}"),
            Self::Invalid(detail) => write!(formatter, "key-value call invalid: {detail}"),
        }
    }
}

impl std::error::Error for KeyValueFault {}
