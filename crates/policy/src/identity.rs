//! Identifiers of requests, targets and organisations, and the hashes that derive them.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Identifies an organisation within one process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrganisationId(pub u32);

/// Identifies a target within one process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetId(pub u32);

/// Identifies a request within one sidecar; increases with each arrival.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketId(pub u64);

/// Identifies a request across all processes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Derives the key of a request from its organisation and its request id.
    #[must_use]
    pub fn derive(organisation: &str, request_id: &str) -> Self {
        Self(digest_of(&[organisation, request_id]))
    }
}

/// Whether a request is interactive or part of a batch job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum WorkClass {
    /// A caller waits for the response.
    Online,
    /// The result is due at a later time.
    Batch,
}

/// Hashes strings to a number that is the same in every process and version.
#[must_use]
pub fn stable_hash(parts: &[&str]) -> u64 {
    digest_of(parts) as u64
}

/// Returns the SHA-256 hash of a token in hexadecimal, the form in which the configuration has it.
#[must_use]
pub fn hash_token(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    let digits = digest.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
    digits.filter_map(|digit| char::from_digit(digit.into(), 16)).collect()
}

/// Hashes strings with their lengths, so that different lists have different inputs.
fn digest_of(parts: &[&str]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let digest = hasher.finalize();
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&digest[..16]);
    u128::from_le_bytes(prefix)
}
