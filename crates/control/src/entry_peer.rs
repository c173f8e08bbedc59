//! Interface for calls between entries.

use cv_policy::RequestKey;
use cv_policy::config::ConfigDocument;

use crate::AppendResponse;
use crate::CallMetadata;
use crate::CancelResponse;
use crate::EntryStatus;
use crate::JournalPage;

/// Calls that an entry serves for other entries.
#[tarpc::service]
pub trait EntryPeer {
    /// Appends records to a job's journal and syncs it to disk.
    async fn append(metadata: CallMetadata, job: String, records: Vec<Vec<u8>>) -> AppendResponse;

    /// Reads a page of a job's journal, starting at a position; `None` if it cannot be read.
    async fn read(metadata: CallMetadata, job: String, position: u64) -> Option<JournalPage>;

    /// Removes a job's journal; returns whether it was removed.
    async fn remove(metadata: CallMetadata, job: String) -> bool;

    /// Stops a cancelled job that the peer owns.
    async fn cancel(metadata: CallMetadata, job: String) -> CancelResponse;

    /// Claims the key of an at-most-once request; returns whether no other request holds it.
    async fn claim_key(metadata: CallMetadata, key: RequestKey, claim_id: u64) -> bool;

    /// Releases a claimed key.
    async fn release_key(metadata: CallMetadata, key: RequestKey, claim_id: u64);

    /// Waits for a configuration newer than a revision; `None` if the wait times out.
    async fn wait_config(metadata: CallMetadata, revision: u64) -> Option<ConfigDocument>;

    /// Returns the entry's status.
    async fn status(metadata: CallMetadata) -> Option<EntryStatus>;
}
