//! The calls that a sidecar answers.

use cv_policy::ExecutionState;
use cv_policy::RequestKey;
use cv_policy::config::ConfigDocument;

use crate::CallMetadata;
use crate::OrderResponse;
use crate::ResolveResponse;
use crate::TargetOrder;
use crate::TargetStatus;

/// Calls to the process beside a target.
#[tarpc::service]
pub trait SidecarControl {
    /// Tells how the target is; the caller offers its configuration's revision.
    async fn status(metadata: CallMetadata) -> Option<TargetStatus>;

    /// Tells whether a request waits or runs here.
    async fn knows(metadata: CallMetadata, key: RequestKey) -> Option<bool>;

    /// Tells how far a request got, without changing anything.
    async fn peek(metadata: CallMetadata, key: RequestKey) -> Option<ExecutionState>;

    /// Tells what became of an attempt and keeps it from starting if it has not.
    async fn resolve(
        metadata: CallMetadata,
        key: RequestKey,
        attempt: u32,
    ) -> Option<ResolveResponse>;

    /// Gives the target an order.
    async fn order(metadata: CallMetadata, order: TargetOrder) -> OrderResponse;

    /// Offers a configuration; returns the revision in force afterwards.
    async fn offer_config(metadata: CallMetadata, document: ConfigDocument) -> u64;

    /// Tells the target to take no new work.
    async fn drain(metadata: CallMetadata) -> bool;
}
