//! Identities that decisions compare.

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

/// Identifies an admitted request within one sidecar; grows with each arrival.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketId(pub u64);

/// Identifies a request in every process that it passes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Derives the key of a request from its organisation and the id that it carries.
    #[must_use]
    pub fn derive(organisation: &str, request_id: &str) -> Self {
        Self(digest_of(&[organisation, request_id]))
    }
}

/// The two kinds of work that share the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum WorkClass {
    /// A caller waits for the answer.
    Online,
    /// The answer is due at some later time.
    Batch,
}

/// Hashes texts to a number that is the same in every process and version.
#[must_use]
pub fn stable_hash(parts: &[&str]) -> u64 {
    digest_of(parts) as u64
}

/// Returns the SHA-256 hash of a secret in hexadecimal, as configurations hold it.
#[must_use]
pub fn hash_token(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    let digits = digest.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
    digits.filter_map(|digit| char::from_digit(digit.into(), 16)).collect()
}

/// Digests texts with their lengths, so that no two lists of parts run together.
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
