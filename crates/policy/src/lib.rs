//! Scheduling, routing and admission decisions as deterministic state machines.
//!
//! This crate reads no clock, opens no socket, starts no thread and uses only seeded randomness.
//! The input is a typed event with its time, the output a list of typed commands. The runtime
//! crates translate sockets and timers into events and commands into I/O, so tests and benchmarks
//! run the same code as production.

pub mod admission;
pub mod batch;
pub mod config;
pub mod flow;
pub mod headers;
pub mod lease;
pub mod routing;

mod content_hasher;
mod execution_log;
mod expiring_table;
mod expiry_queue;
mod hybrid_clock;
mod identity;
mod key_claims;
mod monotonic_time;
mod organisation_table;
mod outcome;
mod random;
mod target_load;

pub use crate::content_hasher::ContentHasher;
pub use crate::execution_log::AdmitDecision;
pub use crate::execution_log::ExecutionLog;
pub use crate::execution_log::ExecutionState;
pub use crate::hybrid_clock::HybridClock;
pub use crate::hybrid_clock::HybridTimestamp;
pub use crate::identity::OrganisationId;
pub use crate::identity::RequestKey;
pub use crate::identity::TargetId;
pub use crate::identity::TicketId;
pub use crate::identity::WorkClass;
pub use crate::identity::hash_token;
pub use crate::identity::stable_hash;
pub use crate::key_claims::KeyClaims;
pub use crate::monotonic_time::MonotonicTime;
pub use crate::organisation_table::OrganisationTable;
pub use crate::outcome::NotRunProof;
pub use crate::outcome::RefusalReason;
pub use crate::outcome::RunOutcome;
pub use crate::random::SeededRandom;
pub use crate::target_load::TargetLoad;
