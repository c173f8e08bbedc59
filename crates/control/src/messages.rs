//! Messages of control calls. They are encoded by position, so the order of fields and variants
//! must not change.

use cv_policy::ExecutionState;
use cv_policy::HybridTimestamp;
use cv_policy::TargetLoad;
use serde::Deserialize;
use serde::Serialize;

/// Metadata sent with every call: the shared secret and the caller's clock.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CallMetadata {
    /// Timestamp of the caller's hybrid logical clock.
    pub clock: HybridTimestamp,
    /// Secret shared by the processes of the system.
    pub secret: String,
}

/// Status of a target, as reported by its sidecar.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetStatus {
    /// Timestamp of the sidecar's hybrid logical clock.
    pub clock: HybridTimestamp,
    /// Revision of the active configuration.
    pub config_revision: u64,
    /// Start time of the sidecar in microseconds since the Unix epoch; a changed value means that
    /// it restarted and lost its in-memory state.
    pub incarnation: u64,
    /// Whether the target is draining and accepts no new work.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Counts of the sidecar's queue.
    #[serde(rename = "reading")]
    pub load: TargetLoad,
    /// Whether the target answers health probes.
    pub target_up: bool,
}

/// Execution state of a request, as known to one incarnation of a sidecar.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResolveResponse {
    /// The sidecar's incarnation; the state does not cover earlier ones.
    pub incarnation: u64,
    /// The request's execution state.
    pub state: ExecutionState,
}

/// An order to load or unload a model or adapter on a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetOrder {
    /// Fencing epoch of the issuer.
    pub epoch: u64,
    /// Name of the model or adapter.
    pub model: String,
    /// The operation: `load` or `unload`.
    pub order: String,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderResponse {
    /// The target executed the order.
    Done,
    /// The order's epoch is lower than the latest one, which is contained; nothing was done.
    Fenced(u64),
    /// The call lacked the shared secret, or the target could not be reached or did not accept
    /// the order.
    Refused,
    /// The target may or may not have executed the order.
    Unknown,
}

/// Result of appending journal records at a peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendResponse {
    /// The records are written and synced to disk.
    Synced,
    /// The call lacked the shared secret, the peer has no journal store, or the write failed; the
    /// records may be lost.
    Failed,
}

/// A page of a journal.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JournalPage {
    /// Position after the last record, where the next page starts.
    #[serde(rename = "next")]
    pub next_position: u64,
    /// Encoded records, in the order in which they were written.
    pub records: Vec<Vec<u8>>,
}

/// Result of a request to stop a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CancelResponse {
    /// The peer hands over no further items of the job.
    Stopped,
    /// The call lacked the shared secret; nothing was done.
    Refused,
}

/// Status of an entry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryStatus {
    /// Revision of the active configuration.
    pub config_revision: u64,
    /// Number of batch jobs that it owns.
    pub jobs: u32,
    /// Its name.
    pub name: String,
}
