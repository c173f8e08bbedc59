//! The process that runs beside one target and is the only path to it.
//!
//! Every request for the target passes through the sidecar's queue, so only the sidecar has an
//! exact and current view of the target's load. Decisions come from `cv-policy`; this crate does
//! the I/O.

mod control_service;
mod request_handler;
mod request_metadata;
mod response_writer;
mod sidecar_metrics;
mod sidecar_server;
mod sidecar_state;
mod target_exchange;
mod target_orders;
mod target_probe;

pub use crate::sidecar_server::SidecarFault;
pub use crate::sidecar_server::SidecarServer;
