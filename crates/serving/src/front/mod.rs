//! The entry: the callers' border.

mod answer_relay;
mod attempt_notes;
mod front_handler;
mod front_metrics;
mod front_server;
mod job_relay;
mod online_call;
mod ready_handler;

pub use self::front_server::FrontServer;
pub use self::front_server::FrontSettings;
