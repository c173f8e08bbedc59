//! What a quarantine may be of.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::PromptPart;
use crate::RequestDigest;

/// Prefix of the displayed form of a request, which distinguishes it from a part.
const REQUEST_PREFIX: &str = "request-";

/// Prefix of the displayed form of a part of items.
const ITEM_PART_PREFIX: &str = "item-part-";

/// Kind of a subject. The kinds have the order of the subjects, so that sorted subjects of one kind
/// follow each other.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum SubjectKind {
    /// A part of the prompts of online requests.
    Part,
    /// An online request.
    Request,
    /// A part of the prompts of batch items.
    ItemPart,
}

/// What may end the engines that run it. Parts are displayed by their ids, requests by `request-`
/// and their digests, and parts of items by `item-part-` and their ids.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum QuarantineSubject {
    /// A part of the prompts of online requests, which several may share.
    Part(PromptPart),
    /// A request that its caller repeats.
    Request(RequestDigest),
    /// A part of the prompts of batch items, which several may share. It is not the same subject as that
    /// part in online requests: engines that end under items say nothing about those.
    ItemPart(PromptPart),
}

impl QuarantineSubject {
    /// Reads a subject from its displayed form.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        if let Some(id) = text.strip_prefix(ITEM_PART_PREFIX) {
            return Self::ItemPart(PromptPart::from_id(id));
        }
        let digest = text.strip_prefix(REQUEST_PREFIX).and_then(RequestDigest::parse);
        digest.map_or_else(|| Self::Part(PromptPart::from_id(text)), Self::Request)
    }

    /// Returns the kind of the subject.
    pub(crate) fn kind(self) -> SubjectKind {
        match self {
            Self::Part(_) => SubjectKind::Part,
            Self::Request(_) => SubjectKind::Request,
            Self::ItemPart(_) => SubjectKind::ItemPart,
        }
    }

    /// Returns whether the subject is a part of items.
    #[must_use]
    pub fn is_item_part(self) -> bool {
        matches!(self, Self::ItemPart(_))
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
            Self::ItemPart(part) => write!(formatter, "{ITEM_PART_PREFIX}{part}"),
        }
    }
}
