//! The processes of a deployment whose configuration, target directory and batch jobs are kept in
//! a coordination store.
//!
//! Entries accept callers' requests, a sidecar runs beside each model target and queues requests
//! to it, and keepers run batch jobs. [`PlatformAdapter`] translates the platform's protocol.

mod call_log;
mod client_report;
mod coordination_store;
mod drain;
mod engine_probe;
mod entry;
mod fleet_view;
mod internal_handler;
mod internal_headers;
mod keeper;
mod load_listener;
mod logged_call;
mod node_identity;
mod peer_sync;
mod pending_call;
mod permit_desk;
mod permit_message;
mod platform_adapter;
mod prefix_watcher;
mod quarantine_desk;
mod quarantine_exchange;
mod reservation_message;
mod sidecar;
mod stall_watch;
mod store_contact;
mod store_health;
mod target_call;
mod watched_prefix;

pub use crate::coordination_store::CommitOutcome;
pub use crate::coordination_store::CoordinationStore;
pub use crate::coordination_store::ExpectedKey;
pub use crate::coordination_store::StoreChange;
pub use crate::coordination_store::StoreCommit;
pub use crate::coordination_store::StoreFault;
pub use crate::coordination_store::StorePut;
pub use crate::coordination_store::StoreSnapshot;
pub use crate::coordination_store::StoredItem;
pub use crate::coordination_store::WatchBatch;
pub use crate::entry::EntryNode;
pub use crate::entry::EntrySettings;
pub use crate::fleet_view::FleetView;
pub use crate::internal_headers::QueueOptions;
pub use crate::internal_headers::SidecarVerdict;
pub use crate::internal_headers::decode_load_report;
pub use crate::internal_headers::encode_load_report;
pub use crate::internal_headers::strip_hop_by_hop;
pub use crate::keeper::KeeperNode;
pub use crate::keeper::KeeperSettings;
pub use crate::node_identity::NodeIdentity;
pub use crate::permit_message::PermitReply;
pub use crate::permit_message::PermitRequest;
pub use crate::permit_message::PermitTarget;
pub use crate::platform_adapter::AttemptOptions;
pub use crate::platform_adapter::CallerRequest;
pub use crate::platform_adapter::DecodeFault;
pub use crate::platform_adapter::JobRequest;
pub use crate::platform_adapter::PlatformAdapter;
pub use crate::platform_adapter::RequestOptions;
pub use crate::platform_adapter::ResponseMetadata;
pub use crate::prefix_watcher::PrefixWatcher;
pub use crate::prefix_watcher::StoreUpdate;
pub use crate::reservation_message::ReservationMessage;
pub use crate::reservation_message::ReservationTerms;
pub use crate::reservation_message::decode_reply;
pub use crate::reservation_message::encode_reply;
pub use crate::sidecar::SidecarNode;
pub use crate::sidecar::SidecarSettings;
pub use crate::store_health::StoreHealth;
pub use crate::watched_prefix::WatchedPrefix;
