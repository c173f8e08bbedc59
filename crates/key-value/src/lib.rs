//! Clients of the platform's services: the key-value service and the list of instances.
//!
//! The key-value service is called with the JSON form of the etcd v3 protocol. It may respond late,
//! lose the response to a write that took effect, or refuse a call for its rate limits. The client
//! tells these cases apart and reports a write as ambiguous when its outcome is unknown.

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
