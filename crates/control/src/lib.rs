//! Remote calls between the processes of the system.
//!
//! Requests and response streams use HTTP. Small messages with a single response use the typed
//! remote calls of this crate, each with a deadline.

mod client_pool;
mod control_transport;
mod entry_peer;
mod messages;
mod sidecar_control;

pub use crate::client_pool::EntryClientPool;
pub use crate::client_pool::SidecarClientPool;
pub use crate::control_transport::ControlFault;
pub use crate::control_transport::accept_calls;
pub use crate::control_transport::call_context;
pub use crate::control_transport::open_transport;
pub use crate::entry_peer::EntryPeer;
pub use crate::entry_peer::EntryPeerClient;
pub use crate::messages::AppendResponse;
pub use crate::messages::CallMetadata;
pub use crate::messages::CancelResponse;
pub use crate::messages::EntryStatus;
pub use crate::messages::JournalPage;
pub use crate::messages::OrderResponse;
pub use crate::messages::ResolveResponse;
pub use crate::messages::TargetOrder;
pub use crate::messages::TargetStatus;
pub use crate::sidecar_control::SidecarControl;
pub use crate::sidecar_control::SidecarControlClient;
