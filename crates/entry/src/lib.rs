//! The instance that receives requests from the platform's load balancer.
//!
//! An entry accepts requests from callers and operators, routes them to sidecars, and coordinates
//! the batch jobs that it owns. Decisions come from `cv-policy`; this crate does the I/O.

mod admin;
mod api_router;
mod batch;
mod caller_identity;
mod caller_response;
mod entry_metrics;
mod entry_server;
mod entry_state;
mod online;
mod peer_service;
mod watch;

pub use crate::entry_server::EntryFault;
pub use crate::entry_server::EntryServer;
