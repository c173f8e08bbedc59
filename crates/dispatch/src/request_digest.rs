//! Identity of a request that its caller repeats.

use std::fmt;

use cv_policy::ContentHasher;
use serde::Deserialize;
use serde::Serialize;

/// What identifies a request among all repetitions by all callers. Ids and deadlines differ between
/// two attempts of a caller and are no part of it.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The request body.
    pub body: &'a [u8],
    /// The caller; empty if the request names none.
    pub caller: &'a str,
    /// The host that the request is for.
    pub host: &'a str,
    /// The request method.
    pub method: &'a str,
    /// The request target with its query.
    pub path: &'a str,
}

/// Digest of a [`RequestIdentity`], the same in every process and version, displayed in hexadecimal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Returns the digest of a request.
    #[must_use]
    pub fn new(identity: &RequestIdentity<'_>) -> Self {
        let RequestIdentity { body, caller, host, method, path } = *identity;
        let mut hasher = ContentHasher::default();
        for field in [method, host, path, caller] {
            hasher.update(field.as_bytes());
        }
        hasher.update(body);
        Self(hasher.finish())
    }

    /// Reads a digest from its displayed form; `None` if the text is none.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
