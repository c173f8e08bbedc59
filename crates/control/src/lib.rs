//! Calls between the system's own processes.
//!
//! Requests and streams travel over HTTP; what is one small message with an answer travels here,
//! as typed remote calls with a deadline.

mod control_transport;
mod entry_peer;
mod messages;
mod peer_directory;
mod sidecar_control;

pub use crate::control_transport::ControlFault;
pub use crate::control_transport::accept_calls;
pub use crate::control_transport::call_context;
pub use crate::control_transport::open_transport;
pub use crate::entry_peer::EntryPeer;
pub use crate::entry_peer::EntryPeerClient;
pub use crate::messages::AppendAnswer;
pub use crate::messages::CancelAnswer;
pub use crate::messages::EntryStatus;
pub use crate::messages::JournalPage;
pub use crate::messages::OrderAnswer;
pub use crate::messages::PeerStamp;
pub use crate::messages::ResolveAnswer;
pub use crate::messages::TargetOrder;
pub use crate::messages::TargetStatus;
pub use crate::peer_directory::EntryPeerDirectory;
pub use crate::peer_directory::SidecarDirectory;
pub use crate::sidecar_control::SidecarControl;
pub use crate::sidecar_control::SidecarControlClient;
