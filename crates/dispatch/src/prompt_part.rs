//! Identity of a part of a prompt.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Identity of a part that several prompts may share, displayed in hexadecimal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PromptPart(pub u64);

impl PromptPart {
    /// Returns the part with a caller's id: the number of a hexadecimal id of at most 16 digits, so
    /// that logs show the caller's own id, and a hash of any other id.
    #[must_use]
    pub fn from_id(id: &str) -> Self {
        if let Ok(number) = u64::from_str_radix(id, 16) {
            return Self(number);
        }
        let hash = id
            .bytes()
            .fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
        Self(hash)
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}
