//! The platform's small key-value service, in the JSON form of the etcd v3 protocol.

mod key_value_faults;
mod key_value_handler;
mod key_value_messages;
mod key_value_store;

pub use self::key_value_faults::KeyValueFaults;
pub use self::key_value_handler::KeyValueStandin;
