//! Why a call to the key-value service did not succeed.

use std::fmt;

/// What is known after a call without a proper answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyValueFault {
    /// The call was not carried out: it never reached the service, or the service refused it.
    NotApplied(String),
    /// The call may or may not have taken effect.
    Ambiguous(String),
    /// The service understood the call and calls it wrong.
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
