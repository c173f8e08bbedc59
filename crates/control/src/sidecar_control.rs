//! Interface for calls to sidecars.

use cv_policy::ExecutionState;
use cv_policy::RequestKey;
use cv_policy::config::ConfigDocument;

use crate::CallMetadata;
use crate::OrderResponse;
use crate::ResolveResponse;
use crate::TargetOrder;
use crate::TargetStatus;

/// Calls that a target's sidecar serves for entries.
#[tarpc::service]
pub trait SidecarControl {
    /// Returns the target's status.
    async fn status(metadata: CallMetadata) -> Option<TargetStatus>;

    /// Returns whether a request is queued or running at this sidecar.
    async fn knows(metadata: CallMetadata, key: RequestKey) -> Option<bool>;

    /// Returns a request's execution state without changing it.
    async fn peek(metadata: CallMetadata, key: RequestKey) -> Option<ExecutionState>;

    /// Returns an attempt's execution state, and voids the attempt if it has not started.
    async fn resolve(
        metadata: CallMetadata,
        key: RequestKey,
        attempt: u32,
    ) -> Option<ResolveResponse>;

    /// Forwards an order to the target, unless its epoch is fenced.
    async fn order(metadata: CallMetadata, order: TargetOrder) -> OrderResponse;

    /// Offers a configuration; returns the revision that is active afterwards.
    async fn offer_config(metadata: CallMetadata, document: ConfigDocument) -> u64;

    /// Starts a drain, after which the target gets no new work; returns whether the call carried
    /// the shared secret.
    async fn drain(metadata: CallMetadata) -> bool;
}
