//! The thin instance behind the platform's balancer.
//!
//! An entry takes requests from callers and operators, routes them to sidecars, and coordinates
//! the batch jobs that it holds. Decisions come from `cv-policy`; this crate moves bytes.

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
