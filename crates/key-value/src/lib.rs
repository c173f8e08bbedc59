//! Clients of the platform's services.
//!
//! The key-value service is spoken to in the JSON form of the etcd v3 protocol. Its answers may be
//! late, lost after the write took effect, or refused for its rates; the client tells these apart
//! and never guesses.

mod call_budget;
mod instance_client;
mod key_value_client;
mod key_value_fault;
mod key_value_messages;
mod key_value_watch;

pub use crate::call_budget::CallBudget;
pub use crate::call_budget::CallPurpose;
pub use crate::instance_client::InstanceClient;
pub use crate::instance_client::InstanceRecord;
pub use crate::key_value_client::KeyRange;
pub use crate::key_value_client::KeyValueClient;
pub use crate::key_value_client::KeyValueEntry;
pub use crate::key_value_client::RangePage;
pub use crate::key_value_client::Transaction;
pub use crate::key_value_client::WriteOutcome;
pub use crate::key_value_fault::KeyValueFault;
pub use crate::key_value_watch::KeyValueWatch;
pub use crate::key_value_watch::WatchEvent;
