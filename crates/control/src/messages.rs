//! The messages of calls.

use cv_policy::ExecutionState;
use cv_policy::HybridTimestamp;
use cv_policy::TargetLoad;
use serde::Deserialize;
use serde::Serialize;

/// What every call carries: proof that the caller belongs to the system, and its clock.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CallMetadata {
    /// The caller's hybrid logical clock.
    pub clock: HybridTimestamp,
    /// The secret that the system's own processes share.
    pub secret: String,
}

/// A sidecar's word on its target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetStatus {
    /// The sidecar's clock.
    pub clock: HybridTimestamp,
    /// Revision of the configuration in force.
    pub config_revision: u64,
    /// Number drawn at the sidecar's start; another one means that its memory is gone.
    pub incarnation: u64,
    /// Whether the target takes no new work.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// The queue's counts.
    #[serde(rename = "reading")]
    pub load: TargetLoad,
    /// Whether the target answers.
    pub target_up: bool,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResolveResponse {
    /// The sidecar's incarnation; the state says nothing about an earlier one.
    pub incarnation: u64,
    /// How far the request got.
    pub state: ExecutionState,
}

/// An order to a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetOrder {
    /// The fencing epoch of whoever gives the order.
    pub epoch: u64,
    /// The model or adapter that it is about.
    pub model: String,
    /// `load` or `unload`.
    pub order: String,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderResponse {
    /// The target carried it out.
    Done,
    /// The epoch is older than the one named, which was seen before; nothing was done.
    Fenced(u64),
    /// The caller does not know the secret; nothing was done.
    Refused,
    /// The target may or may not have carried it out.
    Unknown,
}

/// What became of journal records that a peer was asked to keep.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendResponse {
    /// They are on disk and synced.
    Synced,
    /// The peer has no disk, or its disk failed; they may be lost.
    Failed,
}

/// A part of a journal.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JournalPage {
    /// Position after the last record, to go on from.
    pub next: u64,
    /// Encoded records in the order in which they were written.
    pub records: Vec<Vec<u8>>,
}

/// What became of a job that was to be stopped.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CancelResponse {
    /// The peer hands over none of the job's items any more.
    Stopped,
    /// The caller does not know the secret; nothing was done.
    Refused,
}

/// An entry's word on itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryStatus {
    /// Revision of the configuration in force.
    pub config_revision: u64,
    /// Jobs that it owns.
    pub jobs: u32,
    /// Its name.
    pub name: String,
}
