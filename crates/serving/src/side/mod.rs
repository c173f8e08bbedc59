//! The process beside a model target.

mod batch_relay;
mod engine_run;
mod load_beacon;
mod side_handler;
mod side_metrics;
mod side_server;
mod slot_gate;

pub use self::side_server::SideServer;
pub use self::side_server::SideSettings;
