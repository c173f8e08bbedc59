//! Hash of several fields of any length.

use sha2::Digest;
use sha2::Sha256;

/// Hashes fields with their lengths to a number that is the same in every process and version.
/// Different lists of fields have different inputs.
#[derive(Clone, Debug, Default)]
pub struct ContentHasher {
    hasher: Sha256,
}

impl ContentHasher {
    /// Adds a field.
    pub fn update(&mut self, field: &[u8]) {
        self.hasher.update((field.len() as u64).to_le_bytes());
        self.hasher.update(field);
    }

    /// Returns the hash of all fields.
    #[must_use]
    pub fn finish(self) -> u64 {
        let digest = self.hasher.finalize();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest[..8]);
        u64::from_le_bytes(prefix)
    }
}
