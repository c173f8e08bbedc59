//! The store in which instances agree and keep what must last.

use std::fmt;
use std::future::Future;
use std::time::Duration;

/// A stored key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredItem {
    /// The key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// All keys with one beginning.
#[derive(Clone, Debug, Default)]
pub struct StoreSnapshot {
    /// The keys, sorted.
    pub items: Vec<StoredItem>,
    /// Revision from which a watch sees every later change.
    pub revision: u64,
}

/// One change that a watch reports.
#[derive(Clone, Debug)]
pub enum StoreChange {
    /// A key was written.
    Put(StoredItem),
    /// A key was removed.
    Deleted(String),
}

/// Changes in the order in which they were made.
#[derive(Clone, Debug, Default)]
pub struct WatchBatch {
    /// The changes.
    pub changes: Vec<StoreChange>,
    /// Revision of the last change, which the next watch continues from.
    pub revision: u64,
}

/// A condition of a commit.
#[derive(Clone, Debug)]
pub struct ExpectedKey {
    /// The key.
    pub key: String,
    /// The revision that it has to be at; 0 demands that the key does not exist.
    pub revision: u64,
}

/// A key to write.
#[derive(Clone, Debug)]
pub struct StorePut {
    /// The key.
    pub key: String,
    /// The lease that the key goes with; 0 means none.
    pub lease: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// Writes that happen together if all expectations hold.
#[derive(Clone, Debug, Default)]
pub struct StoreCommit {
    /// What has to hold.
    pub expected: Vec<ExpectedKey>,
    /// Keys to write.
    pub puts: Vec<StorePut>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

impl StoreCommit {
    /// Creates a key that must not exist.
    #[must_use]
    pub fn create(key: &str, value: Vec<u8>) -> Self {
        let expected = vec![ExpectedKey { key: key.to_owned(), revision: 0 }];
        Self { expected, ..Self::put(key, value, 0) }
    }

    /// Writes a key, bound to a lease unless that is 0.
    #[must_use]
    pub fn put(key: &str, value: Vec<u8>, lease: u64) -> Self {
        let puts = vec![StorePut { key: key.to_owned(), lease, value }];
        Self { puts, ..Self::default() }
    }

    /// Removes keys.
    #[must_use]
    pub fn remove(keys: &[String]) -> Self {
        Self { removals: keys.to_vec(), ..Self::default() }
    }
}

/// What became of a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// It took effect.
    Done,
    /// An expectation did not hold; the expected keys that exist, as they are now.
    Conflict(Vec<StoredItem>),
    /// A lease that a key was to be bound to has ended.
    LeaseEnded,
}

/// Why a call to the store gave no result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// Nothing was done.
    Unavailable(String),
    /// A write may have taken effect, or may do so later.
    Ambiguous(String),
    /// The history after the watch's revision is no longer kept.
    Compacted,
    /// The store refuses the call as it is.
    Invalid(String),
}

impl fmt::Display for StoreFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(detail) => write!(formatter, "store unavailable: {detail}"),
            Self::Ambiguous(detail) => write!(formatter, "outcome of the write unknown: {detail}"),
            Self::Compacted => formatter.write_str("history is no longer kept"),
            Self::Invalid(detail) => write!(formatter, "call refused: {detail}"),
        }
    }
}

impl std::error::Error for StoreFault {}

/// A linearizable key-value store with conditional writes, leases and watches.
pub trait CoordinationStore: 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<StoredItem>, StoreFault>>;

    /// Reads all keys that begin with `prefix`.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<StoreSnapshot, StoreFault>>;

    /// Returns the newest revision of any key that begins with `prefix`, as it was some seconds ago
    /// at most; a cheap read.
    fn recent_revision(&self, prefix: &str) -> impl Future<Output = Result<u64, StoreFault>>;

    /// Waits up to `patience` for changes after `revision` of keys that begin with `prefix`.
    fn watch(
        &self,
        prefix: &str,
        revision: u64,
        patience: Duration,
    ) -> impl Future<Output = Result<WatchBatch, StoreFault>>;

    /// Makes a conditional write once.
    fn commit(
        &self,
        commit: &StoreCommit,
    ) -> impl Future<Output = Result<CommitOutcome, StoreFault>>;

    /// Grants a lease and returns its id.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<u64, StoreFault>>;

    /// Renews a lease; tells whether it still held.
    fn renew_lease(&self, lease: u64) -> impl Future<Output = Result<bool, StoreFault>>;

    /// Ends a lease and removes its keys.
    fn revoke_lease(&self, lease: u64) -> impl Future<Output = Result<(), StoreFault>>;
}
