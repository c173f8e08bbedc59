//! The entry, which accepts callers' requests.

mod attempt_recorder;
mod direct_send;
mod entry_handler;
mod entry_metrics;
mod entry_node;
mod identified_caller;
mod in_flight_guard;
mod job_confirmation;
mod job_relay;
mod long_bodies;
mod online_request;
mod permit_client;
mod placed_reservations;
mod quota_client;
mod quota_stage;
mod ready_handler;
mod request_conclusion;
mod request_context;
mod reservation_client;
mod response_relay;
mod retry_headers;
mod slot_search;
mod target_attempt;

pub use self::entry_node::EntryNode;
pub use self::entry_node::EntrySettings;
