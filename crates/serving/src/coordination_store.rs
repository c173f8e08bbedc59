//! The interface of the coordination store, which holds all shared and durable state.

use std::fmt;
use std::future::Future;
use std::time::Duration;

/// A stored key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredItem {
    /// The key.
    pub key: String,
    /// Revision of the key's last change.
    pub revision: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// All keys with one prefix.
#[derive(Clone, Debug, Default)]
pub struct StoreSnapshot {
    /// The keys with their values, sorted by key.
    pub items: Vec<StoredItem>,
    /// Revision after which a watch reports every later change.
    pub revision: u64,
}

/// One change that a watch reports.
#[derive(Clone, Debug)]
pub enum StoreChange {
    /// A key was written.
    Put(StoredItem),
    /// A key was deleted.
    Deleted(String),
}

/// Changes in the order in which they were made.
#[derive(Clone, Debug, Default)]
pub struct WatchBatch {
    /// The changes; empty if the watch ended without any.
    pub changes: Vec<StoreChange>,
    /// Revision of the last change, from which the next watch continues.
    pub revision: u64,
}

/// A condition of a commit.
#[derive(Clone, Debug)]
pub struct ExpectedKey {
    /// The key.
    pub key: String,
    /// The revision that the key must have; 0 requires that the key does not exist.
    pub revision: u64,
}

/// A key to write.
#[derive(Clone, Debug)]
pub struct StorePut {
    /// The key.
    pub key: String,
    /// Id of the lease that the key is bound to, or 0 for none.
    pub lease: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// A transaction: all writes are applied if all expectations hold, otherwise none.
#[derive(Clone, Debug, Default)]
pub struct StoreCommit {
    /// Conditions that must all hold.
    pub expected: Vec<ExpectedKey>,
    /// Keys to write.
    pub puts: Vec<StorePut>,
    /// Keys to delete.
    pub removals: Vec<String>,
}

impl StoreCommit {
    /// Returns a commit that creates a key which must not exist yet.
    #[must_use]
    pub fn create(key: &str, value: Vec<u8>) -> Self {
        let expected = vec![ExpectedKey { key: key.to_owned(), revision: 0 }];
        Self { expected, ..Self::put(key, value, 0) }
    }

    /// Returns an unconditional write of a key, bound to `lease` unless that is 0.
    #[must_use]
    pub fn put(key: &str, value: Vec<u8>, lease: u64) -> Self {
        let puts = vec![StorePut { key: key.to_owned(), lease, value }];
        Self { puts, ..Self::default() }
    }

    /// Returns an unconditional deletion of keys.
    #[must_use]
    pub fn remove(keys: &[String]) -> Self {
        Self { removals: keys.to_vec(), ..Self::default() }
    }
}

/// The outcome of a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The commit took effect.
    Done,
    /// An expectation did not hold; holds the current state of the expected keys that exist.
    Conflict(Vec<StoredItem>),
    /// The lease of one of the keys has ended.
    LeaseEnded,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// The call had no effect.
    Unavailable(String),
    /// The write may have taken effect, or may still do so.
    Ambiguous(String),
    /// The history after the watch's revision has been discarded.
    Compacted,
    /// The store rejected the call as invalid.
    Invalid(String),
}

impl fmt::Display for StoreFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(detail) => write!(formatter, "store unavailable: {detail}"),
            Self::Ambiguous(detail) => write!(formatter, "outcome of the write unknown: {detail}"),
            Self::Compacted => formatter.write_str("history after the revision was discarded"),
            Self::Invalid(detail) => write!(formatter, "call rejected by the store: {detail}"),
        }
    }
}

impl std::error::Error for StoreFault {}

/// A linearizable key-value store with conditional writes, leases and watches.
pub trait CoordinationStore: 'static {
    /// Reads one key; `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<StoredItem>, StoreFault>>;

    /// Reads all keys that start with `prefix`.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<StoreSnapshot, StoreFault>>;

    /// Returns the newest revision of any key that starts with `prefix`, by a cheap read whose
    /// result may be some seconds old.
    fn recent_revision(&self, prefix: &str) -> impl Future<Output = Result<u64, StoreFault>>;

    /// Waits up to `timeout` for changes after `revision` to keys that start with `prefix`.
    fn watch(
        &self,
        prefix: &str,
        revision: u64,
        timeout: Duration,
    ) -> impl Future<Output = Result<WatchBatch, StoreFault>>;

    /// Sends a commit once, without retries.
    fn commit(
        &self,
        commit: &StoreCommit,
    ) -> impl Future<Output = Result<CommitOutcome, StoreFault>>;

    /// Grants a lease and returns its id.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<u64, StoreFault>>;

    /// Renews a lease; returns whether it was still alive.
    fn renew_lease(&self, lease: u64) -> impl Future<Output = Result<bool, StoreFault>>;

    /// Revokes a lease and deletes its keys.
    fn revoke_lease(&self, lease: u64) -> impl Future<Output = Result<(), StoreFault>>;
}
