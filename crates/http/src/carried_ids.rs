//! The requests that a connection has carried.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Most requests of one connection, so that the memory of their ids is bounded.
const MAX_CARRIED: usize = 256;

/// The ids of the requests that were sent on one connection, as hashes.
///
/// Two ids with one hash cost a new connection, nothing else.
#[derive(Clone, Debug, Default)]
pub(crate) struct CarriedIds {
    /// Sorted.
    hashes: Vec<u64>,
}

impl CarriedIds {
    /// Adds an id.
    pub fn insert(&mut self, request_id: &str) {
        let hash = hash_id(request_id);
        if let Err(position) = self.hashes.binary_search(&hash) {
            self.hashes.insert(position, hash);
        }
    }

    /// Returns whether the connection may have carried a request with this id.
    pub fn contains(&self, request_id: &str) -> bool {
        self.hashes.binary_search(&hash_id(request_id)).is_ok()
    }

    /// Returns whether the connection carries no further request.
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_CARRIED
    }
}

/// Returns the hash of a request id.
fn hash_id(request_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}
