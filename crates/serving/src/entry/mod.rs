//! The entry, which accepts callers' requests.

mod attempt_recorder;
mod direct_send;
mod entry_handler;
mod entry_metrics;
mod entry_node;
mod job_relay;
mod online_request;
mod permit_client;
mod placed_reservations;
mod ready_handler;
mod reservation_client;
mod response_relay;

pub use self::entry_node::EntryNode;
pub use self::entry_node::EntrySettings;
