//! The sidecar of a model target.

mod batch_relay;
mod engine_responses;
mod engine_run;
mod engine_watch;
mod load_reporter;
mod reservation_desk;
mod sidecar_handler;
mod sidecar_metrics;
mod sidecar_node;
mod slot_gate;

pub use self::sidecar_node::SidecarNode;
pub use self::sidecar_node::SidecarSettings;
