//! The calls that an entry answers to its peers.

use cv_policy::RequestKey;
use cv_policy::config::ConfigDocument;

use crate::AppendResponse;
use crate::CallMetadata;
use crate::CancelResponse;
use crate::EntryStatus;
use crate::JournalPage;

/// Calls between entries.
#[tarpc::service]
pub trait EntryPeer {
    /// Appends records to a job's journal and syncs them.
    async fn append(metadata: CallMetadata, job: String, records: Vec<Vec<u8>>) -> AppendResponse;

    /// Reads a part of a job's journal from a position on.
    async fn read(metadata: CallMetadata, job: String, position: u64) -> Option<JournalPage>;

    /// Removes a job's journal.
    async fn remove(metadata: CallMetadata, job: String) -> bool;

    /// Stops a job that the peer owns.
    async fn cancel(metadata: CallMetadata, job: String) -> CancelResponse;

    /// Claims the key of a request that must run at most once; tells whether it is new.
    async fn claim_key(metadata: CallMetadata, key: RequestKey, claim: u64) -> bool;

    /// Gives a claimed key back.
    async fn release_key(metadata: CallMetadata, key: RequestKey, claim: u64);

    /// Waits for a configuration newer than a revision; `None` if there was none for a while.
    async fn wait_config(metadata: CallMetadata, revision: u64) -> Option<ConfigDocument>;

    /// Tells how the entry is.
    async fn status(metadata: CallMetadata) -> Option<EntryStatus>;
}
