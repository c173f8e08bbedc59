//! The process beside one target, and the system's only way to it.
//!
//! Every request for the target passes its queue, so this is the one place with a true and
//! immediate view of the target. Decisions come from `cv-policy`; this crate moves bytes.

mod control_service;
mod message_labels;
mod request_handler;
mod sidecar_answers;
mod sidecar_metrics;
mod sidecar_server;
mod sidecar_state;
mod target_exchange;
mod target_orders;
mod target_probe;

pub use crate::sidecar_server::SidecarFault;
pub use crate::sidecar_server::SidecarServer;
