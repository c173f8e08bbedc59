//! What a quarantine may be of.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::PromptPart;
use crate::RequestDigest;

/// Prefix of the displayed form of a request, which distinguishes it from a part.
const REQUEST_PREFIX: &str = "request-";

/// What may end the engines that run it. Parts are displayed by their ids, requests by `request-`
/// and their digests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum QuarantineSubject {
    /// A part of a prompt, which different requests may share.
    Part(PromptPart),
    /// A request that its caller repeats.
    Request(RequestDigest),
}

impl QuarantineSubject {
    /// Reads a subject from its displayed form.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let digest = text.strip_prefix(REQUEST_PREFIX).and_then(RequestDigest::parse);
        digest.map_or_else(|| Self::Part(PromptPart::from_id(text)), Self::Request)
    }

    /// Returns whether the subject is a request.
    #[must_use]
    pub fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }

    /// Displays subjects in order, separated by `+`.
    #[must_use]
    pub fn join(subjects: &[Self]) -> String {
        let names: Vec<String> = subjects.iter().map(ToString::to_string).collect();
        names.join("+")
    }
}

impl fmt::Display for QuarantineSubject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(formatter),
            Self::Request(digest) => write!(formatter, "{REQUEST_PREFIX}{digest}"),
        }
    }
}
