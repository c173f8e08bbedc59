//! The platform's key-value service, which implements a part of the etcd v3 JSON API.

mod key_value_faults;
mod key_value_handler;
mod key_value_messages;
mod key_value_store;

pub use self::key_value_faults::KeyValueFaults;
pub use self::key_value_handler::KeyValueStandin;
